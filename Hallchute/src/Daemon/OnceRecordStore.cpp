// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/OnceRecordStore.h"

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {

OnceRecordStore::OnceRecordStore(TrafficContext& context) : context_(context) {}

OnceEvent OnceRecordStore::write(const std::string& key, const OnceRecord& record,
                                 std::uint64_t ifVersion) {
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"once-write\"");
  return std::visit(
      Overloaded{[&](const Done<std::uint64_t>& done) -> OnceEvent {
                   context_.health.recordAnswer(clockNow());
                   return RecordWritten{done.value};
                 },
                 [](const Refused& refused) -> OnceEvent {
                   if (refused.reason == PlatformRefusal::conflict) return RecordConflict{};
                   return RecordWriteRefused{};
                 },
                 [](const OutcomeUnknown&) -> OnceEvent { return RecordWriteUnknown{}; }},
      context_.platform.write(key, onceText(record), ifVersion));
}

OnceEvent OnceRecordStore::read(const std::string& key) {
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"once-read\"");
  return std::visit(
      Overloaded{[&](const Done<StoredObject>& done) -> OnceEvent {
                   Findings findings;
                   RecordFound found;
                   found.record = parseOnce(done.value.value, findings);
                   found.version = done.value.version;
                   found.holderMayBeAlive = context_.mayBeAlive(found.record.holder);
                   if (!findings.empty()) found.record.state = OnceState::unknown;
                   return found;
                 },
                 [](const Refused& refused) -> OnceEvent {
                   if (refused.reason == PlatformRefusal::absent) return RecordAbsent{};
                   return RecordReadFailed{};
                 },
                 [](const OutcomeUnknown&) -> OnceEvent { return RecordReadFailed{}; }},
      context_.platform.read(key));
}

void OnceRecordStore::storeLater(const std::string& key, const OnceRecord& record) {
  const std::lock_guard lock(mutex_);
  pending_.push_back({key, record});
  if (pending_.size() <= kMaxPending) return;
  pending_.pop_front();
  context_.metrics.add("hallchute_once_outcomes_lost_total", "");
  logMessage(LogLevel::error, "dropped the oldest unstored outcome: too many outcomes are pending");
}

std::size_t OnceRecordStore::flush() {
  std::deque<PendingRecord> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(pending_);
  }
  bool allStored = true;
  std::deque<PendingRecord> remaining;
  for (PendingRecord& pending : batch) {
    allStored = allStored && storePending(pending);
    if (!allStored) remaining.push_back(std::move(pending));
  }
  const std::lock_guard lock(mutex_);
  pending_.insert(pending_.begin(), remaining.begin(), remaining.end());
  context_.metrics.set("hallchute_once_outcomes_waiting", "", static_cast<double>(pending_.size()));
  return pending_.size();
}

/// \returns true if the record is stored, needs no storing, or now belongs to another attempt.
bool OnceRecordStore::storePending(const PendingRecord& pending) {
  const OnceEvent event = read(pending.key);
  if (std::holds_alternative<RecordAbsent>(event)) {
    // The creation never took effect. An abandoned attempt needs no record, but an outcome does.
    if (pending.record.state == OnceState::abandoned) return true;
    return std::holds_alternative<RecordWritten>(write(pending.key, pending.record, 0));
  }
  const auto* found = std::get_if<RecordFound>(&event);
  if (found == nullptr) return false;
  const bool sameAttempt = found->record.attempt == pending.record.attempt;
  if (!sameAttempt || found->record.state == pending.record.state) return true;
  return std::holds_alternative<RecordWritten>(write(pending.key, pending.record, found->version));
}

}  // namespace Hallchute
