// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/JobFactory.h"

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Routing/PrefixBlocks.h"

namespace Hallchute {
namespace {

std::uint64_t affinityOf(const JobParameters& parameters, const PrefixBlocks& blocks) {
  const std::uint64_t seed = stableHash(parameters.organisation->name.str());
  if (!parameters.session.empty()) return stableHash(parameters.session, seed);
  if (!blocks.hashes.empty()) return blocks.hashes.front() ^ seed;
  return stableHash(parameters.prompt, seed);
}

}  // namespace

JobSpec makeJobSpec(const JobParameters& parameters, const SettingsTree& tree,
                    const FailureDomainName& domain) {
  const PolicyScope scope{domain, parameters.service, parameters.organisation->name};
  const PrefixBlocks blocks = prefixBlocks(parameters.prompt);
  JobSpec spec;
  spec.request = parameters.request;
  spec.organisation = parameters.organisation->name;
  spec.service = parameters.service;
  spec.workClass = parameters.workClass->name;
  spec.weight = static_cast<double>(parameters.organisation->weight);
  spec.priority = parameters.workClass->priority;
  spec.durable = parameters.durable;
  spec.chat = parameters.chat;
  spec.prompt = parameters.prompt;
  spec.promptTokens = blocks.tokens;
  spec.prefixHashes = blocks.hashes;
  spec.affinity = affinityOf(parameters, blocks);
  spec.maxTokens = parameters.maxTokens;
  spec.accepted = clockNow();
  spec.deadline = spec.accepted + Millis(tree.policy(PolicyKey::requestLimitMs, scope));
  spec.queueLimit = Millis(tree.policy(PolicyKey::queueLimitMs, scope));
  return spec;
}

std::shared_ptr<Job> makeJob(const HandOverRecord& record, const SettingsTree& tree,
                             const FailureDomainName& domain) {
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
  JobParameters parameters;
  parameters.request = record.request;
  parameters.organisation = &organisation;
  parameters.workClass = &workClass;
  parameters.service = record.service;
  parameters.chat = record.chat;
  // Another daemon has already accepted the request: it is retried until it finishes or its
  // deadline passes.
  parameters.durable = true;
  parameters.prompt = record.prompt;
  parameters.maxTokens = record.maxTokens;
  return std::make_shared<Job>(makeJobSpec(parameters, tree, domain), record.epoch, record.tokens);
}

}  // namespace Hallchute
