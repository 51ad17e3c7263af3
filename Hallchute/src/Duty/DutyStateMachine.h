// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYSTATEMACHINE_H
#define HALLCHUTE_DUTY_DUTYSTATEMACHINE_H

#include <map>
#include <optional>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Duty/DutyRecord.h"
#include "Hallchute/src/Duty/DutyStep.h"

namespace Hallchute {

/// \brief Timing of the duties, from the deployment's bounds. \ingroup Duty
struct DutyPolicy {
  /// How long an unreachable holder keeps the duties.
  Millis lease{3'000};
  Millis window{5'000};
  /// Time from a window's end to the deadline of its report.
  Millis reportDeadline{10'000};
};

/// \brief A daemon's view of the fleet, from which it decides its next step. \ingroup Duty
struct DutyFacts {
  /// Daemons with a recent report and their incarnations. Includes this one unless it is stopping.
  std::map<DaemonId, std::uint64_t> live;
  /// The holder with the highest epoch in any report.
  DutyHolder reportedHolder;
  /// Time since the store last answered any reachable daemon.
  Millis storeAge{0};
  /// Number of daemons that are expected to run, reachable or not, including this one.
  std::size_t expected = 1;
  /// Whether this daemon has had time to discover the others. Until then it would consider itself
  /// the preferred candidate, without the counts of the others.
  bool fleetDiscovered = true;
  /// Whether all expected daemons have reported their own counts and those that they hold for
  /// stopped daemons.
  bool usageComplete = true;
  /// Usage of the whole fleet by window.
  UsageByWindow usage;
  /// Contents under which upstreams crashed, in order of their fingerprints.
  std::vector<CrashHistory> crashHistories;
  /// Limits on rejections that upstreams of the services name, in order.
  std::vector<ServiceLimit> rejectionLimits;
  /// Rollouts by service; nothing if this daemon doesn't run them.
  std::optional<std::vector<RolloutRecord>> rollouts;
  /// Time since the Unix epoch, used only to number the windows.
  Millis wallClock{0};
};

/// \brief Decides which daemon holds the duties and what the holder does next. No I/O, no clock.
/// \ingroup Duty
///
/// The reachable daemon with the lowest name takes over when there is no holder, when the holder
/// has restarted, released the duties or resigned, or when it is unreachable and the record has not
/// changed for longer than a lease. Every takeover increments the epoch.
///
/// The holder finalises a window's counts in the record before it reports them; a write that is
/// superseded tells it that it no longer holds the duties. Incomplete counts are finalised as late
/// as the report's deadline allows. Counts of open windows are checkpointed in the record about
/// once a second, in case all daemons stop at once. A holder that gets no answer from the store
/// while the store answers others resigns, and a daemon that the store answers takes over.
class DutyStateMachine {
 public:
  DutyStateMachine(DutyPolicy policy, DaemonId self, std::uint64_t incarnation);

  DutyStep next(const DutyFacts& facts, Instant now);
  void noteRead(const StoredDutyRecord& stored, Instant now);
  /// \brief Records the outcome of the last step.
  /// \param revision the record's revision after a successful write.
  void noteOutcome(DutyOutcome outcome, std::uint64_t revision, Instant now);
  /// \brief Gives up the duties locally, after a release or a call that was rejected because
  /// another daemon has used a higher epoch.
  void stepDown();

  bool holdsDuties() const { return holdsDuties_; }
  /// \brief Whether the record was written or confirmed within \p time, so that acting needs no
  /// renewal.
  bool renewedWithin(Millis time, Instant now) const;
  /// \brief The write that renews the holder's lease before it acts on anything else.
  DutyStep renewal() const;
  /// \brief The write that releases the duties before the holder stops, so that a successor need
  /// not wait for the lease to expire.
  DutyStep release(const DutyFacts& facts) const;
  DutyHolder holder() const;
  /// \brief The rollouts in the record as this holder last wrote or read it; empty for others.
  std::vector<RolloutRecord> storedRollouts() const;
  /// \brief This daemon's identity as a holder, with epoch 0.
  const DutyHolder& self() const { return self_; }

 private:
  bool mayTakeOver(const DutyFacts& facts, Instant now) const;
  bool isPreferredCandidate(const DutyFacts& facts) const;
  bool isReportedHolder(const DutyFacts& facts) const;
  bool isHeldByLiveDaemon(const DutyFacts& facts) const;
  bool shouldResign(const DutyFacts& facts, Instant now) const;
  void resign(const DutyHolder& holder);
  DutyStep nextAsHolder(const DutyFacts& facts, Instant now);
  DutyStep nextAsNonHolder(const DutyFacts& facts, Instant now);
  Millis finalisationDelay(const DutyFacts& facts) const;
  UsageByWindow unfinalisedUsage(const DutyFacts& facts) const;
  std::vector<CrashHistory> historiesToStore(const DutyFacts& facts, Instant now) const;
  UsageByWindow openWindowUsage(const DutyFacts& facts, const DutyRecord& record) const;
  bool finaliseWindows(const DutyFacts& facts, DutyRecord& record) const;
  std::int64_t firstUnreportedWindow(const DutyFacts& facts) const;
  DutyRecord recordAfterTakeover(const DutyRecord& before);

  DutyPolicy policy_;
  DutyHolder self_;
  std::optional<StoredDutyRecord> stored_;
  /// When the record was first seen at its current revision.
  Instant unchangedSince_{};
  Instant renewedAt_{};
  /// When this daemon took over the duties.
  Instant acquiredAt_{};
  /// When the record was last read.
  Instant readAt_{};
  /// Start of the period in which the store has answered none of this daemon's calls.
  std::optional<Instant> unavailableSince_;
  /// The holder entry under which this daemon last resigned.
  std::optional<DutyHolder> resignedHolder_;
  /// The record that the last step writes, until its outcome is known.
  std::optional<DutyRecord> pendingRecord_;
  std::optional<std::int64_t> pendingReport_;
  Instant retryAt_{};
  /// When the counts of open windows were last written.
  Instant checkpointedAt_{};
  /// Counts of open windows that the previous holder had written.
  UsageByWindow inheritedUsage_;
  /// Whether, when the record was requested, all expected daemons were reachable and had started
  /// after its last holder ended.
  bool previousFleetEnded_ = false;
  bool recordAbsent_ = false;
  bool holdsDuties_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYSTATEMACHINE_H
