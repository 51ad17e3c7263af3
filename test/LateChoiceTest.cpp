// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

constexpr Millis kTimeLimit{12'000};
/// Longer than a stream may be silent; an upstream that ends then does so while a replacement is
/// chosen.
constexpr Millis kSilence{1'400};
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kEnd = "0\r\n\r\n";

std::string event(int id) {
  return "f\r\nid: " + std::to_string(id) + "\ndata: a\n\n\r\n";
}

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
  CPPUNIT_TEST(noUpstreamWorksLongBesideTheOneThatGoesOn);
  CPPUNIT_TEST(anUpstreamThatRejectedWhileAnotherWasSilentTakesItsPlaceLater);
  CPPUNIT_TEST(aCancelledReplacementTakesItsPlaceLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The upstream at work ends while a replacement is being chosen, and no slot is free.
  void aRequestEndsOnceNothingIsAtWork() {
    ScriptedUpstream first({{kStreamHead + event(1), Then::close, kSilence}});
    ScriptedUpstream second({{kStreamHead + event(2) + kEnd}});
    const auto start = std::chrono::steady_clock::now();
    const std::string answer = ask(first, second, SlotVerdict::full, 3);
    const auto took = std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.requests().size());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms, " + answer, took < Millis(5'000));
  }

  /// Two runs are allowed, and the second begins only after the first has ended.
  void aChoiceThatIsVoidIsNoRun() {
    ScriptedUpstream first({{kStreamHead + event(1), Then::close, kSilence, event(2)}});
    ScriptedUpstream second({{kStreamHead + event(3) + kEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 2);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(event(1) + event(2) + event(3) + kEnd));
  }

  void anUpstreamThatRejectedWhileAnotherWasSilentTakesItsPlaceLater() {
    ScriptedUpstream first({{kStreamHead + event(1), Then::close, kSilence, event(2)}});
    ScriptedUpstream second(
        {{"HTTP/1.1 503 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Not-Executed: 1\r\n"
          "Content-Length: 0\r\n\r\n"},
         {kStreamHead + event(3) + kEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 3, false);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(event(1) + event(2) + event(3) + kEnd));
  }

  void aCancelledReplacementTakesItsPlaceLater() {
    ScriptedUpstream first({{kStreamHead + event(1), Then::close, kSilence, event(2)}});
    ScriptedUpstream second({{"", Then::hang, kTimeLimit}, {kStreamHead + event(3) + kEnd}});
    const std::string answer = ask(first, second, SlotVerdict::granted, 3, false);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with(event(1) + event(2) + event(3) + kEnd));
  }

  /// The replacement needs a while to its first event, as one that reads a long prompt.
  void noUpstreamWorksLongBesideTheOneThatGoesOn() {
    ScriptedUpstream first({{kStreamHead + event(1), Then::hang, kTimeLimit}});
    ScriptedUpstream second({{"", Then::keep, Millis(900), kStreamHead + event(2) + kEnd}});
    std::future<std::string> answer = std::async(
        std::launch::async, [&] { return ask(first, second, SlotVerdict::granted, 3, false); });
    const auto until = [](const auto& condition) {
      for (int turn = 0; turn < 2'000 && !condition(); ++turn)
        std::this_thread::sleep_for(Millis(2));
      return std::chrono::steady_clock::now();
    };
    const auto arrived = until([&] { return !second.requests().empty(); });
    const auto cancelled = until([&] { return first.cancelled() > 0; });
    answer.get();
    const auto beside = std::chrono::duration_cast<Millis>(cancelled - arrived);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(beside.count()) + " ms", beside <= Millis(400));
  }

 private:
  static std::string ask(const ScriptedUpstream& first, const ScriptedUpstream& second,
                         SlotVerdict verdict, int maxRuns, bool limited = true) {
    GatewayRig rig;
    SlowSlots slots(rig.loop(), verdict);
    Route route = plainRoute(WorkKind::stream);
    route.resumable = true;
    route.maxRuns = maxRuns;
    route.timeLimit = kTimeLimit;
    rig.setSettings(settingsWith(route));
    UpstreamRecord other = upstreamAt("i-2", second.address());
    other.domain = FailureDomainName("d2");
    rig.setUpstreams({upstreamAt("i-1", first.address()), other});
    rig.loop().call([&] {
      rig.engine().setSlotExchange(&slots);
      if (!limited) return;
      rig.engine().upstreamTable().noteRejectionLimit({other.id, other.incarnation}, 5.0,
                                                      std::chrono::steady_clock::now());
    });
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    const std::string answer = caller.readAll(kTimeLimit);
    rig.loop().call([&] { rig.engine().setSlotExchange(nullptr); });
    CPPUNIT_ASSERT_EQUAL(0, slots.held());
    CPPUNIT_ASSERT(!limited || slots.asked() > 1);
    return answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateChoiceTest);

}  // namespace
