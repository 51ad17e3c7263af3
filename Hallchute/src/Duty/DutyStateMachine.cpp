// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Duty/DutyStateMachine.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

/// After a window's end until all daemons' counts of it are in: several report periods, and the
/// answers that tell of a run only afterwards.
constexpr Millis kSettle{2'500};
/// A silent holder is given up this much after its lease: its clock and ours may drift, and its
/// last call may be under way.
constexpr Millis kLeaseMargin{1'000};
/// Between two tries at a call that failed.
constexpr Millis kRetry{400};
/// Left until a report is due when incomplete counts are fixed: a turn, the write and the call,
/// each of which may time out once and be tried again.
constexpr Millis kReportTime{3'250};
/// Between two writes of what is counted of windows under way: what is lost if all daemons end.
constexpr Millis kCheckpointEvery{1'000};
/// The store has answered another daemon within this: a report period and the way by two relays.
constexpr Millis kStoreAnswers{1'000};
/// How often a daemon that waits for a holder's lease to end reads the record again: the holder may
/// have given it up.
constexpr Millis kReadEvery{1'000};
/// Windows kept in the record: those that may still be due, and one more.
constexpr std::int64_t kFixedKept = 4;

}  // namespace

DutyStateMachine::DutyStateMachine(DutyPolicy policy, DaemonId self, std::uint64_t incarnation)
    : policy_(policy), self_{std::move(self), incarnation, 0} {}

DutyHolder DutyStateMachine::holder() const {
  DutyHolder holder = known_ ? known_->record.holder : DutyHolder{};
  if (resigned_) holder.mergeNewer(*resigned_);
  return holder;
}

bool DutyStateMachine::renewedWithin(Millis time, Instant now) const {
  return holds_ && now - renewed_ <= time;
}

DutyStep DutyStateMachine::renewal() const {
  return DutySteps::Write{known_->record, known_->revision};
}

DutyStep DutyStateMachine::release(const DutyFacts& facts) const {
  DutyRecord record = known_->record;
  record.openUsage = unfixed(facts, record);
  record.holder = DutyHolder{{}, 0, record.holder.epoch};
  return DutySteps::Write{std::move(record), known_->revision};
}

void DutyStateMachine::stepDown() {
  holds_ = false;
  known_.reset();
  pending_.reset();
  sending_.reset();
}

bool DutyStateMachine::isFirst(const DutyFacts& facts) const {
  auto first = facts.heard.begin();
  const bool resigned = facts.reportedHolder.resigned && facts.heard.size() > 1;
  if (resigned && first->first == facts.reportedHolder.daemon) ++first;
  return first != facts.heard.end() && first->first == self_.daemon;
}

bool DutyStateMachine::isNamed(const DutyFacts& facts) const {
  return facts.reportedHolder.daemon == self_.daemon &&
         facts.reportedHolder.incarnation == self_.incarnation;
}

bool DutyStateMachine::isHeldElsewhere(const DutyFacts& facts) const {
  const DutyHolder& reportedHolder = facts.reportedHolder;
  if (reportedHolder.epoch == 0 || reportedHolder.resigned || reportedHolder.daemon == self_.daemon)
    return false;
  const auto heard = facts.heard.find(reportedHolder.daemon);
  return heard != facts.heard.end() && heard->second == reportedHolder.incarnation;
}

bool DutyStateMachine::resignsNow(const DutyFacts& facts, Instant now) const {
  if (!isNamed(facts) || facts.reportedHolder.resigned || !unansweredSince_) return false;
  return now - *unansweredSince_ >= policy_.lease && facts.storeAge <= kStoreAnswers;
}

void DutyStateMachine::resign(const DutyHolder& holder) {
  stepDown();
  resigned_ = holder;
  resigned_->resigned = true;
}

bool DutyStateMachine::mayTake(const DutyFacts& facts, Instant now) const {
  const DutyHolder& holder = known_->record.holder;
  if (holder.daemon.empty()) return true;
  const auto heard = facts.heard.find(holder.daemon);
  // A later incarnation means that the one that held them is no more.
  if (heard != facts.heard.end()) {
    const bool resigned =
        facts.reportedHolder.resigned && facts.reportedHolder.epoch == holder.epoch;
    return resigned || heard->second != holder.incarnation;
  }
  return now - seenSince_ >= policy_.lease + kLeaseMargin;
}

DutyRecord DutyStateMachine::taken(const DutyRecord& before) {
  inherited_ = before.openUsage;
  DutyRecord record = before;
  record.holder = self_;
  record.holder.epoch = before.holder.epoch + 1;
  // Nobody is left who counted them: they add to what is counted from now on.
  if (allAreNew_) record.orphanedUsage = record.openUsage;
  return record;
}

DutyStep DutyStateMachine::next(const DutyFacts& facts, Instant now) {
  if (now < retryAt_) return DutySteps::Nothing{};
  if (resignsNow(facts, now)) resign(facts.reportedHolder);
  if (holds_ && facts.reportedHolder.epoch > holder().epoch) stepDown();
  return holds_ ? nextAsHolder(facts, now) : nextAsOther(facts, now);
}

DutyStep DutyStateMachine::nextAsOther(const DutyFacts& facts, Instant now) {
  if (!facts.fleetDiscovered) return DutySteps::Nothing{};
  // A holder that no longer knows whether it holds is waited for by all others.
  if (!isFirst(facts) && !isNamed(facts)) {
    // What was read may change unseen while another daemon is first.
    known_.reset();
    absent_ = false;
    return DutySteps::Nothing{};
  }
  if (isHeldElsewhere(facts)) {
    known_.reset();
    return DutySteps::Nothing{};
  }
  if (absent_) {
    pending_ = taken({});
    return DutySteps::Create{*pending_};
  }
  if (!known_) {
    // Whoever runs since before the last holder's end names it.
    allAreNew_ = facts.reportedHolder.epoch == 0 && facts.heard.size() >= facts.known;
    return DutySteps::Read{};
  }
  if (!mayTake(facts, now)) {
    if (now - readAt_ < kReadEvery) return DutySteps::Nothing{};
    return DutySteps::Read{};
  }
  pending_ = taken(known_->record);
  return DutySteps::Write{*pending_, known_->revision};
}

std::int64_t DutyStateMachine::firstWindow(const DutyFacts& facts) const {
  const std::int64_t oldest = (facts.wallClock - policy_.due - policy_.window) / policy_.window;
  const DutyRecord& record = known_->record;
  std::int64_t first = std::max(oldest, record.sentThrough + 1);
  if (record.sentThrough > 0) return first;
  // Nothing was reported yet: windows before the deployment's first requests are left out.
  const UsageByWindow openUsage = this->openUsage(facts);
  const UsageByWindow& earliest = record.finalUsage.empty() ? openUsage : record.finalUsage;
  return earliest.empty() ? first : std::max(first, earliest.begin()->first);
}

/// Counts of all windows that are not fixed, by the daemons' reports and by what the record held
/// when this daemon took the duties.
UsageByWindow DutyStateMachine::openUsage(const DutyFacts& facts) const {
  const DutyRecord& record = known_->record;
  UsageByWindow openUsage = record.orphanedUsage;
  addUsage(openUsage, facts.usage);
  raiseUsage(openUsage, inherited_);
  std::erase_if(openUsage, [&](const auto& entry) {
    return entry.first <= record.sentThrough || record.finalUsage.contains(entry.first);
  });
  return openUsage;
}

/// How long after its end a window's counts are taken. Counts without daemons that run and are not
/// heard are certain to be wrong; that this daemon ends in the time left to them is not.
Millis DutyStateMachine::settleTime(const DutyFacts& facts) const {
  const bool complete = facts.usageComplete && facts.heard.size() >= facts.known;
  return complete ? kSettle : std::max(kSettle, policy_.due - kReportTime);
}

/// What a record holds of windows that it doesn't hold as fixed.
UsageByWindow DutyStateMachine::unfixed(const DutyFacts& facts, const DutyRecord& record) const {
  UsageByWindow openUsage = this->openUsage(facts);
  const std::int64_t first = firstWindow(facts);
  std::erase_if(openUsage, [&](const auto& entry) {
    return record.finalUsage.contains(entry.first) || entry.first < first;
  });
  return openUsage;
}

/// Adds the counts of windows that ended long enough ago. \returns whether there were any.
bool DutyStateMachine::fixWindows(const DutyFacts& facts, DutyRecord& record) const {
  const UsageByWindow openUsage = this->openUsage(facts);
  if (record.sentThrough == 0 && openUsage.empty()) return false;
  const std::int64_t last = (facts.wallClock - settleTime(facts)) / policy_.window - 1;
  bool added = false;
  for (std::int64_t window = firstWindow(facts); window <= last; ++window) {
    if (record.finalUsage.contains(window)) continue;
    const auto counts = openUsage.find(window);
    record.finalUsage[window] = counts == openUsage.end() ? UsageCounts{} : counts->second;
    record.orphanedUsage.erase(window);
    added = true;
  }
  record.finalUsage.erase(record.finalUsage.begin(),
                          record.finalUsage.lower_bound(record.sentThrough - kFixedKept));
  return added;
}

DutyStep DutyStateMachine::nextAsHolder(const DutyFacts& facts, Instant now) {
  const DutyRecord& record = known_->record;
  const std::int64_t first = firstWindow(facts);
  for (const auto& [window, counts] : record.finalUsage) {
    if (window < first) continue;
    sending_ = window;
    return DutySteps::SendUsage{record.holder.epoch, window, counts};
  }
  DutyRecord more = record;
  const bool fixes = fixWindows(facts, more);
  if (!fixes && now - checkpointed_ < kCheckpointEvery) return DutySteps::Nothing{};
  more.openUsage = unfixed(facts, more);
  if (!fixes && more.openUsage == record.openUsage) return DutySteps::Nothing{};
  // A holder that has just started may know of few.
  const bool settled = now - taken_ >= policy_.lease;
  more.daemons = settled ? facts.known : std::max(record.daemons, facts.known);
  checkpointed_ = now;
  pending_ = std::move(more);
  return DutySteps::Write{*pending_, known_->revision};
}

void DutyStateMachine::noteRead(const StoredDutyRecord& stored, Instant now) {
  absent_ = false;
  unansweredSince_.reset();
  readAt_ = now;
  const bool changed = !known_ || known_->revision != stored.revision;
  known_ = stored;
  if (changed) seenSince_ = now;
  // A write whose answer was lost was done after all.
  const DutyHolder& holder = stored.record.holder;
  const bool isSelf = holder.daemon == self_.daemon && holder.incarnation == self_.incarnation;
  holds_ = isSelf && !(resigned_ && resigned_->epoch == holder.epoch);
  if (holds_) renewed_ = now;
}

void DutyStateMachine::noteOutcome(DutyOutcome outcome, std::uint64_t revision, Instant now) {
  const std::optional<DutyRecord> pending = std::exchange(pending_, std::nullopt);
  const std::optional<std::int64_t> sending = std::exchange(sending_, std::nullopt);
  const bool answered = outcome != DutyOutcome::unavailable && outcome != DutyOutcome::unknown;
  // Reports go elsewhere and tell nothing of the store.
  if (!sending && answered) unansweredSince_.reset();
  if (!sending && !answered && !unansweredSince_) unansweredSince_ = now;
  switch (outcome) {
    case DutyOutcome::done:
      if (pending) {
        known_ = StoredDutyRecord{*pending, revision};
        seenSince_ = now;
        renewed_ = now;
        if (!holds_) taken_ = now;
        holds_ = true;
        absent_ = false;
      } else if (sending && known_) {
        known_->record.sentThrough = std::max(known_->record.sentThrough, *sending);
      }
      return;
    case DutyOutcome::superseded:
      stepDown();
      absent_ = false;
      retryAt_ = now + kRetry;
      return;
    case DutyOutcome::absent:
      absent_ = true;
      return;
    case DutyOutcome::unavailable:
      retryAt_ = now + kRetry;
      return;
    case DutyOutcome::unknown:
      retryAt_ = now + kRetry;
      // The record may have changed under us: it is read before anything else is done.
      if (pending) {
        holds_ = false;
        absent_ = false;
        known_.reset();
      }
      return;
  }
}

}  // namespace Hallchute
