// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FLEETWIRE_H
#define HALLCHUTE_NODE_FLEETWIRE_H

#include <tuple>

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Net/WireCodec.h"
#include "Hallchute/src/Node/FleetSnapshot.h"

/// \file
/// \brief The wire format of the messages between gateway daemons.

namespace Hallchute {

inline auto wireFields(FleetMember& m) {
  return std::tie(m.daemon, m.address, m.incarnation, m.domain, m.capacity, m.lostPaths);
}
inline auto wireFields(UpstreamLoad& m) {
  return std::tie(m.requests, m.pendingPrefillTokens, m.memoryTokens, m.recentWork, m.recentWorkMs,
                  m.recentResponses, m.recentPauses, m.recentPauseMicros);
}
inline auto wireFields(WaitingLoad& m) {
  return std::tie(m.requests, m.promptTokens);
}
inline auto wireFields(UpstreamIncarnation& m) {
  return std::tie(m.id, m.incarnation);
}
inline auto wireFields(DutyHolder& m) {
  return std::tie(m.daemon, m.incarnation, m.epoch, m.resigned);
}
inline auto wireFields(IncarnationUsage& m) {
  return std::tie(m.daemon, m.incarnation, m.domain, m.usage);
}
inline auto wireFields(UpstreamCrash& m) {
  return std::tie(m.upstream, m.refuted);
}
inline auto wireFields(CrashHistory& m) {
  return std::tie(m.content, m.crashes);
}
inline auto wireFields(NamedLimit& m) {
  return std::tie(m.upstream, m.limited, m.perSecond, m.namedAt);
}
inline auto wireFields(RolloutStage& m) {
  return std::tie(m.service, m.target, m.previous, m.order, m.phase, m.share, m.epoch, m.step,
                  m.age);
}
inline auto wireFields(EvidenceKey& m) {
  return std::tie(m.service, m.order, m.version, m.route);
}
inline auto wireFields(VersionEvidence& m) {
  return std::tie(m.answers, m.failures, m.firstEvents);
}
inline auto wireFields(FleetReport& m) {
  return std::tie(m.self, m.scope, m.wallClock, m.settingsVersion, m.upstreamsVersion, m.storeAge,
                  m.spent, m.loads, m.usage, m.draining, m.duties, m.crashes, m.limits,
                  m.rejectionLimits, m.members, m.incarnations, m.membersUnchanged, m.leaving,
                  m.rollouts, m.evidence, m.waiting);
}
inline auto wireFields(UpstreamRecord& m) {
  return std::tie(m.id, m.service, m.address, m.domain, m.slots, m.state, m.reclaimable,
                  m.warmupRemaining, m.incarnation, m.version);
}
inline auto wireFields(FleetSnapshot& m) {
  return std::tie(m.settingsVersion, m.settingsText, m.upstreamsVersion, m.upstreams);
}
inline auto wireFields(SnapshotRequest& m) {
  return std::tie(m.settingsVersion, m.upstreamsVersion);
}

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FLEETWIRE_H
