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
#include "Hallchute/src/Observability/LogFields.h"

namespace Hallchute {
namespace {

/// Sustained rate and burst of log lines per daemon: a few lines per request at the request rates
/// of a small host. Warnings and errors count towards the limit but are always written.
constexpr double kMaxLinesPerSecond = 300;
constexpr double kMaxBurstLines = 600;
/// Part of the burst that only lines of priority `outcome` may use.
constexpr double kReservedLines = 300;

/// Limits the log volume with a token bucket; counts the lines that it drops.
class LineRateLimiter {
 public:
  /// \returns whether a line may be written. If so, \p dropped is set to the number of lines
  /// dropped since the previous one.
  bool allow(bool alwaysWrite, LogPriority priority, std::uint64_t& dropped) {
    const std::lock_guard lock(mutex_);
    const Instant now = clockNow();
    const std::chrono::duration<double> elapsed = now - lastRefill_;
    lastRefill_ = now;
    tokens_ = std::min(kMaxBurstLines, tokens_ + elapsed.count() * kMaxLinesPerSecond);
    const double reserved = priority == LogPriority::ordinary ? kReservedLines : 0;
    if (tokens_ < reserved + 1 && !alwaysWrite) {
      ++dropped_;
      return false;
    }
    tokens_ = std::max(0.0, tokens_ - 1);
    dropped = std::exchange(dropped_, 0);
    return true;
  }

 private:
  std::mutex mutex_;
  double tokens_ = kMaxBurstLines;
  Instant lastRefill_{};
  std::uint64_t dropped_ = 0;
};

/// Set once, before any other thread starts.
struct LogConfiguration {
  LogLevel minLevel = LogLevel::info;
  bool started = false;
  std::string fields;
};

LogConfiguration& logConfiguration() {
  static LogConfiguration theConfiguration;
  return theConfiguration;
}

LineRateLimiter& rateLimiter() {
  static LineRateLimiter theLimiter;
  return theLimiter;
}

std::string_view levelName(LogLevel level) {
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

log4cxx::LevelPtr log4cxxLevel(LogLevel level) {
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

void appendRaw(std::string& out, std::string_view key, const std::string& value) {
  out += ",\"";
  out += key;
  out += "\":";
  out += value;
}

}  // namespace

namespace internal {

void configureLogLines(LogLevel minLevel, std::string_view daemon, std::string_view domain) {
  LogConfiguration& configuration = logConfiguration();
  configuration.minLevel = minLevel;
  configuration.started = true;
  configuration.fields.clear();
  appendText(configuration.fields, "daemon", daemon);
  appendText(configuration.fields, "failureDomain", domain);
}

std::string_view logLineFields() {
  return logConfiguration().fields;
}

}  // namespace internal

LogLine::LogLine(LogLevel level, std::string_view event, LogPriority priority) : level_(level) {
  const LogConfiguration& configuration = logConfiguration();
  std::uint64_t dropped = 0;
  enabled_ = configuration.started && level >= configuration.minLevel &&
             rateLimiter().allow(level >= LogLevel::warning, priority, dropped);
  if (!enabled_) return;
  text_ = "{\"time\":\"" +
          Poco::DateTimeFormatter::format(Poco::Timestamp(), "%Y-%m-%dT%H:%M:%S.%iZ") +
          "\",\"level\":\"" + std::string(levelName(level)) + "\"";
  appendText(text_, "event", event);
  text_ += configuration.fields;
  for (const auto& [key, value] : LogContext::current()) appendText(text_, key, value);
  if (dropped > 0) appendRaw(text_, "linesDroppedBefore", std::to_string(dropped));
}

LogLine::~LogLine() {
  if (!enabled_) return;
  text_ += '}';
  log4cxx::Logger::getRootLogger()->forcedLog(log4cxxLevel(level_), text_);
}

LogLine& LogLine::with(std::string_view key, std::string_view value) {
  if (enabled_) appendText(text_, key, value);
  return *this;
}

LogLine& LogLine::with(std::string_view key, const char* value) {
  return with(key, std::string_view(value));
}

LogLine& LogLine::with(std::string_view key, std::int64_t value) {
  if (enabled_) appendRaw(text_, key, std::to_string(value));
  return *this;
}

LogLine& LogLine::with(std::string_view key, std::uint64_t value) {
  if (enabled_) appendRaw(text_, key, std::to_string(value));
  return *this;
}

LogLine& LogLine::with(std::string_view key, int value) {
  return with(key, static_cast<std::int64_t>(value));
}

LogLine& LogLine::with(std::string_view key, bool value) {
  if (enabled_) appendRaw(text_, key, value ? "true" : "false");
  return *this;
}

LogLine& LogLine::with(std::string_view key, Millis value) {
  return with(key, static_cast<std::int64_t>(value.count()));
}

}  // namespace Hallchute
