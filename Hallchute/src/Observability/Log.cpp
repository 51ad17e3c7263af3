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

/// Lines that wait while standard output is not read; further ones are dropped and counted.
constexpr int kLinesWaiting = 1'024;

}  // namespace

LogLevel logLevelNamed(std::string_view word) {
  if (word == "debug") return LogLevel::debug;
  if (word == "warning") return LogLevel::warning;
  return word == "error" ? LogLevel::error : LogLevel::info;
}

void startLogging(LogLevel least, std::string_view daemon, std::string_view domain) {
  internal::setLogOrigin(least, daemon, domain);
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.out");
  const auto async = std::make_shared<log4cxx::AsyncAppender>();
  async->setBufferSize(kLinesWaiting);
  async->setBlocking(false);
  async->addAppender(console);
  log4cxx::BasicConfigurator::configure(async);
  // What passes is decided in LogLine, before a line is made.
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getDebug());
}

void logLine(LogLevel level, std::string_view message) {
  LogLine(level, "message").with("text", message);
}

}  // namespace Hallchute
