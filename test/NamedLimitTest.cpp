// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;

constexpr int kRequests = 20;

UpstreamScript answerWith(const std::string& field) {
  return {"HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n" +
              field + "Content-Length: 2\r\n\r\nok",
          UpstreamScript::Then::keep};
}

std::string ask(GatewayRig& rig) {
  RawCaller caller(rig.address());
  caller.send(requestText("POST", "", "body"));
  return caller.read("\r\n\r\n");
}

/// A fleet of this one daemon.
void setFleetOfOne(GatewayRig& rig) {
  FleetTrafficView view{1, {}, {1, 1, 1.0, false, Millis(0)}, Millis(0), 3, {{1}, 0, true}};
  rig.loop().call([&] { rig.engine().setFleet(view); });
}

/// An upstream of the service `pool`.
UpstreamRecord poolMember(int number) {
  UpstreamRecord record;
  record.id = UpstreamId("u" + std::to_string(number));
  record.service = ServiceName("pool");
  record.slots = 8;
  return record;
}

/// One daemon and a pool of upstreams of which one names a limit, in virtual time.
class LimitedPool {
 public:
  static constexpr int kUpstreams = 12;

  explicit LimitedPool(double perSecond) : perSecond_(perSecond) {
    std::vector<UpstreamRecord> records;
    records.reserve(kUpstreams);
    for (int i = 0; i < kUpstreams; ++i) records.push_back(poolMember(i));
    limited_ = {records.front().id, 0};
    table_.replace(records, at(0));
    table_.limits().setFleet({{1}, 0, true, Millis(0)});
    answer(0);
  }

  /// Sends a request. \returns whether the upstream with the limit gets it.
  bool sendsToLimited(int ms) {
    UpstreamCriteria criteria;
    criteria.service = ServiceName("pool");
    criteria.requestId = std::to_string(ms);
    const UpstreamEntry* const picked = pickUpstream(table_, criteria, at(ms));
    if (picked == nullptr) throw std::logic_error("no upstream is eligible");
    table_.limits().noteSent(picked->record.id, at(ms));
    return picked->record.id == limited_.id;
  }
  /// The upstream with the limit answers, and names it again.
  void answer(int ms) { table_.limits().noteAnswer(limited_, perSecond_, at(ms)); }

 private:
  static Instant at(int ms) { return Instant(std::chrono::hours(1)) + Millis(ms); }

  double perSecond_;
  UpstreamTable table_;
  UpstreamIncarnation limited_;
};

class NamedLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamedLimitTest);
  CPPUNIT_TEST(theAdapterReadsALimit);
  CPPUNIT_TEST(requestsBeyondALimitGoElsewhere);
  CPPUNIT_TEST(requestsBeyondAllLimitsAreRefusedAtOnce);
  CPPUNIT_TEST(aDroppedLimitIsNoticed);
  CPPUNIT_TEST(anUpstreamThatCanRejectFewIsNotOverrun);
  CPPUNIT_TEST(anUpstreamThatDoesNotAnswerIsSeldomAsked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void theAdapterReadsALimit() {
    struct Row {
      const char* text;
      std::optional<double> limit;
    };
    const Row rows[] = {{"2.5", 2.5}, {"0", 0.0}, {"12", 12.0}, {"-1", {}}, {"x", {}}, {"", {}}};
    for (const Row& row : rows) {
      HttpHead head;
      head.status = 200;
      head.fields.add("Server-Limit", row.text);
      CPPUNIT_ASSERT_MESSAGE(row.text, PlatformCodec().readAnswer(head).requestLimit == row.limit);
      CPPUNIT_ASSERT(!PlatformCodec().readAnswer(head).rejectionLimit);
      head.fields.add("Server-Brittle", row.text);
      CPPUNIT_ASSERT_MESSAGE(row.text,
                             PlatformCodec().readAnswer(head).rejectionLimit == row.limit);
    }
    CPPUNIT_ASSERT(!PlatformCodec().readAnswer(HttpHead{}).requestLimit);
  }

  /// A full upstream was sent whatever came, and failed as it can reject only some requests a
  /// second; others are refused without reaching it.
  void anUpstreamThatCanRejectFewIsNotOverrun() {
    constexpr std::size_t kRejectionsPerSecond = 4;
    ScriptedUpstream full(
        {{"HTTP/1.1 503 X\r\nHallchute-Attempt-Id: {id}\r\n"
          "Hallchute-Not-Executed: 1\r\nServer-Brittle: " +
              std::to_string(kRejectionsPerSecond) + "\r\nContent-Length: 0\r\n\r\n",
          UpstreamScript::Then::keep}});
    GatewayRig rig;
    setFleetOfOne(rig);
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", full.address())});
    const auto start = std::chrono::steady_clock::now();
    int asked = 0;
    for (; std::chrono::steady_clock::now() - start < std::chrono::seconds(1); ++asked) {
      CPPUNIT_ASSERT(ask(rig).find("HTTP/1.1 503") == 0);
    }
    CPPUNIT_ASSERT(asked > 10 * static_cast<int>(kRejectionsPerSecond));
    CPPUNIT_ASSERT(full.requests().size() <= kRejectionsPerSecond);
  }

  void requestsBeyondALimitGoElsewhere() {
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    const ScriptedUpstream limited({answerWith("Server-Limit: 1\r\n")});
    const ScriptedUpstream other({answerWith("")});
    rig.setUpstreams({upstreamAt("a", limited.address()), upstreamAt("b", other.address())});
    setFleetOfOne(rig);
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT(ask(rig).starts_with("HTTP/1.1 200"));
    }
    // The first answer names the limit; one more request may go there each second.
    CPPUNIT_ASSERT(limited.requests().size() <= 3);
    CPPUNIT_ASSERT(other.requests().size() >= kRequests - 3);
  }

  void requestsBeyondAllLimitsAreRefusedAtOnce() {
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    const ScriptedUpstream limited({answerWith("Server-Limit: 0.5\r\n")});
    rig.setUpstreams({upstreamAt("a", limited.address())});
    setFleetOfOne(rig);
    CPPUNIT_ASSERT(ask(rig).starts_with("HTTP/1.1 200"));
    int refused = 0;
    for (int i = 0; i < kRequests; ++i) refused += ask(rig).starts_with("HTTP/1.1 503") ? 1 : 0;
    CPPUNIT_ASSERT(refused >= kRequests - 2);
  }

  /// Only an answer tells that a limit was dropped. Requests went to other upstreams for seconds,
  /// so that the upstream stayed nearly idle.
  void aDroppedLimitIsNoticed() {
    constexpr int kRequestPeriodMs = 100;
    constexpr int kLengthMs = 60'000;
    constexpr int kLongestWaitMs = 3'000;
    LimitedPool pool(0.8);
    int answeredMs = 0;
    for (int ms = 0; ms < kLengthMs; ms += kRequestPeriodMs) {
      if (pool.sendsToLimited(ms)) {
        pool.answer(ms);
        answeredMs = ms;
      }
      CPPUNIT_ASSERT_MESSAGE("unconfirmed since " + std::to_string(answeredMs) + " ms",
                             ms - answeredMs <= kLongestWaitMs);
    }
  }

  /// An upstream with a high limit hung: all that its limit allowed went there, for as long as it
  /// didn't answer.
  void anUpstreamThatDoesNotAnswerIsSeldomAsked() {
    constexpr int kRequestPeriodMs = 20;
    constexpr int kLengthMs = 20'000;
    LimitedPool pool(60);
    int asked = 0;
    for (int ms = 0; ms < kLengthMs; ms += kRequestPeriodMs) {
      if (pool.sendsToLimited(ms)) ++asked;
    }
    // Its part of the requests, and one a second to learn of its limit.
    const int part = kLengthMs / kRequestPeriodMs / LimitedPool::kUpstreams;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(asked), asked <= 2 * part + kLengthMs / 1'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamedLimitTest);

}  // namespace
