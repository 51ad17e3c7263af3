// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/TerminateHandler.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <new>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Observability/ThreadName.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace {

using namespace Hallchute;

class TerminateHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TerminateHandlerTest);
  CPPUNIT_TEST(theLineTellsTheExceptionAndTheThread);
  CPPUNIT_TEST_SUITE_END();

  struct End {
    int status = 0;
    std::string output;
  };

  /// Runs \p body in a process of its own, with the handler installed.
  static End endOf(const std::function<void()>& body) {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends));
    const pid_t child = ::fork();
    if (child == 0) {
      const rlimit noCore{0, 0};
      ::setrlimit(RLIMIT_CORE, &noCore);
      ::dup2(ends[1], STDOUT_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
      installTerminateHandler();
      body();
      ::_exit(0);
    }
    ::close(ends[1]);
    End end;
    char buffer[4'096];
    for (ssize_t got = 0; (got = ::read(ends[0], buffer, sizeof buffer)) > 0;) {
      end.output.append(buffer, static_cast<std::size_t>(got));
    }
    ::close(ends[0]);
    ::waitpid(child, &end.status, 0);
    return end;
  }

 public:
  /// Exceptions that nobody caught ended a daemon without a line of its log.
  void theLineTellsTheExceptionAndTheThread() {
    struct Case {
      std::function<void()> body;
      std::string exception;
      std::string text;
    };
    const std::vector<Case> cases{
        {[] { throw std::runtime_error("a \"quoted\"\ntext \xff"); }, "std::runtime_error",
         "a \"quoted\"?text ?"},
        {[] { throw Poco::RangeException("Value too large"); }, "Poco::RangeException",
         "Value too large"},
        {[] { throw std::bad_alloc(); }, "std::bad_alloc", "std::bad_alloc"},
        {[] { throw 5; }, "int", ""},
        {[] { throw std::runtime_error(std::string(50'000, '"')); }, "std::runtime_error",
         std::string(1'024, '"')},
        {[] { std::terminate(); }, "none", ""},
    };
    for (const Case& item : cases) {
      const End end = endOf([&] {
        std::thread([&] {
          nameThread("duties");
          item.body();
        }).join();
      });
      CPPUNIT_ASSERT(WIFSIGNALED(end.status));
      CPPUNIT_ASSERT_EQUAL(SIGABRT, WTERMSIG(end.status));
      CPPUNIT_ASSERT(!end.output.empty() && end.output.back() == '\n');
      Findings findings;
      const JsonObject line = parseJsonObject(end.output, findings);
      CPPUNIT_ASSERT_MESSAGE(end.output + describe(findings), line);
      CPPUNIT_ASSERT_EQUAL(std::string("daemon.terminated"),
                           line->optValue<std::string>("event", ""));
      CPPUNIT_ASSERT_EQUAL(std::string("error"), line->optValue<std::string>("level", ""));
      CPPUNIT_ASSERT_EQUAL(std::string("duties"), line->optValue<std::string>("thread", ""));
      CPPUNIT_ASSERT_EQUAL(item.exception, line->optValue<std::string>("exception", ""));
      CPPUNIT_ASSERT_EQUAL(item.text, line->optValue<std::string>("text", ""));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TerminateHandlerTest);

}  // namespace
