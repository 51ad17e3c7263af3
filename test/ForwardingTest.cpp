// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>

#include "ForwardingPair.h"
#include "GatewayRig.h"
#include "Hallchute/src/Net/Clock.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

UpstreamScript fine(const std::string& body = "fine") {
  return {
      "HTTP/1.1 200 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
      "Content-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body,
      Then::keep};
}

const UpstreamScript kRejects{
    "HTTP/1.1 503 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    Then::keep};
const UpstreamScript kFirstEvent{
    "HTTP/1.1 200 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10\r\nid: 1\ndata: t1\n\n\r\n",
    Then::hang};

class ForwardingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingTest);
  CPPUNIT_TEST(answersThroughAnotherDaemonByTable);
  CPPUNIT_TEST(eventsPassBeforeTheStreamEnds);
  CPPUNIT_TEST(aCallerWhoLeavesEndsTheRunAtTheUpstream);
  CPPUNIT_TEST(anUpstreamLearnsNeitherTheKeyNorALaterDeadline);
  CPPUNIT_TEST(aCrashIsRecordedOnce);
  CPPUNIT_TEST(aStreamCutInsideAnEventIsACrashThere);
  CPPUNIT_TEST(nobodyLeftIsRefusedAtOnce);
  CPPUNIT_TEST(aRegainedPathIsUsedAgain);
  CPPUNIT_TEST(othersHelpADaemonWithoutConnectionsLeft);
  CPPUNIT_TEST(aHelperTakesOnlyWhatItHasRoomFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answersThroughAnotherDaemonByTable() {
    struct Row {
      const char* name;
      WorkKind kind;
      UpstreamScript first;
      UpstreamScript second;
      bool dyingPeerFirst;
      const char* start;
      const char* part;
      std::size_t arrivals;
    };
    const UpstreamScript reset{"", Then::reset};
    const std::vector<Row> rows{
        {"an answer", WorkKind::once, fine(), fine(), false, "HTTP/1.1 200", "fine", 1},
        {"rejections by both upstreams", WorkKind::once, kRejects, kRejects, false, "HTTP/1.1 503",
         "Retry-After", 2},
        {"lost between daemons, may not repeat", WorkKind::once, fine(), fine(), true,
         "HTTP/1.1 502", "", 0},
        {"lost between daemons, may repeat", WorkKind::repeatable, fine(), fine(), true,
         "HTTP/1.1 200", "fine", 1},
        {"broken at the upstream, may not repeat", WorkKind::once, reset, reset, false,
         "HTTP/1.1 502", "", 1},
        {"broken at the upstreams, may repeat", WorkKind::repeatable, reset, reset, false,
         "HTTP/1.1 502", "", 2},
    };
    for (const Row& row : rows) {
      CutPair pair(row.kind, row.first, row.second);
      if (row.dyingPeerFirst)
        pair.origin.peers.insert(pair.origin.peers.begin(), pair.dying.address());
      const std::string answer = pair.ask("", "\r\n\r\nfine");
      CPPUNIT_ASSERT_MESSAGE(row.name + (": " + answer), answer.find(row.start) == 0);
      CPPUNIT_ASSERT_MESSAGE(row.name + (": " + answer),
                             answer.find(row.part) != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.arrivals, pair.arrivals());
    }
  }

  void eventsPassBeforeTheStreamEnds() {
    CutPair pair(WorkKind::stream, kFirstEvent, kFirstEvent);
    const std::string answer = pair.ask("", "data: t1");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("data: t1") != std::string::npos);
  }

  void aCallerWhoLeavesEndsTheRunAtTheUpstream() {
    CutPair pair(WorkKind::once, {"", Then::hang}, {"", Then::hang});
    RawCaller caller(pair.origin.rig.address());
    caller.send(requestText("GET"));
    waitUntil([&] { return pair.arrivals() == 1; });
    caller.close();
    waitUntil(
        [&] { return pair.firstUpstream.cancelled() + pair.secondUpstream.cancelled() == 1; });
  }

  void anUpstreamLearnsNeitherTheKeyNorALaterDeadline() {
    CutPair pair(WorkKind::once, fine(), fine());
    pair.ask("Authorization: Bearer secret-key\r\nHallchute-Deadline-Ms: 700\r\n");
    const auto first = pair.firstUpstream.requests();
    const std::string request = first.empty() ? pair.secondUpstream.requests().at(0) : first[0];
    CPPUNIT_ASSERT_MESSAGE(request, request.find("secret-key") == std::string::npos);
    const std::string field = "Hallchute-Deadline-Ms: ";
    CPPUNIT_ASSERT(std::stoi(request.substr(request.find(field) + field.size())) <= 700);
    CPPUNIT_ASSERT(request.find("Hallchute-Expect-Replica: i-") != std::string::npos);
  }

  void aCrashIsRecordedOnce() {
    CutPair pair(WorkKind::once, {"", Then::reset}, {"", Then::reset});
    pair.ask();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.helper.crashes() + pair.origin.crashes());
  }

  /// A stream without a length ends with its connection, as its upstream's process does.
  void aStreamCutInsideAnEventIsACrashThere() {
    const UpstreamScript cut{
        "HTTP/1.1 200 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
        "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: t1\n\nid: 2\nda",
        Then::close};
    CutPair pair(WorkKind::stream, cut, cut);
    const std::string answer = pair.ask("", "no such text");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("0\r\n\r\n") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pair.helper.crashes() + pair.origin.crashes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pair.arrivals());
  }

  void nobodyLeftIsRefusedAtOnce() {
    CutPair pair(WorkKind::once, fine(), fine());
    pair.origin.peers.clear();
    const Instant start = clockNow();
    CPPUNIT_ASSERT(pair.ask().find("HTTP/1.1 503") == 0);
    CPPUNIT_ASSERT(clockNow() - start < Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.arrivals());
  }

  void aRegainedPathIsUsedAgain() {
    CutPair pair(WorkKind::once, fine(), fine());
    pair.origin.rig.setUpstreams({upstreamAt("i-1", pair.firstUpstream.address())});
    waitUntil([&] { return !pair.origin.pathLost(); });
    pair.origin.peers.clear();
    CPPUNIT_ASSERT(pair.ask().find("HTTP/1.1 200") == 0);
  }

  /// The load balancer may send most callers to one daemon of many, whose share of an upstream's
  /// connections is small.
  void othersHelpADaemonWithoutConnectionsLeft() {
    CutPair pair(WorkKind::stream, kFirstEvent, kFirstEvent);
    pair.origin.rig.setUpstreams({upstreamAt("i-1", pair.firstUpstream.address())});
    waitUntil([&] { return !pair.origin.pathLost(); });
    pair.origin.rig.loop().call([&] { pair.origin.rig.engine().setFleet({10'000, {}, {}}); });
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 6; ++i) {
      callers.push_back(std::make_unique<RawCaller>(pair.origin.rig.address()));
      callers.back()->send(requestText("POST", "", "body"));
      const std::string answer = callers.back()->read("data: t1");
      CPPUNIT_ASSERT_MESSAGE(std::to_string(i) + ": " + answer,
                             answer.find("data: t1") != std::string::npos);
    }
  }

  /// If few daemons still have a path, all the others' requests come to them.
  void aHelperTakesOnlyWhatItHasRoomFor() {
    constexpr std::size_t kConnections = 12;
    constexpr std::size_t kTaken = kConnections / 4;
    CutPair pair(WorkKind::stream, kFirstEvent, kFirstEvent);
    Route route = plainRoute(WorkKind::stream);
    route.resumable = true;
    GatewaySettings settings = settingsWith(route, 2);
    settings.limits.connections = kConnections;
    pair.helper.rig.setSettings(settings);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t i = 0; i < kTaken + 3; ++i) {
      callers.push_back(std::make_unique<RawCaller>(pair.origin.rig.address()));
      callers.back()->send(requestText("POST", "", "body"));
      const std::string answer = callers.back()->read(i < kTaken ? "data: t1" : "\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(std::to_string(i) + ": " + answer,
                             answer.starts_with(i < kTaken ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    }
    CPPUNIT_ASSERT_EQUAL(kTaken, pair.arrivals());
    // One that ends makes room.
    callers.front().reset();
    waitUntil([&] { return pair.ask("", "data: t1").starts_with("HTTP/1.1 200"); });
  }

 private:
  template <typename Condition>
  static void waitUntil(Condition condition) {
    const Instant limit = clockNow() + std::chrono::seconds(5);
    while (!condition() && clockNow() < limit) std::this_thread::sleep_for(Millis(5));
    CPPUNIT_ASSERT(condition());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingTest);

}  // namespace
