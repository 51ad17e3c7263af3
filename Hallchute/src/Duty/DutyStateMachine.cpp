// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Duty/DutyStateMachine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"
#include "Hallchute/src/Gateway/CrashLedger.h"

namespace Hallchute {
namespace {

/// Delay from a window's end until the counts of all daemons have arrived: several report periods,
/// plus the responses after which a run is only then counted.
constexpr Millis kMinFinalisationDelay{2'500};
/// Added to the lease of a silent holder before a takeover: the clocks may drift, and the holder's
/// last call may still be in flight.
constexpr Millis kLeaseMargin{1'000};
/// Delay before a failed call is retried.
constexpr Millis kRetryDelay{400};
/// Time before a report's deadline at which incomplete counts are finalised. Covers one polling
/// period, the write and the report call, each of which may time out once and be retried.
constexpr Millis kReportReserve{3'250};
/// Interval between checkpoints of the counts of open windows. Bounds what is lost if all daemons
/// stop at once.
constexpr Millis kCheckpointInterval{1'000};
/// The store counts as reachable by other daemons if it answered one within this time: a report
/// period plus the delay over two relays.
constexpr Millis kMaxStoreAge{1'000};
/// Interval at which a daemon that waits for the holder's lease to expire rereads the record: the
/// holder may have released it.
constexpr Millis kReadInterval{1'000};
/// Reported windows kept in the record: those that may still be due, and one more.
constexpr std::int64_t kRetainedWindows = 4;

/// The histories that keep a content from being dispatched.
std::vector<CrashHistory> quarantinedIn(const DutyRecord& record) {
  std::vector<CrashHistory> histories;
  std::copy_if(
      record.crashHistories.begin(), record.crashHistories.end(), std::back_inserter(histories),
      [](const CrashHistory& history) { return history.count() >= CrashLedger::kMaxCrashes; });
  return histories;
}

}  // namespace

DutyStateMachine::DutyStateMachine(DutyPolicy policy, DaemonId self, std::uint64_t incarnation)
    : policy_(policy), self_{std::move(self), incarnation, 0} {}

DutyHolder DutyStateMachine::holder() const {
  DutyHolder holder = stored_ ? stored_->record.holder : DutyHolder{};
  if (resignedHolder_) holder.mergeNewer(*resignedHolder_);
  return holder;
}

std::vector<RolloutRecord> DutyStateMachine::storedRollouts() const {
  return holdsDuties_ && stored_ ? stored_->record.rollouts : std::vector<RolloutRecord>{};
}

bool DutyStateMachine::renewedWithin(Millis time, Instant now) const {
  return holdsDuties_ && now - renewedAt_ <= time;
}

DutyStep DutyStateMachine::renewal() const {
  return DutySteps::Write{stored_->record, stored_->revision};
}

DutyStep DutyStateMachine::release(const DutyFacts& facts) const {
  DutyRecord record = stored_->record;
  record.openUsage = openWindowUsage(facts, record);
  record.holder = DutyHolder{{}, 0, record.holder.epoch};
  return DutySteps::Write{std::move(record), stored_->revision};
}

void DutyStateMachine::stepDown() {
  holdsDuties_ = false;
  stored_.reset();
  pendingRecord_.reset();
  pendingReport_.reset();
}

bool DutyStateMachine::isPreferredCandidate(const DutyFacts& facts) const {
  auto first = facts.live.begin();
  const bool resigned = facts.reportedHolder.resigned && facts.live.size() > 1;
  if (resigned && first->first == facts.reportedHolder.daemon) ++first;
  return first != facts.live.end() && first->first == self_.daemon;
}

bool DutyStateMachine::isReportedHolder(const DutyFacts& facts) const {
  return facts.reportedHolder.daemon == self_.daemon &&
         facts.reportedHolder.incarnation == self_.incarnation;
}

bool DutyStateMachine::isHeldByLiveDaemon(const DutyFacts& facts) const {
  const DutyHolder& reportedHolder = facts.reportedHolder;
  if (reportedHolder.epoch == 0 || reportedHolder.resigned || reportedHolder.daemon == self_.daemon)
    return false;
  const auto holderEntry = facts.live.find(reportedHolder.daemon);
  return holderEntry != facts.live.end() && holderEntry->second == reportedHolder.incarnation;
}

bool DutyStateMachine::shouldResign(const DutyFacts& facts, Instant now) const {
  if (!isReportedHolder(facts) || facts.reportedHolder.resigned || !unavailableSince_) return false;
  return now - *unavailableSince_ >= policy_.lease && facts.storeAge <= kMaxStoreAge;
}

void DutyStateMachine::resign(const DutyHolder& holder) {
  stepDown();
  resignedHolder_ = holder;
  resignedHolder_->resigned = true;
}

bool DutyStateMachine::mayTakeOver(const DutyFacts& facts, Instant now) const {
  const DutyHolder& holder = stored_->record.holder;
  if (holder.daemon.empty()) return true;
  const auto holderEntry = facts.live.find(holder.daemon);
  // A different incarnation means that the process that held the duties has ended.
  if (holderEntry != facts.live.end()) {
    const bool resigned =
        facts.reportedHolder.resigned && facts.reportedHolder.epoch == holder.epoch;
    return resigned || holderEntry->second != holder.incarnation;
  }
  return now - unchangedSince_ >= policy_.lease + kLeaseMargin;
}

DutyRecord DutyStateMachine::recordAfterTakeover(const DutyRecord& before) {
  inheritedUsage_ = before.openUsage;
  DutyRecord record = before;
  record.holder = self_;
  record.holder.epoch = before.holder.epoch + 1;
  // No running daemon reports these counts, so they are added to those reported from now on.
  if (previousFleetEnded_) record.orphanedUsage = record.openUsage;
  return record;
}

DutyStep DutyStateMachine::next(const DutyFacts& facts, Instant now) {
  if (now < retryAt_) return DutySteps::Nothing{};
  if (shouldResign(facts, now)) resign(facts.reportedHolder);
  if (holdsDuties_ && facts.reportedHolder.epoch > holder().epoch) stepDown();
  return holdsDuties_ ? nextAsHolder(facts, now) : nextAsNonHolder(facts, now);
}

DutyStep DutyStateMachine::nextAsNonHolder(const DutyFacts& facts, Instant now) {
  if (!facts.fleetDiscovered) return DutySteps::Nothing{};
  // A holder whose last write has an unknown outcome rereads the record itself: the others wait for
  // it.
  if (!isPreferredCandidate(facts) && !isReportedHolder(facts)) {
    // The cached record may become stale while another daemon is the preferred candidate.
    stored_.reset();
    recordAbsent_ = false;
    return DutySteps::Nothing{};
  }
  if (isHeldByLiveDaemon(facts)) {
    stored_.reset();
    return DutySteps::Nothing{};
  }
  if (recordAbsent_) {
    pendingRecord_ = recordAfterTakeover({});
    return DutySteps::Create{*pendingRecord_};
  }
  if (!stored_) {
    // Any daemon that has been running since before the last holder ended reports that holder.
    previousFleetEnded_ = facts.reportedHolder.epoch == 0 && facts.live.size() >= facts.expected;
    return DutySteps::Read{};
  }
  if (!mayTakeOver(facts, now)) {
    if (now - readAt_ < kReadInterval) return DutySteps::Nothing{};
    return DutySteps::Read{};
  }
  pendingRecord_ = recordAfterTakeover(stored_->record);
  return DutySteps::Write{*pendingRecord_, stored_->revision};
}

std::int64_t DutyStateMachine::firstUnreportedWindow(const DutyFacts& facts) const {
  const std::int64_t oldest =
      (facts.wallClock - policy_.reportDeadline - policy_.window) / policy_.window;
  const DutyRecord& record = stored_->record;
  std::int64_t first = std::max(oldest, record.sentThrough + 1);
  if (record.sentThrough > 0) return first;
  // Nothing was reported yet: skip the windows before the deployment's first requests.
  const UsageByWindow unfinalised = this->unfinalisedUsage(facts);
  const UsageByWindow& earliest = record.finalUsage.empty() ? unfinalised : record.finalUsage;
  return earliest.empty() ? first : std::max(first, earliest.begin()->first);
}

/// Counts of all windows that are not finalised, from the daemons' reports and from the record as
/// it was when this daemon took over the duties.
UsageByWindow DutyStateMachine::unfinalisedUsage(const DutyFacts& facts) const {
  const DutyRecord& record = stored_->record;
  UsageByWindow unfinalised = record.orphanedUsage;
  addUsage(unfinalised, facts.usage);
  raiseUsage(unfinalised, inheritedUsage_);
  std::erase_if(unfinalised, [&](const auto& entry) {
    return entry.first <= record.sentThrough || record.finalUsage.contains(entry.first);
  });
  return unfinalised;
}

/// Delay from a window's end until its counts are finalised. If running daemons are unreachable,
/// waits as long as the deadline allows: counts without theirs are certainly wrong, whereas this
/// daemon only might stop in the meantime.
Millis DutyStateMachine::finalisationDelay(const DutyFacts& facts) const {
  const bool complete = facts.usageComplete && facts.live.size() >= facts.expected;
  return complete ? kMinFinalisationDelay
                  : std::max(kMinFinalisationDelay, policy_.reportDeadline - kReportReserve);
}

/// Checkpoint of the unreported windows that \p record doesn't hold as finalised.
UsageByWindow DutyStateMachine::openWindowUsage(const DutyFacts& facts,
                                                const DutyRecord& record) const {
  UsageByWindow unfinalised = this->unfinalisedUsage(facts);
  const std::int64_t first = firstUnreportedWindow(facts);
  std::erase_if(unfinalised, [&](const auto& entry) {
    return record.finalUsage.contains(entry.first) || entry.first < first;
  });
  return unfinalised;
}

/// Finalises the counts of windows that ended long enough ago. \returns whether there were any.
bool DutyStateMachine::finaliseWindows(const DutyFacts& facts, DutyRecord& record) const {
  const UsageByWindow unfinalised = this->unfinalisedUsage(facts);
  if (record.sentThrough == 0 && unfinalised.empty()) return false;
  const std::int64_t last = (facts.wallClock - finalisationDelay(facts)) / policy_.window - 1;
  bool added = false;
  for (std::int64_t window = firstUnreportedWindow(facts); window <= last; ++window) {
    if (record.finalUsage.contains(window)) continue;
    const auto counts = unfinalised.find(window);
    record.finalUsage[window] = counts == unfinalised.end() ? UsageCounts{} : counts->second;
    record.orphanedUsage.erase(window);
    added = true;
  }
  record.finalUsage.erase(record.finalUsage.begin(),
                          record.finalUsage.lower_bound(record.sentThrough - kRetainedWindows));
  return added;
}

/// A holder that has just taken over may not have merged the record's
/// into its own yet.
std::vector<CrashHistory> DutyStateMachine::historiesToStore(const DutyFacts& facts,
                                                             Instant now) const {
  if (now - acquiredAt_ >= policy_.lease) return facts.crashHistories;
  std::map<RequestFingerprint, CrashHistory> all;
  for (const CrashHistory& history : stored_->record.crashHistories) all[history.content] = history;
  for (const CrashHistory& history : facts.crashHistories) all[history.content] = history;
  std::vector<CrashHistory> histories;
  histories.reserve(all.size());
  for (const auto& [content, history] : all) histories.push_back(history);
  return histories;
}

DutyStep DutyStateMachine::nextAsHolder(const DutyFacts& facts, Instant now) {
  const DutyRecord& record = stored_->record;
  const std::int64_t first = firstUnreportedWindow(facts);
  for (const auto& [window, counts] : record.finalUsage) {
    if (window < first) continue;
    pendingReport_ = window;
    return DutySteps::SendUsage{record.holder.epoch, window, counts};
  }
  DutyRecord updated = record;
  updated.crashHistories = historiesToStore(facts, now);
  // A holder that has just taken over may not have merged the record's into its own yet.
  const bool merged = now - acquiredAt_ >= policy_.lease;
  if (merged || !facts.rejectionLimits.empty()) updated.rejectionLimits = facts.rejectionLimits;
  if (facts.rollouts) updated.rollouts = *facts.rollouts;
  // Evaluated first, as it changes the record.
  const bool finalised = finaliseWindows(facts, updated);
  const bool urgent = finalised || quarantinedIn(updated) != quarantinedIn(record) ||
                      updated.rollouts != record.rollouts;
  if (!urgent && now - checkpointedAt_ < kCheckpointInterval) return DutySteps::Nothing{};
  updated.openUsage = openWindowUsage(facts, updated);
  const bool changed = updated.openUsage != record.openUsage ||
                       updated.crashHistories != record.crashHistories ||
                       updated.rejectionLimits != record.rejectionLimits;
  if (!urgent && !changed) return DutySteps::Nothing{};
  // A holder that has just taken over may not have discovered all daemons yet.
  const bool settled = now - acquiredAt_ >= policy_.lease;
  updated.daemons = settled ? facts.expected : std::max(record.daemons, facts.expected);
  checkpointedAt_ = now;
  pendingRecord_ = std::move(updated);
  return DutySteps::Write{*pendingRecord_, stored_->revision};
}

void DutyStateMachine::noteRead(const StoredDutyRecord& stored, Instant now) {
  recordAbsent_ = false;
  unavailableSince_.reset();
  readAt_ = now;
  const bool changed = !stored_ || stored_->revision != stored.revision;
  stored_ = stored;
  if (changed) unchangedSince_ = now;
  // A write whose response was lost may have been applied.
  const DutyHolder& holder = stored.record.holder;
  const bool isSelf = holder.daemon == self_.daemon && holder.incarnation == self_.incarnation;
  holdsDuties_ = isSelf && !(resignedHolder_ && resignedHolder_->epoch == holder.epoch);
  if (holdsDuties_) renewedAt_ = now;
}

void DutyStateMachine::noteOutcome(DutyOutcome outcome, std::uint64_t revision, Instant now) {
  const std::optional<DutyRecord> pending = std::exchange(pendingRecord_, std::nullopt);
  const std::optional<std::int64_t> sending = std::exchange(pendingReport_, std::nullopt);
  const bool answered = outcome != DutyOutcome::unavailable && outcome != DutyOutcome::unknown;
  // Usage reports don't go to the store, so their outcome says nothing about its availability.
  if (!sending && answered) unavailableSince_.reset();
  if (!sending && !answered && !unavailableSince_) unavailableSince_ = now;
  switch (outcome) {
    case DutyOutcome::done:
      if (pending) {
        stored_ = StoredDutyRecord{*pending, revision};
        unchangedSince_ = now;
        renewedAt_ = now;
        if (!holdsDuties_) acquiredAt_ = now;
        holdsDuties_ = true;
        recordAbsent_ = false;
      } else if (sending && stored_) {
        stored_->record.sentThrough = std::max(stored_->record.sentThrough, *sending);
      }
      return;
    case DutyOutcome::superseded:
      stepDown();
      recordAbsent_ = false;
      retryAt_ = now + kRetryDelay;
      return;
    case DutyOutcome::absent:
      recordAbsent_ = true;
      return;
    case DutyOutcome::unavailable:
      retryAt_ = now + kRetryDelay;
      return;
    case DutyOutcome::unknown:
      retryAt_ = now + kRetryDelay;
      // The write may have been applied: reread the record before any other step.
      if (pending) {
        holdsDuties_ = false;
        recordAbsent_ = false;
        stored_.reset();
      }
      return;
  }
}

}  // namespace Hallchute
