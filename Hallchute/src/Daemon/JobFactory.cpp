// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/JobFactory.h"

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Routing/PrefixBlocks.h"

namespace Hallchute {
namespace {

std::uint64_t affinityOf(const JobParameters& wish, const PrefixBlocks& blocks) {
  const std::uint64_t seed = stableHash(wish.organisation->name.str());
  if (!wish.session.empty()) return stableHash(wish.session, seed);
  if (!blocks.hashes.empty()) return blocks.hashes.front() ^ seed;
  return stableHash(wish.prompt, seed);
}

}  // namespace

JobSpec makeJobSpec(const JobParameters& wish, const SettingsTree& tree, const DomainName& domain) {
  const PolicyScope scope{domain, wish.service, wish.organisation->name};
  const PrefixBlocks blocks = prefixBlocks(wish.prompt);
  JobSpec spec;
  spec.request = wish.request;
  spec.organisation = wish.organisation->name;
  spec.service = wish.service;
  spec.workClass = wish.workClass->name;
  spec.weight = static_cast<double>(wish.organisation->weight);
  spec.priority = wish.workClass->priority;
  spec.durable = wish.durable;
  spec.chat = wish.chat;
  spec.prompt = wish.prompt;
  spec.promptTokens = blocks.tokens;
  spec.prefixHashes = blocks.hashes;
  spec.affinity = affinityOf(wish, blocks);
  spec.maxTokens = wish.maxTokens;
  spec.accepted = clockNow();
  spec.deadline = spec.accepted + Millis(tree.policy(PolicyKey::requestLimitMs, scope));
  spec.queueLimit = Millis(tree.policy(PolicyKey::queueLimitMs, scope));
  return spec;
}

std::shared_ptr<Job> makeJob(const HandOverRecord& record, const SettingsTree& tree,
                             const DomainName& domain) {
  Organisation organisation;
  if (const auto it = tree.organisations.find(record.organisation);
      it != tree.organisations.end()) {
    organisation = it->second;
  }
  organisation.name = record.organisation;
  WorkClass workClass;
  if (const auto it = tree.workClasses.find(record.workClass); it != tree.workClasses.end()) {
    workClass = it->second;
  }
  workClass.name = record.workClass;
  JobParameters wish;
  wish.request = record.request;
  wish.organisation = &organisation;
  wish.workClass = &workClass;
  wish.service = record.service;
  wish.chat = record.chat;
  // It was accepted elsewhere: it is kept until it is done or its deadline passes.
  wish.durable = true;
  wish.prompt = record.prompt;
  wish.maxTokens = record.maxTokens;
  return std::make_shared<Job>(makeJobSpec(wish, tree, domain), record.epoch, record.tokens);
}

}  // namespace Hallchute
