// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "Hallchute/src/Cli/RequestStory.h"

namespace {

using namespace Hallchute;

std::string line(const std::string& second, const std::string& daemon, const std::string& event,
                 const std::string& more) {
  return R"({"time":"2026-01-02T03:04:)" + second + R"(Z","level":"info","event":")" + event +
         R"(","daemon":")" + daemon + "\"" + more + "}";
}

class RequestStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestStoryTest);
  CPPUNIT_TEST(joinsTheLinesOfSeveralDaemons);
  CPPUNIT_TEST(saysWhenNothingNamesTheRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void joinsTheLinesOfSeveralDaemons() {
    RequestStory story("abc");
    story.addLine("12.3 host-b " +
                  line("05.900", "b", "request.end", R"(,"request":"abc","status":503)"));
    story.addLine(line("05.100", "a", "upstream.failed", R"(,"request":"abc","sent":false)"));
    // The daemon's recent state changes, much earlier ones, and events of another daemon.
    story.addLine(line("04.500", "a", "store.lost", R"(,"follows":"settings")"));
    story.addLine(line("01.000", "a", "store.regained", R"(,"follows":"settings")"));
    story.addLine(line("05.050", "c", "store.lost", ""));
    story.addLine(line("05.200", "a", "request.end", R"(,"request":"abd","status":200)"));
    story.addLine("no line of a daemon");
    std::ostringstream out;
    CPPUNIT_ASSERT(story.write(out));
    CPPUNIT_ASSERT_EQUAL(std::string("~ 2026-01-02T03:04:04.500Z a store.lost follows=settings\n"
                                     "  2026-01-02T03:04:05.100Z a upstream.failed sent=false\n"
                                     "  2026-01-02T03:04:05.900Z b request.end status=503\n"),
                         out.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.unreadable());
  }

  void saysWhenNothingNamesTheRequest() {
    RequestStory story("abc");
    story.addLine(line("04.500", "a", "store.lost", ""));
    std::ostringstream out;
    CPPUNIT_ASSERT(!story.write(out));
    CPPUNIT_ASSERT(out.str().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStoryTest);

}  // namespace
