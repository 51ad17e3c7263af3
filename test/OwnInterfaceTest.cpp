// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/src/Daemon/Daemon.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;

/// A daemon without peers and without a platform.
class RunningDaemon {
 public:
  RunningDaemon() : daemon_(startup()), thread_([this] { daemon_.run(); }) {}
  ~RunningDaemon() {
    daemon_.stop();
    daemon_.stop();
    thread_.join();
  }
  RunningDaemon(const RunningDaemon&) = delete;
  RunningDaemon& operator=(const RunningDaemon&) = delete;

  const std::string address = unusedAddress();

 private:
  StartupFile startup() const {
    StartupFile startup;
    startup.daemon = DaemonId("d-1");
    startup.domain = FailureDomainName("d");
    startup.callerListen = address;
    startup.operatorListen = unusedAddress();
    startup.operatorToken = "token";
    startup.peerListen = unusedAddress();
    startup.peerAdvertise = startup.peerListen;
    startup.peerSecret = "secret";
    startup.platformAddress = unusedAddress();
    startup.platformToken = "token";
    startup.platformTimeout = Millis(100);
    return startup;
  }

  Daemon daemon_;
  std::thread thread_;
};

class OwnInterfaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnInterfaceTest);
  CPPUNIT_TEST(aBodyIsNeverTakenForARequest);
  CPPUNIT_TEST(aRefusedLookUpClaimsNothingOfTheRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// An answer that is given before the body was read leaves the body on the connection.
  void aBodyIsNeverTakenForARequest() {
    RunningDaemon daemon;
    const std::string body = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    std::vector<std::string> answers;
    for (const std::string& rest : {length + body, chunked}) {
      answers.push_back(ask(daemon.address, "POST /x HTTP/1.1\r\nHost: h\r\n" + rest));
    }
    for (const std::string& answer : answers) {
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 404"));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find("HTTP/1.1", 1) == std::string::npos);
    }
  }

  /// The request that it names may have run, whoever asks for it.
  void aRefusedLookUpClaimsNothingOfTheRequest() {
    RunningDaemon daemon;
    for (const std::string method : {"GET", "DELETE"}) {
      const std::string answer =
          ask(daemon.address, method + " /v1/requests/d-1-a HTTP/1.1\r\nHost: h\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 401"));
      CPPUNIT_ASSERT_MESSAGE(answer,
                             answer.find("Hallchute-Outcome: unknown") != std::string::npos);
    }
  }

 private:
  /// Tries until the daemon listens.
  static std::string ask(const std::string& address, const std::string& request) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < end) {
      try {
        RawCaller caller(address);
        caller.send(request);
        return caller.readAll(std::chrono::milliseconds(1'000));
      } catch (const Poco::Exception&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    return {};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnInterfaceTest);

}  // namespace
