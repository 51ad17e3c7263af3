// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ArchiveWriter.h"

#include <absl/status/status.h>

#include <exception>
#include <string>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/ExceptionText.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Ports/OriginArchivePort.h"

namespace Hallchute {
namespace {

/// A read of the archive, a list of the versions, the changes since, and a write.
constexpr int kMaxSteps = 4;

std::string_view messageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace

ArchiveWriter::ArchiveWriter(OriginArchivePort& port, const DaemonId& self,
                             std::function<bool()> servedBefore, Metrics& metrics)
    : port_(port), servedBefore_(std::move(servedBefore)), metrics_(metrics), plan_(self) {}

ArchiveWriter::~ArchiveWriter() {
  stop();
}

void ArchiveWriter::start() {
  thread_ = std::thread([this] { run(); });
}

void ArchiveWriter::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void ArchiveWriter::update(ArchiveInput input) {
  {
    const std::lock_guard lock(mutex_);
    input_ = std::move(input);
  }
  wake_.notify_all();
}

void ArchiveWriter::run() {
  nameThread("archive-write");
  while (true) {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return stopping_ || input_; });
    if (stopping_) return;
    const ArchiveInput input = std::move(*std::exchange(input_, std::nullopt));
    lock.unlock();
    runSteps(input);
  }
}

void ArchiveWriter::runSteps(const ArchiveInput& input) {
  try {
    for (int i = 0; i < kMaxSteps; ++i) {
      const ArchiveStep step = plan_.next(input, clockNow());
      if (!std::visit([this](const auto& s) { return perform(s); }, step)) return;
    }
  } catch (const std::exception& e) {
    // A write may have been executed.
    plan_.noteUncertain();
    plan_.noteUnavailable(clockNow());
    LogLine(LogLevel::error, "archive.exception").with("detail", exceptionText(e));
  }
}

bool ArchiveWriter::noteFailed(std::string_view call, std::string_view detail) {
  plan_.noteUnavailable(clockNow());
  metrics_.add("hallchute_archive_calls_failed_total", "call=\"" + std::string(call) + "\"");
  LogLine(LogLevel::info, "archive.failed").with("call", call).with("detail", detail);
  return false;
}

bool ArchiveWriter::perform(const ArchiveSteps::Nothing&) {
  return false;
}

bool ArchiveWriter::perform(const ArchiveSteps::ReadArchive&) {
  const auto parts = port_.read();
  if (!parts.ok()) return noteFailed("read", messageOf(parts.status()));
  const bool servedBefore = parts->empty() && servedBefore_();
  plan_.noteArchive(*parts, servedBefore, clockNow());
  LogLine(LogLevel::info, "archive.taken")
      .with("parts", parts->size())
      .with("servedBefore", servedBefore)
      .with("versionsAsOf", plan_.claim(clockNow()).asOf);
  return true;
}

bool ArchiveWriter::perform(const ArchiveSteps::ListVersions&) {
  const auto listed = port_.listVersions();
  if (!listed.ok()) return noteFailed("list", messageOf(listed.status()));
  plan_.noteListed(*listed, clockNow());
  return true;
}

bool ArchiveWriter::perform(const ArchiveSteps::ReadVersions& step) {
  const auto changed = port_.versionsSince(step.since);
  if (absl::IsOutOfRange(changed.status())) {
    LogLine(LogLevel::info, "archive.historyLost").with("since", step.since);
    plan_.noteHistoryLost();
    return true;
  }
  if (!changed.ok()) return noteFailed("changes", messageOf(changed.status()));
  plan_.noteVersions(*changed, clockNow());
  return true;
}

bool ArchiveWriter::perform(const ArchiveSteps::Write& step) {
  const auto revision = port_.write(step.part);
  LogLine(LogLevel::debug, "archive.written")
      .with("streams", step.part.streams.size())
      .with("versions", step.part.versions.versions.size())
      .with("versionsAsOf", step.part.versions.asOf)
      .with("complete", step.part.versions.complete)
      .with("ok", revision.ok())
      .with("detail", messageOf(revision.status()));
  if (revision.ok()) {
    metrics_.add("hallchute_archive_writes_total", "");
    plan_.noteWritten(*revision);
    return false;
  }
  if (!absl::IsUnavailable(revision.status())) plan_.noteUncertain();
  return noteFailed("write", messageOf(revision.status()));
}

}  // namespace Hallchute
