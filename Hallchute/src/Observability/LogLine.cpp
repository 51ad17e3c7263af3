// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/LogLine.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/JSONString.h>
#include <Poco/Timestamp.h>
#include <log4cxx/logger.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogContext.h"

namespace Hallchute {
namespace {

/// Lines a second that a daemon writes at most, and how many may come at once: a few for each
/// request at the rates a small host serves. Warnings and errors count but always pass.
constexpr double kLinesPerSecond = 300;
constexpr double kLinesAtOnce = 600;

/// Bounds the volume; counts what it leaves out.
class LineBudget {
 public:
  /// \returns whether a line may be written; \p dropped gets the number left out before it.
  bool take(bool important, std::uint64_t& dropped) {
    const std::lock_guard lock(mutex_);
    const Instant now = clockNow();
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    level_ = std::min(kLinesAtOnce, level_ + passed.count() * kLinesPerSecond);
    if (level_ < 1 && !important) {
      ++dropped_;
      return false;
    }
    level_ = std::max(0.0, level_ - 1);
    dropped = std::exchange(dropped_, 0);
    return true;
  }

 private:
  std::mutex mutex_;
  double level_ = kLinesAtOnce;
  Instant last_{};
  std::uint64_t dropped_ = 0;
};

/// Written once, before any other thread runs.
struct Origin {
  LogLevel least = LogLevel::info;
  bool started = false;
  std::string fields;
};

Origin& origin() {
  static Origin theOrigin;
  return theOrigin;
}

LineBudget& budget() {
  static LineBudget theBudget;
  return theBudget;
}

std::string_view levelWord(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      break;
  }
  return "error";
}

log4cxx::LevelPtr libraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return log4cxx::Level::getDebug();
    case LogLevel::info:
      return log4cxx::Level::getInfo();
    case LogLevel::warning:
      return log4cxx::Level::getWarn();
    case LogLevel::error:
      break;
  }
  return log4cxx::Level::getError();
}

void appendText(std::string& out, std::string_view key, std::string_view value) {
  out += ",\"";
  out += key;
  out += "\":";
  out += Poco::toJSON(std::string(value));
}

void appendNumber(std::string& out, std::string_view key, const std::string& value) {
  out += ",\"";
  out += key;
  out += "\":";
  out += value;
}

}  // namespace

namespace internal {

void setLogOrigin(LogLevel least, std::string_view daemon, std::string_view domain) {
  Origin& own = origin();
  own.least = least;
  own.started = true;
  own.fields.clear();
  appendText(own.fields, "daemon", daemon);
  appendText(own.fields, "failureDomain", domain);
}

}  // namespace internal

LogLine::LogLine(LogLevel level, std::string_view event) : level_(level) {
  const Origin& own = origin();
  std::uint64_t dropped = 0;
  enabled_ =
      own.started && level >= own.least && budget().take(level >= LogLevel::warning, dropped);
  if (!enabled_) return;
  text_ = "{\"time\":\"" +
          Poco::DateTimeFormatter::format(Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%iZ") +
          "\",\"level\":\"" + std::string(levelWord(level)) + "\"";
  appendText(text_, "event", event);
  text_ += own.fields;
  for (const auto& [key, value] : LogContext::current()) appendText(text_, key, value);
  if (dropped > 0) appendNumber(text_, "linesDroppedBefore", std::to_string(dropped));
}

LogLine::~LogLine() {
  if (!enabled_) return;
  text_ += '}';
  log4cxx::Logger::getRootLogger()->forcedLog(libraryLevel(level_), text_);
}

LogLine& LogLine::with(std::string_view key, std::string_view value) {
  if (enabled_) appendText(text_, key, value);
  return *this;
}

LogLine& LogLine::with(std::string_view key, const char* value) {
  return with(key, std::string_view(value));
}

LogLine& LogLine::with(std::string_view key, std::int64_t value) {
  if (enabled_) appendNumber(text_, key, std::to_string(value));
  return *this;
}

LogLine& LogLine::with(std::string_view key, std::uint64_t value) {
  if (enabled_) appendNumber(text_, key, std::to_string(value));
  return *this;
}

LogLine& LogLine::with(std::string_view key, int value) {
  return with(key, static_cast<std::int64_t>(value));
}

LogLine& LogLine::with(std::string_view key, bool value) {
  if (enabled_) appendNumber(text_, key, value ? "true" : "false");
  return *this;
}

LogLine& LogLine::with(std::string_view key, Millis value) {
  return with(key, static_cast<std::int64_t>(value.count()));
}

}  // namespace Hallchute
