// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <chrono>
#include <string>
#include <thread>

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayStartTest);

}  // namespace
