// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <sstream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "Hallchute/src/Net/HttpExchange.h"
#include "standin/StandinServer.h"
#include "test/GatewayProcess.h"

namespace {

using std::chrono::milliseconds;
using TestSupport::GatewayProcess;

constexpr milliseconds kStartLimit{5'000};
/// Longer than a start takes.
constexpr milliseconds kObservation{1'000};

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
  CPPUNIT_TEST(anEarlyReloadSignalDoesNotEndTheDaemon);
  CPPUNIT_TEST(aMetricsPortInUseDoesNotEndTheDaemon);
  CPPUNIT_TEST(aListenPortInUseIsTakenOnceItIsFree);
  CPPUNIT_TEST(aPortIsNotSharedWithAnotherProcess);
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
    second.start();
    std::this_thread::sleep_for(kObservation);
    CPPUNIT_ASSERT_THROW(occupy(first.callers), Poco::Exception);
    CPPUNIT_ASSERT_MESSAGE("both listen", !second.answers(kObservation));
    first.process().kill();
    CPPUNIT_ASSERT_MESSAGE(second.output(), second.answers(kStartLimit));
  }

  /// A daemon that had never reached its store wrote nothing about it, and served nothing.
  void aStoreThatNeverAnsweredIsLoggedAndCounted() {
    GatewayProcess gateway("127.8.0.6");
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
    GatewayProcess gateway("127.8.0.7");
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
