// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <string>

namespace Hallchute {
namespace {

log4cxx::LevelPtr levelOf(LogLevel level) {
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

/// Written once, before any other thread runs.
std::string daemonName;
std::string domainName;

/// The library keeps context by thread: each thread gets the daemon's before its first line.
void ensureContext() {
  thread_local bool done = false;
  if (done) return;
  done = true;
  log4cxx::MDC::put("daemon", daemonName);
  log4cxx::MDC::put("failureDomain", domainName);
}

log4cxx::LoggerPtr logger() {
  return log4cxx::Logger::getLogger("hallchute");
}

}  // namespace

void startLogging(LogLevel least, std::string_view daemon, std::string_view domain) {
  daemonName = daemon;
  domainName = domain;
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
  log4cxx::BasicConfigurator::configure(appender);
  logger()->setLevel(levelOf(least));
}

void logLine(LogLevel level, std::string_view message) {
  const log4cxx::LevelPtr kind = levelOf(level);
  const log4cxx::LoggerPtr target = logger();
  if (!target->isEnabledFor(kind)) return;
  ensureContext();
  target->forcedLog(kind, std::string(message));
}

}  // namespace Hallchute
