// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/VersionShares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {
namespace {

/// How long an ended stage is reported after the holder last confirmed it.
constexpr Millis kEndedReportTime{60'000};
/// Load of a canary's upstream relative to a previous one: its prompt caches are cold, so that at
/// the same load it would have up to twice the work and a growing queue.
constexpr double kCanaryLoad = 0.5;

}  // namespace

void VersionExclusion::apply(UpstreamCriteria& criteria) const {
  criteria.excludedVersions = versions;
  criteria.excludedUpstreams = upstreams;
}

void VersionShares::noteListed(std::span<const UpstreamRecord> records, Instant now) {
  if (!enabled_) return;
  std::map<ServiceName, std::vector<const UpstreamRecord*>> byService;
  for (const UpstreamRecord& record : records) byService[record.service].push_back(&record);
  std::erase_if(services_, [&](const auto& item) { return !byService.contains(item.first); });
  for (const auto& [name, listed] : byService) {
    ListedService& service = services_[name];
    noteVersions(service, listed, now);
    std::map<UpstreamId, ListedUpstream> upstreams;
    for (const UpstreamRecord* record : listed) {
      const auto before = service.upstreams.find(record->id);
      const bool known =
          before != service.upstreams.end() && before->second.incarnation == record->incarnation;
      upstreams[record->id] = {record->incarnation, record->version,
                               record->state == UpstreamState::ready,
                               known ? before->second.readyAt : now + record->warmupRemaining};
    }
    service.upstreams = std::move(upstreams);
  }
}

/// In the first listing of a service with several versions, the one whose processes have been
/// running for longest has served before.
void VersionShares::noteVersions(ListedService& service,
                                 std::span<const UpstreamRecord* const> records, Instant now) {
  std::map<SoftwareVersion, std::uint64_t> firstStarts;
  for (const UpstreamRecord* record : records) {
    const auto [it, added] = firstStarts.try_emplace(record->version, record->incarnation);
    it->second = std::min(it->second, record->incarnation);
  }
  const bool first = service.settledAt.empty();
  const auto oldest =
      std::min_element(firstStarts.begin(), firstStarts.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  std::erase_if(service.settledAt,
                [&](const auto& item) { return !firstStarts.contains(item.first); });
  for (const auto& [version, start] : firstStarts) {
    const bool servedBefore = first && start == oldest->second;
    service.settledAt.try_emplace(version, servedBefore ? now : now + kSettling);
  }
}

std::vector<RolloutStage> VersionShares::merge(std::span<const RolloutStage> stages, Instant now) {
  std::vector<RolloutStage> adopted;
  if (!enabled_) return adopted;
  for (const RolloutStage& stage : stages) {
    const Instant confirmedAt = now - stage.age;
    const auto [it, added] =
        stages_.try_emplace(stage.service, KnownStage{stage, confirmedAt, now});
    KnownStage& known = it->second;
    if (!added && !stage.isNewerThan(known.stage)) {
      const bool same = !known.stage.isNewerThan(stage);
      if (same) known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
      continue;
    }
    const bool sameOrder = !added && known.stage.order == stage.order;
    const bool revived = sameOrder && known.stage.phase == RolloutPhase::rolledBack &&
                         stage.phase != RolloutPhase::rolledBack;
    if (revived) continue;
    const bool samePhase = sameOrder && known.stage.phase == stage.phase;
    if (!samePhase) known.since = now;
    known.stage = stage;
    known.confirmedAt = confirmedAt;
    adopted.push_back(stage);
    if (sameOrder && !stage.ended()) continue;
    std::erase_if(evidence_, [&](const auto& item) {
      return item.first.service == stage.service && item.first.order != stage.order;
    });
  }
  return adopted;
}

std::vector<RolloutStage> VersionShares::report(Instant now) const {
  std::vector<RolloutStage> stages;
  for (const auto& [service, known] : stages_) {
    const auto age = std::chrono::duration_cast<Millis>(now - known.confirmedAt);
    if (known.stage.ended() && age > kEndedReportTime) continue;
    stages.push_back(known.stage);
    stages.back().age = std::max(Millis(0), age);
  }
  return stages;
}

std::set<SoftwareVersion> VersionShares::versionsOf(const ListedService& service) {
  std::set<SoftwareVersion> versions;
  for (const auto& [id, upstream] : service.upstreams) {
    if (upstream.takesRequests) versions.insert(upstream.version);
  }
  return versions;
}

VersionExclusion VersionShares::excludeUnsettled(const ListedService& service, Instant now) {
  const std::set<SoftwareVersion> listed = versionsOf(service);
  std::set<SoftwareVersion> settled;
  for (const SoftwareVersion& version : listed) {
    if (now >= service.settledAt.at(version)) settled.insert(version);
  }
  return settled.empty() ? VersionExclusion{} : excludeAllBut(listed, settled);
}

VersionExclusion VersionShares::excludeAllBut(const std::set<SoftwareVersion>& listed,
                                              const std::set<SoftwareVersion>& kept) {
  VersionExclusion exclusion;
  std::set_difference(listed.begin(), listed.end(), kept.begin(), kept.end(),
                      std::inserter(exclusion.versions, exclusion.versions.end()));
  return exclusion;
}

/// The listed versions that served before; without one of them all but the target.
std::set<SoftwareVersion> VersionShares::previousVersions(const RolloutStage& stage,
                                                          const std::set<SoftwareVersion>& listed) {
  std::set<SoftwareVersion> previous;
  for (const SoftwareVersion& version : stage.previous) {
    if (listed.contains(version)) previous.insert(version);
  }
  if (!previous.empty()) return previous;
  previous = listed;
  previous.erase(stage.target);
  return previous;
}

double VersionShares::shareInForce(const KnownStage& known, bool hasPrevious, Instant now) {
  const RolloutPhase phase = known.stage.phase;
  if (phase == RolloutPhase::rolledBack) return 0;
  if (phase == RolloutPhase::done) return 1;
  const bool draining = phase == RolloutPhase::drain;
  const bool expired = now - known.confirmedAt > (draining ? kDrainExpiry : kStageExpiry);
  // After the end of the drain the previous upstreams stop, whether or not this daemon has heard.
  if (expired) return draining && !hasPrevious ? 1 : 0;
  return known.stage.share;
}

/// The target's upstreams that get no requests of the canary: it uses few, so that each has
/// load, as some faults show under load only. Nothing if none is warmed up.
std::optional<std::set<UpstreamId>> VersionShares::outsideCanary(const ListedService& service,
                                                                 const KnownStage& known,
                                                                 Instant now) {
  const RolloutStage& stage = known.stage;
  std::vector<std::pair<std::uint64_t, UpstreamId>> ready;
  std::set<UpstreamId> outside;
  std::size_t others = 0;
  for (const auto& [id, upstream] : service.upstreams) {
    if (!upstream.takesRequests) continue;
    if (upstream.version != stage.target) {
      ++others;
      continue;
    }
    outside.insert(id);
    if (now >= upstream.readyAt) ready.emplace_back(stableHash(id.str(), stage.order), id);
  }
  if (ready.empty()) return std::nullopt;
  const double wanted = std::floor(stage.share * static_cast<double>(others) / kCanaryLoad);
  const std::size_t count = std::min(ready.size(), static_cast<std::size_t>(std::max(1.0, wanted)));
  std::partial_sort(ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(count), ready.end());
  for (std::size_t i = 0; i < count; ++i) outside.erase(ready[i].second);
  return outside;
}

/// Null if the service's last rollout ended long ago.
const VersionShares::KnownStage* VersionShares::stageInForce(const ServiceName& service,
                                                             Instant now) const {
  const auto it = stages_.find(service);
  if (it == stages_.end()) return nullptr;
  const KnownStage& known = it->second;
  const bool done = known.stage.phase == RolloutPhase::done && now - known.since > kDoneHold;
  const bool rolledBack =
      known.stage.phase == RolloutPhase::rolledBack && now - known.confirmedAt > kRolledBackHold;
  return done || rolledBack ? nullptr : &known;
}

VersionChoice VersionShares::choose(const VersionDraw& draw, Instant now) const {
  VersionChoice choice;
  const auto listing = services_.find(draw.service);
  if (!enabled_ || listing == services_.end()) return choice;
  const ListedService& service = listing->second;
  const KnownStage* const inForce = stageInForce(draw.service, now);
  if (inForce == nullptr) {
    choice.exclusion = excludeUnsettled(service, now);
    return choice;
  }
  const KnownStage& known = *inForce;
  const RolloutStage& stage = known.stage;
  const std::set<SoftwareVersion> listed = versionsOf(service);
  const std::set<SoftwareVersion> previous = previousVersions(stage, listed);
  VersionExclusion toPrevious = excludeAllBut(listed, previous);
  // The target is excluded by name: it may be listed by the time of the request's retry.
  toPrevious.versions.insert(stage.target);
  const double share = shareInForce(known, !previous.empty(), now);
  const bool all = stage.phase == RolloutPhase::drain || stage.phase == RolloutPhase::done;
  // What failed at the target version is repeated at a previous one as long as it takes all.
  const bool drawn =
      (!draw.repeated || all) &&
      hashFraction(draw.requestId, stableHash(stage.target.str(), stage.order)) < share;
  if (!drawn || !listed.contains(stage.target)) {
    // Only without a target to use do previous upstreams take requests of the last phases.
    choice.exclusion = std::move(toPrevious);
    return choice;
  }
  choice.exclusion = excludeAllBut(listed, {stage.target});
  if (stage.phase == RolloutPhase::canary) {
    std::optional<std::set<UpstreamId>> outside = outsideCanary(service, known, now);
    if (!outside) {
      choice.exclusion = std::move(toPrevious);
      return choice;
    }
    choice.exclusion.upstreams = std::move(*outside);
  }
  if (!all) choice.fallback = std::move(toPrevious);
  return choice;
}

void VersionShares::noteOutcome(const VersionOutcome& outcome) {
  const auto it = stages_.find(outcome.service);
  if (it == stages_.end() || it->second.stage.ended()) return;
  VersionEvidence& evidence =
      evidence_[{outcome.service, it->second.stage.order, outcome.version, outcome.route}];
  if (outcome.firstEvent) evidence.noteFirstEvent(*outcome.firstEvent);
  if (outcome.ended) ++evidence.answers;
  if (outcome.ended && outcome.failed) ++evidence.failures;
}

}  // namespace Hallchute
