// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <log4cxx/basicconfigurator.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

#include "Hallchute/Observability"
#include "Hallchute/src/Observability/LogLine.h"

namespace {

using namespace Hallchute;

/// Standard output of this process as a pipe, as long as it lives.
class PipedOutput {
 public:
  PipedOutput() {
    std::fflush(stdout);
    CPPUNIT_ASSERT(pipe(pipe_) == 0);
    saved_ = dup(STDOUT_FILENO);
    dup2(pipe_[1], STDOUT_FILENO);
    close(pipe_[1]);
  }
  ~PipedOutput() { restore(); }
  PipedOutput(const PipedOutput&) = delete;
  PipedOutput& operator=(const PipedOutput&) = delete;

  /// Reads until the last writer has closed, or for \p limit once nothing comes.
  std::string readFor(std::chrono::milliseconds limit) const {
    fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    char buffer[4096];
    auto last = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - last < limit) {
      const ssize_t count = read(pipe_[0], buffer, sizeof buffer);
      if (count <= 0) {
        std::this_thread::yield();
        continue;
      }
      all.append(buffer, static_cast<std::size_t>(count));
      last = std::chrono::steady_clock::now();
    }
    return all;
  }
  void restore() {
    if (saved_ < 0) return;
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    saved_ = -1;
    close(pipe_[0]);
  }

 private:
  int pipe_[2] = {-1, -1};
  int saved_ = -1;
};

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(requestsThatWereNotServedLoseTheirLinesLast);
  CPPUNIT_TEST(aReaderThatDoesNotReadStopsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The daemon of a complaint may have had far more requests than its log has lines.
  void requestsThatWereNotServedLoseTheirLinesLast() {
    constexpr int kLines = 2'000;
    constexpr int kOutcomes = 100;
    std::string written;
    {
      PipedOutput output;
      startLogging(LogLevel::info, "daemon", "domain");
      for (int i = 0; i < kLines; ++i) {
        LogLine(LogLevel::info, "test.ordinary").with("number", i);
        if (i % (kLines / kOutcomes) != 0) continue;
        LogLine(LogLevel::info, "test.outcome", LogPriority::outcome).with("number", i);
      }
      written = output.readFor(std::chrono::milliseconds(300));
      log4cxx::BasicConfigurator::resetConfiguration();
    }
    int outcomes = 0;
    for (std::size_t at = 0; (at = written.find("test.outcome", at)) != std::string::npos; ++at)
      ++outcomes;
    CPPUNIT_ASSERT_EQUAL(kOutcomes, outcomes);
  }

  /// A pipe holds some 64 KB; twenty times as much is written while nobody reads.
  void aReaderThatDoesNotReadStopsNothing() {
    constexpr int kLines = 20'000;
    std::string written;
    {
      PipedOutput output;
      startLogging(LogLevel::info, "daemon", "domain");
      std::atomic<bool> done{false};
      std::thread writer([&] {
        for (int i = 0; i < kLines; ++i) LogLine(LogLevel::warning, "test.line").with("number", i);
        done = true;
      });
      const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
      while (!done && std::chrono::steady_clock::now() < end) std::this_thread::yield();
      const bool blocked = !done;
      written = output.readFor(std::chrono::milliseconds(300));
      writer.join();
      log4cxx::BasicConfigurator::resetConfiguration();
      CPPUNIT_ASSERT(!blocked);
    }
    // What the pipe and the buffer hold is written completely; the rest was dropped.
    const std::string first = written.substr(0, written.find('\n'));
    CPPUNIT_ASSERT_MESSAGE(first, first.find("\"event\":\"test.line\"") != std::string::npos);
    CPPUNIT_ASSERT(written.size() < std::size_t{kLines} * first.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
