// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>
#include <string>
#include <thread>

#include "Hallchute/Gateway"
#include "Hallchute/Net"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Node/SlotLink.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;

const SlotRequest kOneSlot{{UpstreamId("u")}, 1, 1};

/// A daemon's part in taking slots; one loop stands for both of its threads.
class Peer {
 public:
  Peer()
      : address_(unusedAddress()),
        transport_(loop_, address_, "secret"),
        link_(loop_, loop_, transport_, [this](const UpstreamId&) { return coordinator; }),
        thread_([this] { loop_.run(); }) {
    loop_.call([this] { link_.setFleet(1, DaemonId(address_), clockNow()); });
  }
  ~Peer() {
    loop_.stop();
    thread_.join();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  FleetMember member() const { return {DaemonId(address_), address_, 1}; }
  SlotReply acquire() {
    std::promise<SlotReply> reply;
    loop_.call([&] { link_.acquire(kOneSlot, [&](const SlotReply& r) { reply.set_value(r); }); });
    return reply.get_future().get();
  }
  SlotVerdict verdict() { return acquire().decision.verdict; }
  /// The verdict once it is another one than `full`, or after some time.
  SlotVerdict verdictOnceFree() {
    SlotVerdict last = SlotVerdict::full;
    for (int i = 0; i < 100 && last == SlotVerdict::full; ++i) {
      std::this_thread::sleep_for(Millis(10));
      last = verdict();
    }
    return last;
  }
  void disconnect(const Peer& other) {
    loop_.call([&] { transport_.disconnect(other.address_); });
  }
  void occupy(Millis time) {
    loop_.post([time] { std::this_thread::sleep_for(time); });
  }

  /// Nothing if it is this one.
  std::optional<FleetMember> coordinator;

 private:
  std::string address_;
  EventLoop loop_;
  PeerTransport transport_;
  SlotLink link_;
  std::thread thread_;
};

class SlotLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotLinkTest);
  CPPUNIT_TEST(aSlotIsHeldByOneDaemonAtATime);
  CPPUNIT_TEST(aSlotIsFreeOnceItsHoldersConnectionEnds);
  CPPUNIT_TEST(coordinatorsThatDoNotDecideRefuse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aSlotIsHeldByOneDaemonAtATime() {
    Peer coordinator;
    Peer other;
    other.coordinator = coordinator.member();
    SlotReply held = other.acquire();
    CPPUNIT_ASSERT(held.decision.granted());
    CPPUNIT_ASSERT(coordinator.verdict() == SlotVerdict::full);
    held.slot->release(SlotOutcome::answered);
    CPPUNIT_ASSERT(coordinator.verdictOnceFree() == SlotVerdict::granted);
    held = coordinator.acquire();
    CPPUNIT_ASSERT(held.decision.granted());
    CPPUNIT_ASSERT(other.verdict() == SlotVerdict::full);
    held.slot->release(SlotOutcome::rejected);
    CPPUNIT_ASSERT(other.verdictOnceFree() == SlotVerdict::rejecting);
  }

  void aSlotIsFreeOnceItsHoldersConnectionEnds() {
    Peer coordinator;
    Peer holder;
    holder.coordinator = coordinator.member();
    const SlotReply held = holder.acquire();
    CPPUNIT_ASSERT(held.decision.granted());
    CPPUNIT_ASSERT(coordinator.verdict() == SlotVerdict::full);
    holder.disconnect(coordinator);
    CPPUNIT_ASSERT(coordinator.verdictOnceFree() == SlotVerdict::gaining);
  }

  void coordinatorsThatDoNotDecideRefuse() {
    Peer asker;
    asker.coordinator = FleetMember{DaemonId("gone"), unusedAddress(), 1};
    CPPUNIT_ASSERT(asker.verdict() == SlotVerdict::unreachable);
    Peer elsewhere;
    elsewhere.coordinator = asker.coordinator;
    asker.coordinator = elsewhere.member();
    CPPUNIT_ASSERT(asker.verdict() == SlotVerdict::notCoordinator);
    Peer busy;
    asker.coordinator = busy.member();
    busy.occupy(Millis(1'000));
    const Instant begin = clockNow();
    CPPUNIT_ASSERT(asker.verdict() == SlotVerdict::unreachable);
    CPPUNIT_ASSERT(asker.verdict() == SlotVerdict::unreachable);
    CPPUNIT_ASSERT(clockNow() - begin < Millis(600));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotLinkTest);

}  // namespace
