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

constexpr std::size_t kPage = 200;
/// A holder must be missing this long before its requests are taken on.
constexpr Millis kGoneFor{1'500};
/// How often the growing answer of a running request is written.
constexpr Millis kSaveEvery{5'000};
constexpr Millis kPlatformRetryAfter{1'000};
constexpr int kMaxTries = 3;

bool hasEnded(JobStage stage) {
  return stage == JobStage::finished || stage == JobStage::refused;
}

}  // namespace

JobRecords::JobRecords(TrafficContext& context) : context_(context) {}

bool JobRecords::create(const Job& job, std::uint64_t generation) {
  const std::string key = requestKey(job.spec().request);
  const std::string text = handOverText(job.record(context_.daemon, generation));
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
    const auto reply = context_.platform.write(key, text, 0);
    std::uint64_t version = 0;
    if (const auto* done = std::get_if<Done<std::uint64_t>>(&reply)) {
      version = done->value;
    } else if (const auto* refused = std::get_if<Refused>(&reply);
               refused != nullptr && refused->reason != PlatformRefusal::conflict) {
      return false;
    } else {
      // Request ids are random: an object that stands there is this one's, its reply was lost.
      const auto read = context_.platform.read(key);
      const auto* found = std::get_if<Done<StoredObject>>(&read);
      if (found != nullptr && found->value.value == text) version = found->value.version;
    }
    if (version == 0) continue;
    const std::lock_guard lock(mutex_);
    kept_[job.spec().request] = {version, generation, job.tokenCount(), false, Instant{}};
    return true;
  }
  return false;
}

void JobRecords::recordHandOver(const Job& job, const DaemonId& peer) {
  const std::string key = requestKey(job.spec().request);
  Kept kept;
  {
    const std::lock_guard lock(mutex_);
    const auto it = kept_.find(job.spec().request);
    if (it != kept_.end()) kept = it->second;
    kept_.erase(job.spec().request);
  }
  HandOverRecord record = job.record(peer, kept.generation + 1);
  record.state = JobState::running;
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
  const auto reply = context_.platform.write(key, handOverText(record), kept.version);
  if (std::holds_alternative<Done<std::uint64_t>>(reply)) return;
  logLine(LogLevel::warning, "the hand-over of " + job.spec().request.str() + " has no record");
}

void JobRecords::scheduleTakeOver(const RequestId& request) {
  const std::lock_guard lock(mutex_);
  toTakeOver_.push_back(request);
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
  std::vector<RequestId> taken;
  {
    const std::lock_guard lock(mutex_);
    taken.swap(toTakeOver_);
  }
  for (const RequestId& request : taken) takeOver(request);
  std::map<RequestId, Kept> kept;
  {
    const std::lock_guard lock(mutex_);
    kept = kept_;
  }
  for (auto& [request, state] : kept) {
    const JobPtr job = context_.jobs.find(request);
    const bool keep = job != nullptr && job->stage() != JobStage::handedOver &&
                      (save(*job, state) && !state.savedEnd);
    const std::lock_guard lock(mutex_);
    if (keep) {
      kept_[request] = state;
    } else {
      kept_.erase(request);
    }
  }
}

/// \returns false once the record is another daemon's.
bool JobRecords::save(const Job& job, Kept& kept) {
  const std::size_t tokens = job.tokenCount();
  const bool ended = hasEnded(job.stage());
  const Instant now = clockNow();
  const bool due = tokens > kept.savedTokens && now - kept.savedAt >= kSaveEvery;
  if (!due && !ended) return true;
  kept.savedAt = now;
  const std::string key = requestKey(job.spec().request);
  context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-write\"");
  const auto reply = context_.platform.write(
      key, handOverText(job.record(context_.daemon, kept.generation)), kept.version);
  if (const auto* done = std::get_if<Done<std::uint64_t>>(&reply)) {
    kept.version = done->value;
    kept.savedTokens = tokens;
    kept.savedEnd = ended;
    return true;
  }
  const auto* refused = std::get_if<Refused>(&reply);
  if (refused != nullptr && refused->reason != PlatformRefusal::conflict) return true;
  // A lost reply or another holder: the record tells which.
  const auto read = context_.platform.read(key);
  const auto* found = std::get_if<Done<StoredObject>>(&read);
  if (found == nullptr) return true;
  Findings findings;
  const HandOverRecord record = parseHandOver(found->value.value, findings);
  if (record.generation > kept.generation) {
    logLine(LogLevel::warning,
            job.spec().request.str() + " was taken on by " + record.holder.str());
    return false;
  }
  kept.version = found->value.version;
  return true;
}

bool JobRecords::holderIsGone(const HandOverRecord& record, Instant now) {
  if (record.holder == context_.daemon) return false;
  if (context_.mayBeAlive(record.holder)) {
    goneSince_.erase(record.holder);
    return false;
  }
  const Instant since = goneSince_.try_emplace(record.holder, now).first->second;
  return now - since >= kGoneFor;
}

bool JobRecords::claim(HandOverRecord& record, std::uint64_t version) {
  record.holder = context_.daemon;
  ++record.generation;
  const auto reply =
      context_.platform.write(requestKey(record.request), handOverText(record), version);
  const auto* done = std::get_if<Done<std::uint64_t>>(&reply);
  if (done == nullptr) return false;
  const std::lock_guard lock(mutex_);
  kept_[record.request] = {done->value, record.generation, record.tokens.size(), false, Instant{}};
  return true;
}

std::vector<HandOverRecord> JobRecords::claimOrphans(Instant now) {
  std::vector<HandOverRecord> claimed;
  std::string after;
  for (;;) {
    context_.metrics.add("hallchute_platform_calls_total", "kind=\"job-list\"");
    const auto reply = context_.platform.list(kRequestPrefix, after, kPage);
    const auto* done = std::get_if<Done<ObjectList>>(&reply);
    if (done == nullptr) return claimed;
    context_.health.recordAnswer(now);
    for (const StoredObject& object : done->value.objects) {
      after = object.key;
      Findings findings;
      HandOverRecord record = parseHandOver(object.value, findings);
      if (!findings.empty() || record.state != JobState::running) continue;
      if (context_.jobs.find(record.request) != nullptr || !holderIsGone(record, now)) continue;
      if (claim(record, object.version)) claimed.push_back(std::move(record));
    }
    if (done->value.objects.size() < kPage) return claimed;
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
  return Refusal{RefusalReason::platformOut, "the request is not here and the platform is out",
                 RunOutcome::unknown, kPlatformRetryAfter};
}

std::size_t JobRecords::unsavedCount() const {
  const std::lock_guard lock(mutex_);
  return kept_.size();
}

}  // namespace Hallchute
