// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <sys/resource.h>

#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "Hallchute/src/Net/HttpExchange.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/StandinServer.h"
#include "test/GatewayProcess.h"
#include "test/GatewayRig.h"

namespace {

using Hallchute::RawCaller;
using std::chrono::milliseconds;
using TestSupport::GatewayProcess;

constexpr milliseconds kStartLimit{5'000};
/// Longer than a start takes.
constexpr milliseconds kObservation{1'000};
/// For the accepting of new callers.
constexpr milliseconds kSettling{300};

/// A program that listens without sharing its port.
Poco::Net::ServerSocket occupy(const std::string& address) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(address), false);
  socket.listen();
  return socket;
}

class GatewayStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayStartTest);
  CPPUNIT_TEST(settingsAreFoundByTheEnvironment);
  CPPUNIT_TEST(aStartWaitsForItsSettings);
  CPPUNIT_TEST(anUpstreamsStartTimeDoesNotEndTheDaemon);
  CPPUNIT_TEST(anEarlyReloadSignalDoesNotEndTheDaemon);
  CPPUNIT_TEST(aMetricsPortInUseDoesNotEndTheDaemon);
  CPPUNIT_TEST(aListenPortInUseIsTakenOnceItIsFree);
  CPPUNIT_TEST(aPortIsNotSharedWithAnotherProcess);
  CPPUNIT_TEST(aSecondDaemonTakesThePortOfASuspendedOneOnceItEnds);
  CPPUNIT_TEST(aDaemonThatWaitsForItsPortEndsAtOnce);
  CPPUNIT_TEST(anAddressMayBecomeThisHostsLater);
  CPPUNIT_TEST(theSoftLimitOfDescriptorsIsRaised);
  CPPUNIT_TEST(callersBeyondTheHardLimitTakeThePlacesOfIdleOnes);
  CPPUNIT_TEST(aDaemonWithoutDescriptorsWaits);
  CPPUNIT_TEST(aStoreThatNeverAnsweredIsLoggedAndCounted);
  CPPUNIT_TEST(unreadableAnswersOfTheStoreAreLoggedAndCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The settings file lay where HALLCHUTE_SETTINGS says, not where the command line of the
  /// deployment says.
  void settingsAreFoundByTheEnvironment() {
    GatewayProcess gateway("127.8.0.1");
    gateway.start({{}, {"HALLCHUTE_SETTINGS=" + gateway.settingsPath()}});
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
  }

  /// The file was empty for a moment, as whoever wrote it had not finished.
  void aStartWaitsForItsSettings() {
    GatewayProcess gateway("127.8.0.14");
    gateway.start({{"--config=" + gateway.settingsPath() + ".new"}, {}});
    const std::ofstream unfinished(gateway.settingsPath() + ".new");
    std::this_thread::sleep_for(milliseconds(500));
    std::ofstream(gateway.settingsPath() + ".new") << std::ifstream(gateway.settingsPath()).rdbuf();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
  }

  /// A time in Unix milliseconds, in an upstream's entry, ended each daemon that read it.
  void anUpstreamsStartTimeDoesNotEndTheDaemon() {
    Standin::ObjectStoreStandin store;
    Standin::StandinServer server("127.0.0.1:0", [&](const Standin::Request& request,
                                                     Poco::Net::HTTPServerResponse& response) {
      store.handle(request, response);
    });
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("service", "s");
    entry->set("address", "127.0.0.1:9");
    entry->set("zone", "domain");
    entry->set("version", "1");
    entry->set("slots", 4);
    entry->set("state", "ready");
    entry->set("cold-remaining-ms", 0);
    entry->set("sequence", 1);
    entry->set("born", Poco::Int64{1'772'000'000'000});
    store.put("servers", "i-1", entry);
    GatewayProcess gateway("127.8.0.15");
    gateway.store = server.address();
    gateway.start();
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.process().running());
  }

  /// SIGHUP during the start ended the daemon by its default action.
  void anEarlyReloadSignalDoesNotEndTheDaemon() {
    GatewayProcess gateway("127.8.0.2");
    // The first milliseconds belong to the dynamic loader, before any code of the program.
    for (int delayMs = 4; delayMs <= 40; delayMs += 2) {
      gateway.start();
      std::this_thread::sleep_for(milliseconds(delayMs));
      gateway.process().signal(SIGHUP);
      CPPUNIT_ASSERT_MESSAGE("SIGHUP after " + std::to_string(delayMs) + " ms",
                             gateway.answers(kStartLimit));
    }
  }

  /// Nothing was served because of a port that only serves metrics.
  void aMetricsPortInUseDoesNotEndTheDaemon() {
    GatewayProcess gateway("127.8.0.3");
    const Poco::Net::ServerSocket other = occupy(gateway.metrics);
    gateway.start();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
  }

  /// The daemon ended at once, though the port was free a moment later.
  void aListenPortInUseIsTakenOnceItIsFree() {
    GatewayProcess gateway("127.8.0.4");
    Poco::Net::ServerSocket other = occupy(gateway.callers);
    gateway.start();
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.process().running());
    other.close();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
  }

  /// A second daemon listened at the ports of one that was suspended, and the kernel gave about
  /// half of the new connections to the suspended one.
  void aPortIsNotSharedWithAnotherProcess() {
    GatewayProcess first("127.8.0.5");
    first.start();
    CPPUNIT_ASSERT(first.answers(kStartLimit));
    GatewayProcess second("127.8.0.5");
    second.callers = first.callers;
    second.readiness = first.readiness;
    // What answers at the shared addresses from here on is the second daemon.
    first.process().signal(SIGSTOP);
    second.start();
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_THROW(occupy(first.callers), Poco::Exception);
    CPPUNIT_ASSERT_MESSAGE("both listen", !second.answers(kObservation));
    first.process().kill();
    CPPUNIT_ASSERT_MESSAGE(second.output(), second.answers(kStartLimit));
  }

  /// About half of the callers went to the suspended daemon, and nobody was told.
  void aSecondDaemonTakesThePortOfASuspendedOneOnceItEnds() {
    GatewayProcess first("127.8.0.11");
    first.start();
    CPPUNIT_ASSERT(first.answers(kStartLimit));
    first.process().signal(SIGSTOP);
    GatewayProcess second("127.8.0.11");
    second.callers = first.callers;
    second.start();
    CPPUNIT_ASSERT_MESSAGE("no word", writes(second, "listener.unavailable", kObservation));
    CPPUNIT_ASSERT_MESSAGE("both listen", !writes(second, "listener.open", kObservation));
    first.process().kill();
    CPPUNIT_ASSERT_MESSAGE(second.output(), writes(second, "listener.open", kStartLimit));
    constexpr int kCallers = 40;
    for (int i = 0; i < kCallers; ++i) CPPUNIT_ASSERT(callerIsAnswered(second));
  }

  void aDaemonThatWaitsForItsPortEndsAtOnce() {
    GatewayProcess gateway("127.8.0.9");
    const Poco::Net::ServerSocket other = occupy(gateway.callers);
    gateway.start();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
    gateway.process().signal(SIGTERM);
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.process().exitCode() == 0);
  }

  void anAddressMayBecomeThisHostsLater() {
    GatewayProcess gateway("127.8.0.10");
    // Reserved for documentation.
    gateway.callers = "203.0.113.1:8080";
    gateway.start();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.process().running());
    CPPUNIT_ASSERT_MESSAGE(gateway.output(),
                           gateway.output().find("listener.unavailable") != std::string::npos);
  }

  /// Callers beyond the soft limit waited, though the hard limit and the settings had room.
  void theSoftLimitOfDescriptorsIsRaised() {
    GatewayProcess gateway("127.8.0.6");
    gateway.descriptors = 2'048;
    gateway.start(TestSupport::DescriptorLimits{128, 4'096});
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    const std::vector<RawCaller> idle = idleCallers(gateway.callers, 300);
    assertQuiet(gateway);
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), callerIsAnswered(gateway));
  }

  /// Accepting without a descriptor to accept with took a whole core, without end.
  void callersBeyondTheHardLimitTakeThePlacesOfIdleOnes() {
    GatewayProcess gateway("127.8.0.7");
    gateway.descriptors = 2'048;
    gateway.start(TestSupport::DescriptorLimits{128, 128});
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    std::vector<RawCaller> idle = idleCallers(gateway.callers, 300);
    assertQuiet(gateway);
    CPPUNIT_ASSERT_MESSAGE("left hanging", idle.front().readAll(kObservation).empty());
    CPPUNIT_ASSERT_MESSAGE("left hanging", idle.front().ended());
    CPPUNIT_ASSERT_MESSAGE("readiness", gateway.answers(kObservation));
    CPPUNIT_ASSERT_MESSAGE("beside the idle ones", callerIsAnswered(gateway));
    CPPUNIT_ASSERT_MESSAGE("the newest", idle.back().readAll(kSettling).empty());
    CPPUNIT_ASSERT_MESSAGE("the newest", !idle.back().ended());
    idle.clear();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), callerIsAnswered(gateway));
  }

  /// The limit falls below what the daemon counted on, so that accepting fails.
  void aDaemonWithoutDescriptorsWaits() {
    GatewayProcess gateway("127.8.0.8");
    gateway.start();
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    constexpr rlimit kLowered{40, 40};
    CPPUNIT_ASSERT_EQUAL(0, prlimit(gateway.process().id(), RLIMIT_NOFILE, &kLowered, nullptr));
    std::vector<RawCaller> idle = idleCallers(gateway.callers, 100);
    assertQuiet(gateway);
    idle.clear();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), callerIsAnswered(gateway));
  }

  /// A daemon that had never reached its store wrote nothing about it, and served nothing.
  void aStoreThatNeverAnsweredIsLoggedAndCounted() {
    GatewayProcess gateway("127.8.0.12");
    gateway.start();
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    std::this_thread::sleep_for(kObservation);
    const std::string output = gateway.output();
    for (const char* const followed : {"settings", "upstreams"}) {
      const std::vector<std::string> lines = linesOf(output, "store.lost", followed);
      // It retries several times a second.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output, std::size_t{1}, lines.size());
      CPPUNIT_ASSERT_MESSAGE(output, lines[0].find("refused") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(metricsOf(gateway),
                             failedCalls(gateway, "follows=\"" + std::string(followed) +
                                                      "\",status=\"UNAVAILABLE\"") >= 2);
    }
  }

  void unreadableAnswersOfTheStoreAreLoggedAndCounted() {
    Standin::StandinServer store(
        "127.0.0.1:0", [](const Standin::Request&, Poco::Net::HTTPServerResponse& response) {
          const std::string body = "<html>welcome</html>";
          response.sendBuffer(body.data(), body.size());
        });
    GatewayProcess gateway("127.8.0.13");
    gateway.store = store.address();
    gateway.start();
    CPPUNIT_ASSERT(gateway.answers(kStartLimit));
    std::this_thread::sleep_for(kObservation);
    const std::string output = gateway.output();
    const std::vector<std::string> lines = linesOf(output, "store.lost", "settings");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(output, std::size_t{1}, lines.size());
    CPPUNIT_ASSERT_MESSAGE(output, lines[0].find("can't be read") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(metricsOf(gateway),
                           failedCalls(gateway, "follows=\"settings\",status=\"UNKNOWN\"") >= 2);
  }

 private:
  static std::vector<RawCaller> idleCallers(const std::string& address, std::size_t count) {
    std::vector<RawCaller> callers;
    callers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) callers.emplace_back(address);
    return callers;
  }

  /// Fails if the daemon uses much of a core though nobody asks it for anything.
  static void assertQuiet(GatewayProcess& gateway) {
    std::this_thread::sleep_for(kSettling);
    const milliseconds before = gateway.processorTime();
    std::this_thread::sleep_for(kObservation);
    const milliseconds used = gateway.processorTime() - before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used.count()) + " ms of a core in " +
                               std::to_string(kObservation.count()) + " ms",
                           used < kObservation / 4);
  }

  static bool writes(const GatewayProcess& gateway, const std::string& event, milliseconds limit) {
    constexpr milliseconds kPollInterval{10};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      if (gateway.output().find(event) != std::string::npos) return true;
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  static bool callerIsAnswered(const GatewayProcess& gateway) {
    RawCaller caller(gateway.callers);
    caller.send("GET /s/x HTTP/1.1\r\nHost: h.example\r\n\r\n");
    return caller.read("\r\n\r\n", kStartLimit).starts_with("HTTP/1.1 ");
  }

  /// The lines of an event on what a follower `follows`.
  static std::vector<std::string> linesOf(const std::string& output, const std::string& event,
                                          const std::string& followed) {
    std::vector<std::string> lines;
    std::istringstream in(output);
    for (std::string line; std::getline(in, line);) {
      if (line.find("\"event\":\"" + event + "\"") == std::string::npos) continue;
      if (line.find("\"follows\":\"" + followed + "\"") == std::string::npos) continue;
      lines.push_back(line);
    }
    return lines;
  }

  static std::string metricsOf(const GatewayProcess& gateway) {
    Hallchute::HttpExchange exchange({gateway.metrics, "", kObservation, kObservation});
    Hallchute::HttpRequest call;
    call.target = "/metrics";
    const Hallchute::HttpResult result = exchange.run(call);
    const auto* answer = std::get_if<Hallchute::HttpResponse>(&result);
    return answer == nullptr ? std::string() : answer->body;
  }

  static int failedCalls(const GatewayProcess& gateway, const std::string& labels) {
    const std::string page = metricsOf(gateway);
    const std::string series = "hallchute_store_calls_failed_total{" + labels + "} ";
    const std::size_t at = page.find(series);
    return at == std::string::npos ? 0 : std::atoi(page.c_str() + at + series.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStartTest);

}  // namespace
