// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ArchiveReader.h"

#include <algorithm>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/ExceptionText.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Ports/OriginArchivePort.h"

namespace Hallchute {
namespace {

/// The longest that a caller waits for the archive: two of its calls, which take milliseconds, and
/// the pause before them.
constexpr Millis kReadTimeout{700};
/// Pause between two reads, each of which is billed: callers of daemons that were killed come back
/// together. The first is that of a small fleet, the second is added for each daemon, so that the
/// fleet stays far below the store's rate limit, the third is the longest.
constexpr Millis kMinReadPause{100};
constexpr Millis kReadPausePerDaemon{5};
constexpr Millis kMaxReadPause{500};

std::string_view messageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace

ArchiveReader::ArchiveReader(EventLoop& traffic, OriginArchivePort& port, Metrics& metrics)
    : traffic_(traffic), port_(port), metrics_(metrics) {}

ArchiveReader::~ArchiveReader() {
  stop();
}

void ArchiveReader::start() {
  thread_ = std::thread([this] { run(); });
}

void ArchiveReader::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ArchiveReader::read(StreamKey stream, EvidenceSink onRead) {
  const std::uint64_t id = nextQuestion_++;
  Question& question = questions_[id];
  question.onRead = std::move(onRead);
  question.timer = traffic_.after(kReadTimeout, [this, id] {
    questions_.at(id).timer = 0;
    finish(id, {});
  });
  {
    const std::lock_guard lock(mutex_);
    pending_.push_back({id, stream});
  }
  wake_.notify_all();
}

void ArchiveReader::finish(std::uint64_t id, const ArchiveEvidence& evidence) {
  const auto node = questions_.extract(id);
  if (node.empty()) return;
  traffic_.cancel(node.mapped().timer);
  node.mapped().onRead(evidence);
}

void ArchiveReader::run() {
  nameThread("archive-read");
  while (true) {
    const std::vector<Pending> questions = awaitQuestions();
    if (questions.empty()) return;
    try {
      answer(questions);
    } catch (const std::exception& e) {
      // The questions time out.
      LogLine(LogLevel::error, "archive.exception").with("detail", exceptionText(e));
    }
    const Millis pause = kMinReadPause + kReadPausePerDaemon * static_cast<int>(daemons_.load());
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, std::min(pause, kMaxReadPause), [this] { return stopping_; });
  }
}

/// \returns nothing once it is to stop.
std::vector<ArchiveReader::Pending> ArchiveReader::awaitQuestions() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
  return stopping_ ? std::vector<Pending>() : std::exchange(pending_, {});
}

void ArchiveReader::answer(std::span<const Pending> questions) {
  ArchiveEvidence evidence;
  evidence.readAt = clockNow();
  const auto known = [this](const Pending& question) { return streams_.contains(question.stream); };
  std::uint64_t revision = 0;
  if (!std::all_of(questions.begin(), questions.end(), known)) {
    const absl::StatusOr<std::vector<ArchivedOrigins>> parts = port_.read();
    evidence.answered = parts.ok();
    if (parts.ok()) {
      collectStreams(*parts);
      if (!std::all_of(questions.begin(), questions.end(), known)) {
        evidence.versions = currentVersions(*parts);
      }
      if (evidence.versions) revision = evidence.versions->asOf;
    }
    const auto took = clockNow() - evidence.readAt;
    metrics_.time("hallchute_archive_read_ms", "", took);
    LogLine(LogLevel::info, "archive.read")
        .with("questions", questions.size())
        .with("streams", streams_.size())
        .with("answered", evidence.answered)
        .with("versionsAsOf", revision)
        .with("tookMs", std::chrono::duration_cast<Millis>(took))
        .with("detail", messageOf(parts.status()));
  }
  for (const Pending& question : questions) {
    ArchiveEvidence own = evidence;
    const auto [first, last] = streams_.equal_range(question.stream);
    for (auto it = first; it != last; ++it) own.streams.push_back(it->second);
    traffic_.post([this, id = question.id, own = std::move(own)] { finish(id, own); });
  }
}

void ArchiveReader::collectStreams(std::span<const ArchivedOrigins> parts) {
  streams_.clear();
  for (const ArchivedOrigins& part : parts) {
    for (const StreamOrigin& origin : part.streams) streams_.emplace(origin.stream, origin);
  }
}

std::optional<VersionClaim> ArchiveReader::currentVersions(std::span<const ArchivedOrigins> parts) {
  const VersionClaim* newest = newestComplete(parts);
  if (newest == nullptr) return std::nullopt;
  const absl::StatusOr<VersionClaim> since = port_.versionsSince(newest->asOf);
  if (since.ok()) return newest->extendedBy(*since);
  LogLine(LogLevel::info, "archive.versionsUnknown")
      .with("since", newest->asOf)
      .with("detail", messageOf(since.status()));
  return std::nullopt;
}

}  // namespace Hallchute
