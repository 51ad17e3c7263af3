// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <chrono>
#include <string>
#include <thread>

#include "AnswerScripts.h"
#include "ScriptedUpstream.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/StandinServer.h"
#include "test/GatewayProcess.h"
#include "test/GatewayRig.h"

namespace {

using Hallchute::eventChunk;
using Hallchute::kPlainAnswer;
using Hallchute::kSignedHead;
using Hallchute::kStreamEnd;
using Hallchute::kStreamHead;
using Hallchute::RawCaller;
using Hallchute::requestText;
using Hallchute::ScriptedUpstream;
using Hallchute::UpstreamScript;
using std::chrono::milliseconds;
using Then = UpstreamScript::Then;
using Json = Poco::JSON::Object;

void sleepFor(milliseconds time) {
  std::this_thread::sleep_for(time);
}

/// A real daemon with the default grace of eight seconds, its store and one upstream.
class StoppingDaemon {
 public:
  StoppingDaemon(const std::string& ip, const std::string& kind, const UpstreamScript& script)
      : upstream({script}), gateway(ip) {
    Json::Ptr route = new Json;
    route->set("name", "r");
    route->set("host", "h.example");
    route->set("path-prefix", "/s/");
    route->set("kind", kind);
    route->set("service", "s");
    route->set("timeout-ms", 12'000);
    route->set("target-latency-ms", 500);
    route->set("gap-aim-ms", 300);
    route->set("resumable", kind == "streaming");
    route->set("max-attempts", 3);
    route->set("public", true);
    Json::Ptr service = new Json;
    service->set("name", "s");
    service->set("max-connections", 100);
    Poco::JSON::Array::Ptr routes = new Poco::JSON::Array;
    routes->add(route);
    Poco::JSON::Array::Ptr services = new Poco::JSON::Array;
    services->add(service);
    Json::Ptr settings = new Json;
    settings->set("version", 1);
    settings->set("routes", routes);
    settings->set("services", services);
    store.put("config", "main", settings);
    Json::Ptr server = new Json;
    server->set("service", "s");
    server->set("address", upstream.address());
    server->set("zone", "domain");
    server->set("version", "1");
    server->set("slots", 8);
    server->set("state", "ready");
    server->set("cold-remaining-ms", 0);
    server->set("sequence", 1);
    store.put("servers", "i-1", server);
    gateway.store = storeServer.address();
    gateway.start();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!ready() && std::chrono::steady_clock::now() < end) sleepFor(milliseconds(20));
  }
  bool ready() const {
    try {
      RawCaller page(gateway.readiness);
      page.send("GET /ready HTTP/1.1\r\nHost: t\r\n\r\n");
      return page.read("\r\n\r\n", milliseconds(200)).starts_with("HTTP/1.1 200");
    } catch (const Poco::Exception&) {
      return false;
    }
  }
  void stop() { gateway.process().signal(SIGTERM); }

  Standin::ObjectStoreStandin store;
  Standin::StandinServer storeServer{
      "127.0.0.1:0",
      [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
        store.handle(request, response);
      }};
  ScriptedUpstream upstream;
  TestSupport::GatewayProcess gateway;
};

/// Guards against answers that a stop cuts before its grace is over.
class StopLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopLossTest);
  CPPUNIT_TEST(aSilentUpstreamsAnswersCompleteWithinTheGrace);
  CPPUNIT_TEST(aSlowCallerGetsAllOfItsAnswer);
  CPPUNIT_TEST(aRequestThatArrivesSlowlyIsAnswered);
  CPPUNIT_TEST(whatMayHaveRunIsToldSoBeforeTheProcessEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aSilentUpstreamsAnswersCompleteWithinTheGrace() {
    StoppingDaemon daemon(
        "127.8.1.1", "streaming",
        {kStreamHead + eventChunk(1), Then::keep, milliseconds(5'000), eventChunk(2) + kStreamEnd});
    RawCaller early(daemon.gateway.callers);
    RawCaller late(daemon.gateway.callers);
    early.send(requestText("POST", "", "body"));
    early.read("data: a");
    daemon.stop();
    sleepFor(milliseconds(1'500));
    late.send(requestText("POST", "", "body"));
    for (RawCaller* caller : {&early, &late}) {
      const std::string answer = caller->readAll(milliseconds(9'000));
      CPPUNIT_ASSERT_MESSAGE(answer + daemon.gateway.output(),
                             answer.ends_with(eventChunk(2) + kStreamEnd));
    }
  }

  void aSlowCallerGetsAllOfItsAnswer() {
    constexpr std::size_t kBytes = 8U << 20U;
    StoppingDaemon daemon("127.8.1.2", "safe",
                          {kSignedHead + "Content-Length: " + std::to_string(kBytes) + "\r\n\r\n" +
                           std::string(kBytes, 'b')});
    RawCaller caller(daemon.gateway.callers);
    daemon.stop();
    sleepFor(milliseconds(1'900));
    caller.send(requestText("POST", "", "body"));
    sleepFor(milliseconds(1'200));
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_EQUAL(kBytes, answer.size() - answer.find("\r\n\r\n") - 4);
  }

  /// Its body began to arrive while new requests were taken.
  void aRequestThatArrivesSlowlyIsAnswered() {
    StoppingDaemon daemon("127.8.1.3", "safe", {kPlainAnswer});
    RawCaller caller(daemon.gateway.callers);
    daemon.stop();
    const std::string request = requestText("POST", "", "body");
    sleepFor(milliseconds(1'900));
    caller.send(request.substr(0, request.size() - 2));
    sleepFor(milliseconds(1'200));
    caller.send(request.substr(request.size() - 2));
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE("answer: " + answer, answer.starts_with("HTTP/1.1 "));
  }

  /// A connection that ends without a byte, or is reset, looks like one whose request wasn't read.
  void whatMayHaveRunIsToldSoBeforeTheProcessEnds() {
    StoppingDaemon daemon("127.8.1.4", "unsafe", {"", Then::hang});
    RawCaller one(daemon.gateway.callers);
    RawCaller sendingAhead(daemon.gateway.callers);
    one.send(requestText("POST", "", "body"));
    sendingAhead.send(requestText("POST", "", "body"));
    daemon.upstream.awaitRequests(2);
    sendingAhead.send(requestText("POST", "", std::string(200'000, 'b')));
    daemon.stop();
    for (RawCaller* caller : {&one, &sendingAhead}) {
      const std::string answer = caller->readAll(milliseconds(9'000));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 502"));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.find("HTTP/1.1", 1) == std::string::npos);
      CPPUNIT_ASSERT(caller->ended());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, daemon.upstream.requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopLossTest);

}  // namespace
