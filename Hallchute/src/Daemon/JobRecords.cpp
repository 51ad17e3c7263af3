// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/JobRecords.h"

#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {
namespace {

constexpr std::size_t kListPageSize = 200;
/// A holder must be missing for this time before its requests are taken over.
constexpr Millis kHolderTimeout{1'500};
/// Interval at which the partial answer of a running request is written.
constexpr Millis kCheckpointInterval{5'000};
constexpr Millis kPlatformRetryAfter{1'000};
constexpr int kMaxCreateAttempts = 3;

bool hasEnded(JobStage stage) {
  return stage == JobStage::finished || stage == JobStage::refused;
}

}  // namespace

JobRecords::JobRecords(TrafficContext& context) : context_(context) {}

bool JobRecords::create(const Job& job, std::uint64_t generation) {
  const std::string key = requestKey(job.spec().request);
  const std::string text = handOverText(job.record(context_.daemon, generation));
  for (int attempt = 0; attempt < kMaxCreateAttempts; ++attempt) {
    context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
    const auto reply = context_.platform.write(key, text, 0);
    std::uint64_t version = 0;
    if (const auto* done = std::get_if<Done<std::uint64_t>>(&reply)) {
      version = done->value;
    } else if (const auto* refused = std::get_if<Refused>(&reply);
               refused != nullptr && refused->reason != PlatformRefusal::conflict) {
      return false;
    } else {
      // Either the reply was lost or the key exists. Request ids are random: an object with the
      // same text is the one written here.
      const auto read = context_.platform.read(key);
      const auto* found = std::get_if<Done<StoredObject>>(&read);
      if (found != nullptr && found->value.value == text) version = found->value.version;
    }
    if (version == 0) continue;
    const std::lock_guard lock(mutex_);
    records_[job.spec().request] = {version, generation, job.tokenCount(), false, Instant{}};
    return true;
  }
  return false;
}

void JobRecords::recordHandOver(const Job& job, const DaemonId& peer) {
  const std::string key = requestKey(job.spec().request);
  RecordState recordState;
  {
    const std::lock_guard lock(mutex_);
    const auto it = records_.find(job.spec().request);
    if (it != records_.end()) recordState = it->second;
    records_.erase(job.spec().request);
  }
  HandOverRecord record = job.record(peer, recordState.generation + 1);
  record.state = JobState::running;
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
  const auto reply = context_.platform.write(key, handOverText(record), recordState.version);
  if (std::holds_alternative<Done<std::uint64_t>>(reply)) return;
  logMessage(LogLevel::warning,
             "the hand-over of request " + job.spec().request.str() + " could not be recorded");
}

void JobRecords::scheduleTakeOver(const RequestId& request) {
  const std::lock_guard lock(mutex_);
  pendingTakeOvers_.push_back(request);
}

void JobRecords::takeOver(const RequestId& request) {
  const JobPtr job = context_.jobs.find(request);
  if (job == nullptr) return;
  const auto reply = context_.platform.read(requestKey(request));
  if (const auto* done = std::get_if<Done<StoredObject>>(&reply)) {
    Findings findings;
    const HandOverRecord found = parseHandOver(done->value.value, findings);
    HandOverRecord record = job->record(context_.daemon, found.generation);
    if (claim(record, done->value.version)) return;
  } else if (create(*job)) {
    return;
  }
  scheduleTakeOver(request);
}

void JobRecords::checkpoint() {
  std::vector<RequestId> requests;
  {
    const std::lock_guard lock(mutex_);
    requests.swap(pendingTakeOvers_);
  }
  for (const RequestId& request : requests) takeOver(request);
  std::map<RequestId, RecordState> records;
  {
    const std::lock_guard lock(mutex_);
    records = records_;
  }
  for (auto& [request, state] : records) {
    const JobPtr job = context_.jobs.find(request);
    const bool stillHeld = job != nullptr && job->stage() != JobStage::handedOver &&
                           (save(*job, state) && !state.savedFinal);
    const std::lock_guard lock(mutex_);
    if (stillHeld) {
      records_[request] = state;
    } else {
      records_.erase(request);
    }
  }
}

/// \returns false once another daemon holds the record.
bool JobRecords::save(const Job& job, RecordState& recordState) {
  const std::size_t tokens = job.tokenCount();
  const bool ended = hasEnded(job.stage());
  const Instant now = clockNow();
  const bool due =
      tokens > recordState.savedTokens && now - recordState.savedAt >= kCheckpointInterval;
  if (!due && !ended) return true;
  recordState.savedAt = now;
  const std::string key = requestKey(job.spec().request);
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
  const auto reply = context_.platform.write(
      key, handOverText(job.record(context_.daemon, recordState.generation)), recordState.version);
  if (const auto* done = std::get_if<Done<std::uint64_t>>(&reply)) {
    recordState.version = done->value;
    recordState.savedTokens = tokens;
    recordState.savedFinal = ended;
    return true;
  }
  const auto* refused = std::get_if<Refused>(&reply);
  if (refused != nullptr && refused->reason != PlatformRefusal::conflict) return true;
  // Either the reply was lost or another daemon is the holder; read the record to find out.
  const auto read = context_.platform.read(key);
  const auto* found = std::get_if<Done<StoredObject>>(&read);
  if (found == nullptr) return true;
  Findings findings;
  const HandOverRecord record = parseHandOver(found->value.value, findings);
  if (record.generation > recordState.generation) {
    logMessage(LogLevel::warning,
               job.spec().request.str() + " was taken over and now runs on " + record.holder.str());
    return false;
  }
  recordState.version = found->value.version;
  return true;
}

bool JobRecords::isHolderGone(const HandOverRecord& record, Instant now) {
  if (record.holder == context_.daemon) return false;
  if (context_.mayBeAlive(record.holder)) {
    holderMissingSince_.erase(record.holder);
    return false;
  }
  const Instant since = holderMissingSince_.try_emplace(record.holder, now).first->second;
  return now - since >= kHolderTimeout;
}

bool JobRecords::claim(HandOverRecord& record, std::uint64_t version) {
  record.holder = context_.daemon;
  ++record.generation;
  const auto reply =
      context_.platform.write(requestKey(record.request), handOverText(record), version);
  const auto* done = std::get_if<Done<std::uint64_t>>(&reply);
  if (done == nullptr) return false;
  const std::lock_guard lock(mutex_);
  records_[record.request] = {done->value, record.generation, record.tokens.size(), false,
                              Instant{}};
  return true;
}

std::vector<HandOverRecord> JobRecords::claimOrphans(Instant now) {
  std::vector<HandOverRecord> claimed;
  std::string after;
  for (;;) {
    context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-list\"");
    const auto reply = context_.platform.list(kRequestPrefix, after, kListPageSize);
    const auto* done = std::get_if<Done<ObjectList>>(&reply);
    if (done == nullptr) return claimed;
    context_.health.recordAnswer(now);
    for (const StoredObject& object : done->value.objects) {
      after = object.key;
      Findings findings;
      HandOverRecord record = parseHandOver(object.value, findings);
      if (!findings.empty() || record.state != JobState::running) continue;
      if (context_.jobs.find(record.request) != nullptr || !isHolderGone(record, now)) continue;
      if (claim(record, object.version)) claimed.push_back(std::move(record));
    }
    if (done->value.objects.size() < kListPageSize) return claimed;
  }
}

std::variant<HandOverRecord, Refusal> JobRecords::find(const RequestId& request) {
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-read\"");
  const auto reply = context_.platform.read(requestKey(request));
  if (const auto* done = std::get_if<Done<StoredObject>>(&reply)) {
    Findings findings;
    HandOverRecord record = parseHandOver(done->value.value, findings);
    if (findings.empty()) return record;
    return Refusal{RefusalReason::notFound, "the request's record is unreadable",
                   RunOutcome::unknown, std::nullopt};
  }
  const auto* refused = std::get_if<Refused>(&reply);
  if (refused != nullptr && refused->reason == PlatformRefusal::absent) {
    return Refusal{RefusalReason::notFound, "no such request is known", RunOutcome::unknown,
                   std::nullopt};
  }
  return Refusal{RefusalReason::platformOutage, "the request is not here and the platform is out",
                 RunOutcome::unknown, kPlatformRetryAfter};
}

std::size_t JobRecords::unsavedCount() const {
  const std::lock_guard lock(mutex_);
  return records_.size();
}

}  // namespace Hallchute
