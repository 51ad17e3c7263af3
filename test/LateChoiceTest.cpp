// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

constexpr Millis kTimeLimit{12'000};
/// Longer than a stream may be silent; an upstream that ends then does so while a replacement is
/// chosen.
constexpr Millis kSilence{1'400};
/// Grants the first slot at once and decides on others after a while, as a coordinator that is slow
/// to answer.
class SlowSlots final : public SlotExchange {
 public:
  SlowSlots(EventLoop& loop, SlotVerdict verdict) : loop_(loop), verdict_(verdict) {}
  void acquire(const SlotRequest&, ReplySink onReply) override {
    const bool first = asked_++ == 0;
    const SlotVerdict verdict = first ? SlotVerdict::granted : verdict_;
    loop_.after(Millis(first ? 0 : 600), [this, verdict, onReply = std::move(onReply)] {
      SlotReply reply;
      reply.decision.verdict = verdict;
      if (reply.decision.granted()) {
        ++held_;
        reply.slot = std::make_shared<HeldSlot>([this](SlotOutcome) { --held_; });
      }
      onReply(reply);
    });
  }
  int asked() const { return asked_; }
  int held() const { return held_; }

 private:
  EventLoop& loop_;
  SlotVerdict verdict_;
  std::atomic<int> asked_{0};
  std::atomic<int> held_{0};
};

/// Guards against choices of an upstream that are void and still count as dispatches.
class LateChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateChoiceTest);
  CPPUNIT_TEST(aRequestEndsOnceNothingIsAtWork);
  CPPUNIT_TEST(aChoiceThatIsVoidIsNoRun);
  CPPUNIT_TEST(noUpstreamWorksLongBesideOneThatGoesOn);
  CPPUNIT_TEST(anUpstreamThatRejectedWhileAnotherWasSilentTakesItsPlaceLater);
  CPPUNIT_TEST(aCancelledReplacementTakesItsPlaceLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The upstream at work ends while a replacement is being chosen, and no slot is free.
  void aRequestEndsOnceNothingIsAtWork() {
    ScriptedUpstream first({{kStreamHead + eventChunk(1), Then::close, kSilence}});
    ScriptedUpstream second({{kStreamHead + eventChunk(2) + kStreamEnd}});
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = ask(first, second, SlotVerdict::full, 3);
    const auto took = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.requests().size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms, " + answer, took < Millis(5'000));
  }

  /// Two runs are allowed, and the second begins only after the first has ended.
  void aChoiceThatIsVoidIsNoRun() {
    ScriptedUpstream first({{kStreamHead + eventChunk(1), Then::close, kSilence, eventChunk(2)}});
    ScriptedUpstream second({{kStreamHead + eventChunk(3) + kStreamEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 2);
    CPPUNIT_ASSERT_MESSAGE(
        answer, answer.ends_with(eventChunk(1) + eventChunk(2) + eventChunk(3) + kStreamEnd));
  }

  void anUpstreamThatRejectedWhileAnotherWasSilentTakesItsPlaceLater() {
    ScriptedUpstream first({{kStreamHead + eventChunk(1), Then::close, kSilence, eventChunk(2)}});
    ScriptedUpstream second({{kRejection}, {kStreamHead + eventChunk(3) + kStreamEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 3, false);
    CPPUNIT_ASSERT_MESSAGE(
        answer, answer.ends_with(eventChunk(1) + eventChunk(2) + eventChunk(3) + kStreamEnd));
  }

  void aCancelledReplacementTakesItsPlaceLater() {
    ScriptedUpstream first({{kStreamHead + eventChunk(1), Then::close, kSilence, eventChunk(2)}});
    ScriptedUpstream second(
        {{"", Then::hang, kTimeLimit}, {kStreamHead + eventChunk(3) + kStreamEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 3, false);
    CPPUNIT_ASSERT_MESSAGE(
        answer, answer.ends_with(eventChunk(1) + eventChunk(2) + eventChunk(3) + kStreamEnd));
  }

  /// The replacement needs a while to its first event, as one that reads a long prompt.
  void noUpstreamWorksLongBesideOneThatGoesOn() {
    ScriptedUpstream first({{kStreamHead + eventChunk(1), Then::hang, kTimeLimit}});
    ScriptedUpstream second({{"", Then::keep, Millis(900), kStreamHead + eventChunk(2), Millis(600),
                              eventChunk(3) + kStreamEnd}});
    GatewayRig rig;
    SlowSlots slots(rig.loop(), SlotVerdict::granted);
    prepare(rig, slots, first, second, 3);
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    caller.read(eventChunk(2));
    const auto goesOn = std::chrono::steady_clock::now();
    while (first.cancelled() == 0 && std::chrono::steady_clock::now() < goesOn + kTimeLimit) {
      std::this_thread::sleep_for(Millis(2));
    }
    const auto beside = std::chrono::steady_clock::now() - goesOn;
    CPPUNIT_ASSERT(beside <= Millis(400));
    CPPUNIT_ASSERT(caller.readAll(kTimeLimit).ends_with(eventChunk(3) + kStreamEnd));
    rig.loop().call([&] { rig.engine().setSlotExchange(nullptr); });
  }

 private:
  /// \returns the upstream that isn't the first choice.
  static UpstreamIncarnation prepare(GatewayRig& rig, SlowSlots& slots,
                                     const ScriptedUpstream& first, const ScriptedUpstream& second,
                                     int maxRuns) {
    Route route = plainRoute(WorkKind::stream);
    route.resumable = true;
    route.maxRuns = maxRuns;
    route.timeLimit = kTimeLimit;
    rig.setSettings(settingsWith(route));
    UpstreamRecord other = upstreamAt("i-2", second.address());
    other.domain = FailureDomainName("d2");
    rig.setUpstreams({upstreamAt("i-1", first.address()), other});
    rig.loop().call([&] { rig.engine().setSlotExchange(&slots); });
    return {other.id, other.incarnation};
  }
  static std::string ask(const ScriptedUpstream& first, const ScriptedUpstream& second,
                         SlotVerdict verdict, int maxRuns, bool limited = true) {
    GatewayRig rig;
    SlowSlots slots(rig.loop(), verdict);
    const UpstreamIncarnation other = prepare(rig, slots, first, second, maxRuns);
    if (limited) {
      rig.loop().call([&] {
        rig.engine().upstreamTable().noteRejectionLimit(other, 5.0,
                                                        std::chrono::steady_clock::now());
      });
    }
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    std::string answer = caller.readAll(kTimeLimit);
    rig.loop().call([&] { rig.engine().setSlotExchange(nullptr); });
    CPPUNIT_ASSERT_EQUAL(0, slots.held());
    CPPUNIT_ASSERT(!limited || slots.asked() > 1);
    return answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateChoiceTest);

}  // namespace
