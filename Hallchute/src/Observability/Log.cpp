// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/Log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

/// Capacity of the queue for lines while nobody reads standard output; when it is full, further
/// lines are dropped and counted.
constexpr int kMaxQueuedLines = 1'024;

}  // namespace

LogLevel parseLogLevel(std::string_view name) {
  if (name == "debug") return LogLevel::debug;
  if (name == "warning") return LogLevel::warning;
  return name == "error" ? LogLevel::error : LogLevel::info;
}

void startLogging(LogLevel minLevel, std::string_view daemon, std::string_view domain) {
  internal::configureLogLines(minLevel, daemon, domain);
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out");
  const auto async = std::make_shared<log4cxx::AsyncAppender>();
  async->setBufferSize(kMaxQueuedLines);
  async->setBlocking(false);
  async->addAppender(console);
  log4cxx::BasicConfigurator::configure(async);
  // LogLine filters by level, before it formats a line.
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getDebug());
}

void logMessage(LogLevel level, std::string_view message) {
  LogLine(level, "message").with("text", message);
}

}  // namespace Hallchute
