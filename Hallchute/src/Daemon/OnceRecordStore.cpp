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
  waiting_.push_back({key, record});
  if (waiting_.size() <= kMaxWaiting) return;
  waiting_.pop_front();
  context_.metrics.add("hallchute_once_outcomes_lost_total", "");
  logLine(LogLevel::error, "an outcome that could not be stored was let go");
}

std::size_t OnceRecordStore::flush() {
  std::deque<Waiting> tries;
  {
    const std::lock_guard lock(mutex_);
    tries.swap(waiting_);
  }
  bool reached = true;
  std::deque<Waiting> left;
  for (Waiting& waiting : tries) {
    reached = reached && store(waiting);
    if (!reached) left.push_back(std::move(waiting));
  }
  const std::lock_guard lock(mutex_);
  waiting_.insert(waiting_.begin(), left.begin(), left.end());
  context_.metrics.set("hallchute_once_outcomes_waiting", "", static_cast<double>(waiting_.size()));
  return waiting_.size();
}

/// \returns whether the record stands, or is another attempt's by now.
bool OnceRecordStore::store(const Waiting& waiting) {
  const OnceEvent event = read(waiting.key);
  if (std::holds_alternative<RecordAbsent>(event)) {
    // The creation never took effect. An abandoned attempt needs no record; an outcome does.
    if (waiting.record.state == OnceState::abandoned) return true;
    return std::holds_alternative<RecordWritten>(write(waiting.key, waiting.record, 0));
  }
  const auto* found = std::get_if<RecordFound>(&event);
  if (found == nullptr) return false;
  const bool mine = found->record.attempt == waiting.record.attempt;
  if (!mine || found->record.state == waiting.record.state) return true;
  return std::holds_alternative<RecordWritten>(write(waiting.key, waiting.record, found->version));
}

}  // namespace Hallchute
