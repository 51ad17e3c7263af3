// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"
#include "platform/ObjectStore.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

constexpr Millis kTimeLimit{4'000};
/// An endless answer ends well before the time limit of its request.
constexpr Millis kPromptly{2'500};
/// What an upstream gets rid of, with the kernel's buffers, and by what the process may grow.
constexpr std::size_t kMaxSentBytes = std::size_t{24} << 20U;
constexpr std::size_t kMaxGrowthBytes = std::size_t{64} << 20U;

const std::string kLetters(16'384, 'a');
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kField = "X-Field: " + std::string(2'000, 'a') + "\r\n";
const std::string kForeignHead =
    "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: other\r\nHallchute-Replica-Signature: s\r\n";
const std::string kRejectionHead =
    "HTTP/1.1 503 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Not-Executed: 1\r\n";
const std::string kComment = "8\r\n: ping\n\n\r\n";

std::string chunk(const std::string& bytes) {
  return "4000\r\n" + bytes + "\r\n";
}

std::string repeated(const std::string& text, int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

/// Bytes in memory of this process.
std::size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

struct Row {
  std::string name;
  WorkKind kind;
  /// Sent once, and then again and again.
  std::string start;
  std::string endless;
  Millis pace{0};
};

/// Guards against upstreams that send without end what is no answer: such an exchange took the
/// memory of its daemon, or the whole time of its request.
class UnboundedBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnboundedBytesTest);
  CPPUNIT_TEST(anEndlessAnswerFailsItsExchange);
  CPPUNIT_TEST(aRepeatableRequestGoesOnElsewhere);
  CPPUNIT_TEST(bytesAfterAnAnswerBelongToNoRequest);
  CPPUNIT_TEST(slowCallersAreBoundedTogether);
  CPPUNIT_TEST(heldAnswersAreBoundedTogether);
  CPPUNIT_TEST(anEndlessAnswerOfTheStoreEndsTheCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void anEndlessAnswerFailsItsExchange() {
    expectNone([](Row row) {
      if (row.kind == WorkKind::repeatable) row.kind = WorkKind::once;
      return failureOf(row, false);
    });
  }

  void aRepeatableRequestGoesOnElsewhere() {
    expectNone([](const Row& row) { return failureOf(row, true); });
  }

  void bytesAfterAnAnswerBelongToNoRequest() {
    const std::vector<UpstreamScript> scripts{
        {kPlainAnswer, Then::keep, Millis(0), "", Millis(0), "", kLetters},
        {kPlainAnswer, Then::keep, Millis(50), "", Millis(0), "", kLetters},
        {kPlainAnswer, Then::keep, Millis(50), "", Millis(0), "", kForeignHead + "\r\n"},
    };
    for (const UpstreamScript& script : scripts) {
      ScriptedUpstream upstream({script, {kPlainAnswer}});
      GatewayRig rig;
      Route route = plainRoute(WorkKind::once);
      rig.setSettings(settingsWith(route));
      rig.setUpstreams({upstreamAt("u1", upstream.address())});
      CPPUNIT_ASSERT(answerOf(rig).ends_with("\r\n\r\nok"));
      CPPUNIT_ASSERT_EQUAL(1, upstream.awaitCancelled(1));
      CPPUNIT_ASSERT(answerOf(rig).ends_with("\r\n\r\nok"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, upstream.requests().size());
      CPPUNIT_ASSERT(upstream.endlessBytes() < kMaxSentBytes);
    }
  }

  /// Callers that took none of their answers filled the memory of the daemon.
  void slowCallersAreBoundedTogether() {
    constexpr std::size_t kBytes = std::size_t{8} << 20U;
    constexpr int kCallers = 12;
    ScriptedUpstream upstream({{kSignedHead + "Content-Length: " + std::to_string(kBytes) +
                                "\r\n\r\n" + std::string(kBytes, 'b')}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("u1", upstream.address())});
    std::vector<std::unique_ptr<RawCaller>> callers;
    const auto dropped = [&] {
      return rig.metrics().counter("hallchute_front_slow_callers_dropped_total", "");
    };
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawCaller>(rig.address()));
      callers.back()->send(requestText("POST", "Connection: close\r\n", "body"));
      callers.back()->read("\r\n\r\n");
    }
    for (int i = 0; i < 100 && dropped() == 0; ++i) std::this_thread::sleep_for(Millis(20));
    CPPUNIT_ASSERT(dropped() > 0);
    CPPUNIT_ASSERT(answerOf(rig).ends_with("bbbb"));
  }

  /// Many answers of a permitted size are more than a small host has.
  void heldAnswersAreBoundedTogether() {
    const std::string half(std::size_t{3} << 20U, 'b');
    ScriptedUpstream upstream(
        {{kSignedHead + "Content-Length: 8000000\r\n\r\n" + half, Then::hang}});
    ScriptedUpstream small({{kPlainAnswer}});
    GatewayRig rig;
    Route route = plainRoute(WorkKind::once);
    route.timeLimit = kTimeLimit;
    rig.setSettings(settingsWith(route));
    rig.setUpstreams({upstreamAt("u1", upstream.address())});
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 7; ++i) {
      callers.push_back(std::make_unique<RawCaller>(rig.address()));
      callers.back()->send(requestText("POST", "Connection: close\r\n", "body"));
    }
    upstream.awaitCancelled(2);
    rig.setUpstreams({upstreamAt("u2", small.address())});
    CPPUNIT_ASSERT(answerOf(rig).ends_with("\r\n\r\nok"));
    CPPUNIT_ASSERT(rig.metrics().counter("hallchute_upstream_unbounded_total",
                                         "service=\"s\",reason=\"memory\"") >= 2);
  }

  /// A follower of the store waited for the end of such an answer for good.
  void anEndlessAnswerOfTheStoreEndsTheCall() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<UpstreamScript> scripts{
        {"", Then::keep, Millis(0), "", Millis(0), "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {head, Then::keep, Millis(0), "", Millis(0), "", "X: a\r\n"},
        {head + "X: ", Then::keep, Millis(0), "", Millis(0), "", kLetters},
        {head + "Content-Length: 1099511627776\r\n\r\n[", Then::keep, Millis(0), "", Millis(0), "",
         kLetters},
        {head + kChunked, Then::keep, Millis(0), "", Millis(0), "", chunk(kLetters)},
        {head + kChunked + "1;", Then::keep, Millis(0), "", Millis(0), "", kLetters},
        {head + kChunked + "0\r\n", Then::keep, Millis(0), "", Millis(0), "", kField},
        {head + "Content-Length: 1000000\r\n\r\n{", Then::keep, Millis(0), "", Millis(0), "", " ",
         Millis(50)},
    };
    for (const UpstreamScript& script : scripts) {
      ScriptedUpstream server({script});
      const ObjectStore store(server.address(), "127.0.0.1");
      const std::size_t before = residentBytes();
      const auto start = std::chrono::steady_clock::now();
      const bool listed = store.list("config", ReadConsistency::latest).ok();
      const bool watched = store.watch("config", 3, Millis(1)).ok();
      const auto took = std::chrono::steady_clock::now() - start;
      const std::string shown = (script.bytes + script.endless).substr(0, 80);
      CPPUNIT_ASSERT_MESSAGE(shown, !listed && !watched);
      CPPUNIT_ASSERT_MESSAGE(shown, took < Millis(12'000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, 2, server.awaitCancelled(2));
      CPPUNIT_ASSERT_MESSAGE(shown, server.endlessBytes() < 2 * kMaxSentBytes);
      CPPUNIT_ASSERT_MESSAGE(shown, residentBytes() < before + kMaxGrowthBytes);
    }
  }

 private:
  static std::vector<Row> rows() {
    const WorkKind plain = WorkKind::repeatable;
    const WorkKind stream = WorkKind::stream;
    return {
        {"head", plain, "HTTP/1.1 200 OK\r\nX: ", kLetters},
        {"header fields", plain, "HTTP/1.1 200 OK\r\n", kField, Millis(2)},
        {"header fields one by one", plain, "HTTP/1.1 200 OK\r\nX", kField.substr(1) + "X",
         Millis(2)},
        {"interim responses", plain, "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"chunk extension", plain, kSignedHead + kChunked + "1;a=", kLetters},
        {"many chunk extensions", plain, kSignedHead + kChunked,
         "1;a=" + kLetters.substr(0, 4'000) + "\r\nx\r\n"},
        {"trailers", plain, kSignedHead + kChunked + "2\r\nok\r\n0\r\n", kField},
        {"body until the end", plain, kSignedHead + "\r\n", kLetters},
        {"body of a length", plain, kSignedHead + "Content-Length: 1099511627776\r\n\r\n",
         kLetters},
        {"body in chunks", plain, kSignedHead + kChunked, chunk(kLetters)},
        {"rejection", plain, kRejectionHead + "\r\n", kLetters},
        {"foreign answer", plain, kForeignHead + "\r\n", kLetters},
        {"foreign answers", plain, "", kForeignHead + "Content-Length: 2\r\n\r\nno"},
        {"event", stream, kStreamHead + chunk("data: " + kLetters.substr(6)), chunk(kLetters)},
        {"event after others", stream, kStreamHead + eventChunk(1), chunk(kLetters)},
        {"comments", stream, kStreamHead, repeated(kComment, 1'000)},
        {"comments after an event", stream, kStreamHead + eventChunk(1), repeated(kComment, 1'000)},
        {"few comments", stream, kStreamHead, kComment, Millis(20)},
        {"few comments after an event", stream, kStreamHead + eventChunk(1), kComment, Millis(20)},
    };
  }
  template <typename Check>
  static void expectNone(const Check& check) {
    std::string all;
    for (const Row& row : rows()) all += check(row);
    CPPUNIT_ASSERT_MESSAGE(all, all.empty());
  }
  static std::string answerOf(GatewayRig& rig) {
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    return caller.readAll(kTimeLimit + kTimeLimit);
  }

  /// By which upstreams are ejected.
  static std::uint32_t failuresIn(GatewayRig& rig) {
    std::uint32_t failures = 0;
    rig.loop().call([&] {
      for (const char* id : {"u1", "u2"}) {
        failures += rig.engine().upstreamTable().find(UpstreamId(id))->consecutiveFailures;
      }
    });
    return failures;
  }

  /// What is wrong with the answers to two requests, of which the first meets the row's upstream.
  static std::string failureOf(const Row& row, bool repeatable) {
    const bool stream = row.kind == WorkKind::stream;
    const UpstreamScript good{stream ? kStreamHead + eventChunk(1) + eventChunk(2) + kStreamEnd
                                     : kPlainAnswer};
    const std::string whole =
        stream ? eventChunk(1) + eventChunk(2) + kStreamEnd : std::string("\r\n\r\nok");
    const UpstreamScript bad{row.start, Then::keep, Millis(0),   "",
                             Millis(0), "",         row.endless, row.pace};
    ScriptedUpstream upstream({bad, good});
    Route route = plainRoute(row.kind);
    route.timeLimit = kTimeLimit;
    route.latencyObjective = Millis(300);
    route.resumable = stream && repeatable;
    GatewayRig rig;
    rig.setSettings(settingsWith(route));
    rig.setUpstreams({upstreamAt("u1", upstream.address()), upstreamAt("u2", upstream.address())});

    const std::size_t before = residentBytes();
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = answerOf(rig);
    const auto took = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
    const std::size_t grown = std::max(residentBytes(), before) - before;
    const std::size_t arrivals = upstream.requests().size();
    const int cancelled = upstream.awaitCancelled(1);
    const std::uint32_t failures = failuresIn(rig);
    const std::string next = answerOf(rig);

    std::string faults;
    const auto expect = [&](bool holds, const std::string& fault) {
      if (!holds) faults += " " + fault;
    };
    // What trickles and may not repeat is waited for, as the answer may still come.
    const bool waits = row.pace > Millis(10) && !repeatable;
    expect(waits || took < kPromptly, "took " + std::to_string(took.count()) + " ms");
    expect(cancelled == 1, "not closed");
    expect(waits || failures == 1, std::to_string(failures) + " failures of upstreams");
    expect(upstream.endlessBytes() < kMaxSentBytes,
           std::to_string(upstream.endlessBytes()) + " bytes taken");
    expect(grown < kMaxGrowthBytes, std::to_string(grown) + " bytes grown");
    const std::string shown = answer.substr(0, 80);
    if (repeatable) {
      expect(answer.starts_with("HTTP/1.1 200") && answer.ends_with(whole), "answer " + shown);
      expect(arrivals == 2, std::to_string(arrivals) + " arrivals");
    } else {
      const bool begun = answer.starts_with("HTTP/1.1 200") && !answer.ends_with(kStreamEnd);
      const bool failed = answer.starts_with(waits ? "HTTP/1.1 504" : "HTTP/1.1 502");
      expect(row.start.find(eventChunk(1)) != std::string::npos ? begun : failed,
             "answer " + shown);
      expect(arrivals == 1, std::to_string(arrivals) + " arrivals");
    }
    expect(next.starts_with("HTTP/1.1 200") && next.ends_with(whole), "next " + next.substr(0, 80));
    return faults.empty() ? faults : row.name + ":" + faults + "\n";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnboundedBytesTest);

}  // namespace
