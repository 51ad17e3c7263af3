// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_ROLLOUTPLAN_H
#define HALLCHUTE_DUTY_ROLLOUTPLAN_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Hallchute/src/Duty/DutyStep.h"
#include "Hallchute/src/Duty/EvidenceTracker.h"
#include "Hallchute/src/Duty/RolloutRecord.h"

namespace Hallchute {

/// \brief The limits of rollouts, from the deployment's bounds. \ingroup Duty
struct RolloutPolicy {
  /// Share of a service's requests that a bad version may get between order and time limit.
  double exposeShare = 0.1;
  /// Requests that it may get beyond that share.
  std::uint64_t exposeSlack = 0;
  /// Time from the 50th bad answer of a version to the last request that it may get.
  Millis rollbackTime{5'000};
};

/// \brief The upstreams of a version that take requests, and their load. \ingroup Duty
struct VersionFleet {
  std::uint32_t upstreams = 0;
  /// Requests in flight from all daemons, also at upstreams that take no new ones.
  std::uint32_t inFlight = 0;
};

/// \brief A service as the holder of the duties sees it. \ingroup Duty
struct RolloutFacts {
  /// The fleet's shared clock.
  Millis wallClock{0};
  std::map<SoftwareVersion, VersionFleet> versions;
  /// Sums over all daemons; may hold other services and orders.
  VersionEvidences evidence;
  /// Time in which a report reaches all daemons.
  Millis reportLag{0};
};

/// \brief A change of a rollout's stage and its inputs, for the log. \ingroup Duty
struct RolloutChange {
  RolloutPhase phase = RolloutPhase::canary;
  double share = 0;
  std::uint32_t step = 0;
  std::string_view reason;
  std::string route;
  VersionEvidence target;
  VersionEvidence previous;
  /// Time to the limit, and how old the counts of the farthest daemons may be.
  Millis left{0};
  Millis reportLag{0};
};

/// \brief The calls by which a rollout's status is written. \ingroup Duty
namespace RolloutSteps {

struct Nothing {};
/// Read the operator's object, as the outcome of a write is unknown.
struct ReadOrder {
  std::string name;
};
struct WriteStatus {
  std::string name;
  std::uint64_t revision = 0;
  RolloutStatus status;
};

}  // namespace RolloutSteps

/// \ingroup Duty
using RolloutStep =
    std::variant<RolloutSteps::Nothing, RolloutSteps::ReadOrder, RolloutSteps::WriteStatus>;

/// \brief Runs the rollout of one service: canary, ramp, drain, done; rolledBack from any but done.
/// No I/O, no clock. \ingroup Duty
///
/// A growing share takes effect once it is stored, so that a successor knows of it; a rollback and
/// the end of a rollout take effect at once. The canary lasts until the time that ramp, drain and
/// the write of the status need before the time limit, as only there does a fault stay within the
/// exposure limit. Without enough evidence by then, half the time of the drain is waited for it;
/// then the share grows if no fault is found, except if the service has traffic and the target has
/// answered none of it.
class RolloutPlan {
 public:
  /// \brief Continues a rollout as stored.
  RolloutPlan(RolloutPolicy policy, RolloutRecord record);
  /// \brief The record of a new order. \param earlier the service's rollout before it, if any.
  static RolloutRecord begin(const RolloutOrder& order, const RolloutFacts& facts,
                             const RolloutRecord* earlier);

  /// \brief Takes the facts of a report period and decides on the stage.
  void observe(const RolloutFacts& facts);
  /// \brief A record that this daemon wrote as holder.
  void noteStored(const RolloutRecord& stored);
  /// \brief The stage that daemons report: of this order it may be later than the stored one, if
  /// an earlier holder rolled back while the store was away.
  void noteReported(const RolloutStage& reported);
  /// \brief The operator's object as it is now, with the same target.
  void noteOrder(const RolloutOrder& order);
  /// \brief Whether the object was written anew: it has no status although one was written.
  bool replacedBy(const RolloutOrder& order) const;
  /// \brief The operator deleted the object or replaced its target: the target gets no more
  /// requests.
  void withdraw();
  /// \brief The next call for the status. \param now any clock that doesn't go back.
  RolloutStep statusStep(Instant now) const;
  void noteStatusOutcome(const RolloutStatus& status, DutyOutcome outcome, std::uint64_t revision,
                         Instant now);

  /// \brief The stage in force. \param epoch of the holder.
  RolloutStage stage(std::uint64_t epoch) const;
  /// \brief The state to store.
  const RolloutRecord& record() const { return record_; }
  bool ended() const {
    return record_.phase == RolloutPhase::done || record_.phase == RolloutPhase::rolledBack;
  }
  /// \brief The status that the object must have; nothing if it has its final one already.
  std::optional<RolloutStatus> wantedStatus() const;
  /// \brief The changes since the last call.
  std::vector<RolloutChange> takeChanges();

 private:
  Millis timeLimit() const { return record_.orderedAt + record_.duration; }
  /// Time before the limit at which the final status is decided, for its writing.
  Millis statusMargin() const;
  Millis drainTime() const;
  Millis rampTime() const;
  bool pending() const { return record_.step != inForce_.step; }
  void propose(RolloutPhase phase, double share, std::string_view reason);
  void conclude(RolloutPhase phase, std::string_view reason, const std::string& route = {});
  void noteChange(std::string_view reason, const std::string& route);
  void enforce();
  std::uint32_t upstreamsOfTarget(const RolloutFacts& facts) const;
  std::uint32_t inFlightElsewhere(const RolloutFacts& facts) const;
  bool mustRollBack(const RolloutFacts& facts);
  void advance(const RolloutFacts& facts);
  void advanceCanary(const RolloutFacts& facts);
  void advanceDrain(const RolloutFacts& facts);

  RolloutPolicy policy_;
  /// What is to be stored, and what daemons are told.
  RolloutRecord record_;
  RolloutRecord inForce_;
  EvidenceTracker evidence_;
  Millis wallClock_{0};
  Millis reportLag_{0};
  /// When the stage in force began, on the shared clock; nothing if it began before this holder.
  std::optional<Millis> since_;
  /// When nothing has been in flight at previous versions from on.
  std::optional<Millis> idleSince_;
  std::optional<RolloutOrder> order_;
  bool withdrawn_ = false;
  /// Whether the object was seen with the status that this daemon wants.
  bool statusSeen_ = false;
  bool statusUnknown_ = false;
  Instant statusRetryAt_{};
  std::vector<RolloutChange> changes_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_ROLLOUTPLAN_H
