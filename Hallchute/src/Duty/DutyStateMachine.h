// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_DUTYSTATEMACHINE_H
#define HALLCHUTE_DUTY_DUTYSTATEMACHINE_H

#include <map>
#include <optional>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Duty/DutyRecord.h"
#include "Hallchute/src/Duty/DutyStep.h"

namespace Hallchute {

/// \brief Times of the duties, from the deployment's bounds. \ingroup Duty
struct DutyPolicy {
  /// How long a silent holder counts as holding.
  Millis lease{3'000};
  Millis window{5'000};
  /// From a window's end to when its report is due.
  Millis due{10'000};
};

/// \brief What a daemon knows of the others when it decides. \ingroup Duty
struct DutyFacts {
  /// Daemons heard of lately with their incarnations, this one included unless it is leaving.
  std::map<DaemonId, std::uint64_t> heard;
  /// The holder with the highest epoch that any report names.
  DutyHolder reportedHolder;
  /// How long ago the store last answered anybody that is heard.
  Millis storeAge{0};
  /// Daemons that are likely to run, heard or not, this one included.
  std::size_t known = 1;
  /// Whether this daemon has had the time to meet the others. Before, it takes itself for the first
  /// of all and knows nothing of what they counted.
  bool fleetDiscovered = true;
  /// Whether all daemons that are likely to run have told what they counted and what they know of
  /// those that ended.
  bool usageComplete = true;
  /// Usage of the whole fleet by window.
  UsageByWindow usage;
  /// Time since the start of 1970; only the windows' numbers come from it.
  Millis wallClock{0};
};

/// \brief Decides who holds the duties and what the holder does next. No I/O, no clock.
/// \ingroup Duty
///
/// The first daemon by name of those heard takes the duties when their holder has restarted, gave
/// them up or was never there, or when it is unheard and its record stayed as it is for more than a
/// lease. Every take-over raises the epoch. The holder fixes a window's counts in the record before
/// it sends them; a write that fails tells it that it holds nothing any more. Counts that are not
/// complete are fixed as late as leaves time to report them. What is counted of windows under way
/// goes into the record about once a second, for the case that all daemons end at once. A holder
/// that the store turns away while it answers others resigns, and one that it answers takes over.
class DutyStateMachine {
 public:
  DutyStateMachine(DutyPolicy policy, DaemonId self, std::uint64_t incarnation);

  DutyStep next(const DutyFacts& facts, Instant now);
  void noteRead(const StoredDutyRecord& stored, Instant now);
  /// \brief How the last step ended. \param revision of the record after a write that was done.
  void noteOutcome(DutyOutcome outcome, std::uint64_t revision, Instant now);
  /// \brief A call was refused as another daemon had used a higher epoch.
  void stepDown();

  bool holdsDuties() const { return holds_; }
  /// \brief Whether the record was written so lately that acting needs no renewal.
  bool renewedWithin(Millis time, Instant now) const;
  /// \brief The write that renews the holder's record, before it acts on something else.
  DutyStep renewal() const;
  /// \brief The write by which the holder gives the duties up before it ends: a successor need not
  /// wait for its lease.
  DutyStep release(const DutyFacts& facts) const;
  DutyHolder holder() const;
  /// \brief This daemon, as it would hold them.
  const DutyHolder& self() const { return self_; }

 private:
  bool mayTake(const DutyFacts& facts, Instant now) const;
  bool isFirst(const DutyFacts& facts) const;
  bool isNamed(const DutyFacts& facts) const;
  bool isHeldElsewhere(const DutyFacts& facts) const;
  bool resignsNow(const DutyFacts& facts, Instant now) const;
  void resign(const DutyHolder& holder);
  DutyStep nextAsHolder(const DutyFacts& facts, Instant now);
  DutyStep nextAsOther(const DutyFacts& facts, Instant now);
  Millis settleTime(const DutyFacts& facts) const;
  UsageByWindow openUsage(const DutyFacts& facts) const;
  UsageByWindow unfixed(const DutyFacts& facts, const DutyRecord& record) const;
  bool fixWindows(const DutyFacts& facts, DutyRecord& record) const;
  std::int64_t firstWindow(const DutyFacts& facts) const;
  DutyRecord taken(const DutyRecord& before);

  DutyPolicy policy_;
  DutyHolder self_;
  std::optional<StoredDutyRecord> known_;
  /// When the record was first seen at its present revision.
  Instant seenSince_{};
  Instant renewed_{};
  /// When this daemon took the duties.
  Instant taken_{};
  /// When the record was read last.
  Instant readAt_{};
  /// Since when the store has answered none of this daemon's calls.
  std::optional<Instant> unansweredSince_;
  /// What this daemon held when it resigned last.
  std::optional<DutyHolder> resigned_;
  /// What the last step would make of the record.
  std::optional<DutyRecord> pending_;
  std::optional<std::int64_t> sending_;
  Instant retryAt_{};
  /// When the counts under way were last written.
  Instant checkpointed_{};
  /// What the holder before had written of windows under way.
  UsageByWindow inherited_;
  /// When the record was asked for, all daemons that were heard had started after its last holder.
  bool allAreNew_ = false;
  bool absent_ = false;
  bool holds_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_DUTYSTATEMACHINE_H
