// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include "Hallchute/Net"
#include "Hallchute/Platform"
#include "standin/PlatformStandin.h"

namespace {

using namespace Hallchute;

constexpr Millis kLimit{300};

/// A stand-in in this process, and calls to its control path.
class Fixture {
 public:
  Fixture()
      : server_("127.0.0.1:0",
                [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
                  platform_.handle(request, response);
                }),
        client_(server_.address(), "token", "127.0.0.1", kLimit) {}

  PlatformHttp& client() { return client_; }
  std::string address() const { return server_.address(); }
  void control(const std::string& path, const std::string& json) {
    HttpExchange exchange({server_.address(), "", Millis(1'000), Millis(1'000)});
    exchange.run({"POST", path, "application/json", json, {}});
  }

 private:
  Standin::PlatformStandin platform_;
  Standin::StandinServer server_;
  PlatformHttp client_;
};

template <typename T>
std::string wordOf(const PlatformReply<T>& reply) {
  if (std::holds_alternative<Done<T>>(reply)) return "done";
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&reply)) {
    return unknown->timedOut ? "silent" : "not-known";
  }
  switch (std::get<Refused>(reply).reason) {
    case PlatformRefusal::conflict:
      return "conflict";
    case PlatformRefusal::absent:
      return "absent";
    case PlatformRefusal::unavailable:
      return "unavailable";
    case PlatformRefusal::rejected:
      break;
  }
  return "rejected";
}

class PlatformContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformContractTest);
  CPPUNIT_TEST(objectsHaveVersionsAndConditions);
  CPPUNIT_TEST(eachFaultHasItsWord);
  CPPUNIT_TEST(aLostReplyIsNotKnownAndTookEffect);
  CPPUNIT_TEST(watchesWakeAndTimeOut);
  CPPUNIT_TEST(hostsWithFaultsAreLeftOut);
  CPPUNIT_TEST(theBreakerAnswersForAPlatformThatIsOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void objectsHaveVersionsAndConditions() {
    Fixture fixture;
    PlatformHttp& platform = fixture.client();
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), wordOf(platform.read("a/b")));
    const auto created = platform.write("a/b", "one \"\n\xc3\xa9", 0);
    const std::uint64_t version = std::get<Done<std::uint64_t>>(created).value;
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), wordOf(platform.write("a/b", "two", 0)));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         wordOf(platform.write("a/b", "two", version + 1)));
    CPPUNIT_ASSERT_EQUAL(std::string("one \"\n\xc3\xa9"),
                         std::get<Done<StoredObject>>(platform.read("a/b")).value.value);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), wordOf(platform.write("a/b", "two", version)));
    platform.write("a/c", "x", 0);
    platform.write("b/a", "x", 0);
    const auto list = std::get<Done<ObjectList>>(platform.list("a/", "", 10)).value;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.objects.size());
    const auto rest = std::get<Done<ObjectList>>(platform.list("a/", "a/b", 10)).value;
    CPPUNIT_ASSERT_EQUAL(std::string("a/c"), rest.objects.front().key);
    const std::uint64_t now = std::get<Done<StoredObject>>(platform.read("a/b")).value.version;
    CPPUNIT_ASSERT_EQUAL(std::string("done"), wordOf(platform.remove("a/b", now)));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), wordOf(platform.read("a/b")));
  }

  void eachFaultHasItsWord() {
    struct Case {
      const char* fault;
      const char* read;
      const char* write;
    };
    const Case cases[] = {
        {R"({"outage":true})", "unavailable", "unavailable"},
        {R"({"outage":false,"hang":true})", "unavailable", "silent"},
        {R"({"hang":false,"slowMs":600})", "unavailable", "silent"},
        {R"({"slowMs":0})", "absent", "done"},
    };
    Fixture fixture;
    int key = 0;
    for (const Case& c : cases) {
      fixture.control("/control/faults", c.fault);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fault, std::string(c.read),
                                   wordOf(fixture.client().read("none")));
      const std::string name = "k" + std::to_string(++key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fault, std::string(c.write),
                                   wordOf(fixture.client().write(name, "x", 0)));
    }
    PlatformHttp nowhere("127.0.0.1:1", "token", "127.0.0.1", kLimit);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), wordOf(nowhere.write("k", "x", 0)));
  }

  void aLostReplyIsNotKnownAndTookEffect() {
    Fixture fixture;
    fixture.control("/control/faults", R"({"loseReplies":1})");
    CPPUNIT_ASSERT_EQUAL(std::string("not-known"), wordOf(fixture.client().write("k", "x", 0)));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), wordOf(fixture.client().read("k")));
  }

  void watchesWakeAndTimeOut() {
    Fixture fixture;
    const auto first = std::get<Done<std::uint64_t>>(fixture.client().write("w/1", "x", 0)).value;
    const auto idle =
        std::get<Done<ObjectList>>(fixture.client().watch("w/", first, Millis(50))).value;
    CPPUNIT_ASSERT(idle.objects.empty());
    std::thread writer([&] { fixture.client().write("w/2", "y", 0); });
    const auto woken =
        std::get<Done<ObjectList>>(fixture.client().watch("w/", first, Millis(5'000))).value;
    writer.join();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), woken.objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("w/2"), woken.objects.front().key);
  }

  void hostsWithFaultsAreLeftOut() {
    Fixture fixture;
    fixture.control("/control/hosts",
                    R"({"set":[{"host":"a","failureDomain":"d","address":"x","service":"s"},
                               {"host":"b","failureDomain":"d"},
                               {"host":"c","role":"entry","failureDomain":"d","address":"y",
                                "leavesInMs":7}]})");
    const HostList list = std::get<Done<HostList>>(fixture.client().hosts()).value;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.hosts.size());
    CPPUNIT_ASSERT(list.hosts[1].role == HostRole::entry);
    CPPUNIT_ASSERT(list.hosts[1].leavesIn == Millis(7));
  }

  void theBreakerAnswersForAPlatformThatIsOut() {
    Fixture fixture;
    PlatformBreaker breaker(fixture.client());
    const auto timed = [&] {
      const auto start = std::chrono::steady_clock::now();
      breaker.write("k", "x", 0);
      return std::chrono::steady_clock::now() - start;
    };
    fixture.control("/control/faults", R"({"hang":true})");
    CPPUNIT_ASSERT(timed() >= kLimit);
    CPPUNIT_ASSERT(timed() < kLimit / 2);
    fixture.control("/control/faults", R"({"hang":false})");
    const auto until = std::chrono::steady_clock::now() + Millis(5'000);
    while (wordOf(breaker.read("none")) != "absent") {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < until);
      std::this_thread::sleep_for(Millis(5));
    }
    // A reply that was lost must be read again at once.
    fixture.control("/control/faults", R"({"loseReplies":1})");
    CPPUNIT_ASSERT_EQUAL(std::string("not-known"), wordOf(breaker.write("m", "x", 0)));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), wordOf(breaker.read("m")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformContractTest);

}  // namespace
