// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <thread>
#include <vector>

#include "Hallchute/Net"
#include "Hallchute/src/Node/OriginLink.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;

const ServiceName kService("s");
const StreamOrigin kOrigin{StreamKey{7}, kService, SoftwareVersion("v1")};

/// A daemon's part in exchanging origins; one loop stands for both of its threads.
class Peer {
 public:
  explicit Peer(StreamOriginReply reply = {}, Millis delay = Millis(0))
      : reply_(std::move(reply)),
        delay_(delay),
        address_(unusedAddress()),
        transport_(loop_, address_, "secret"),
        link_(loop_, loop_, transport_,
              {[this](StreamKey) { return others; }, [this](StreamKey) { return others; },
               [this](std::span<const StreamOrigin> told) { told_.set_value(told[0]); },
               [this](StreamKey, const ServiceName&, const OriginLink::PeerReplySink& onReply) {
                 std::this_thread::sleep_for(delay_);
                 onReply(reply_);
               }}),
        thread_([this] { loop_.run(); }) {}
  ~Peer() {
    loop_.stop();
    thread_.join();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  FleetMember member() const { return {DaemonId(address_), address_, 1}; }
  StreamOriginReply ask() {
    std::promise<StreamOriginReply> answer;
    loop_.call([&] {
      link_.ask(kOrigin.stream, kService, [&](const auto& reply) { answer.set_value(reply); });
    });
    return answer.get_future().get();
  }
  void tell() {
    loop_.call([&] { link_.tell({kOrigin}); });
  }
  StreamOrigin told() { return told_.get_future().get(); }

  std::vector<FleetMember> others;

 private:
  StreamOriginReply reply_;
  Millis delay_;
  std::promise<StreamOrigin> told_;
  std::string address_;
  EventLoop loop_;
  PeerTransport transport_;
  OriginLink link_;
  std::thread thread_;
};

class OriginLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OriginLinkTest);
  CPPUNIT_TEST(waitsForTheOneThatKnows);
  CPPUNIT_TEST(tellsTheHolders);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Others reply sooner that they know nothing, or are gone.
  void waitsForTheOneThatKnows() {
    Peer nothing;
    Peer readNothing({OriginBasis::none, true, {}});
    Peer knows({OriginBasis::soleVersion, true, kOrigin}, Millis(100));
    const FleetMember gone{DaemonId("gone"), unusedAddress(), 1};
    Peer asker;
    CPPUNIT_ASSERT(asker.ask().basis == OriginBasis::none);
    asker.others = {nothing.member(), gone};
    CPPUNIT_ASSERT(!asker.ask().archiveRead);
    asker.others = {nothing.member(), readNothing.member(), gone};
    CPPUNIT_ASSERT(asker.ask().archiveRead);
    asker.others.push_back(knows.member());
    const StreamOriginReply reply = asker.ask();
    CPPUNIT_ASSERT(reply.basis == OriginBasis::soleVersion && reply.origin == kOrigin);
  }

  void tellsTheHolders() {
    Peer holder;
    Peer teller;
    teller.others = {holder.member()};
    teller.tell();
    CPPUNIT_ASSERT(holder.told() == kOrigin);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OriginLinkTest);

}  // namespace
