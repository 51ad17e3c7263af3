// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;

/// Guards against requests that are lost, kept or dispatched wrongly once they wait for admission.
class AdmissionGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionGateTest);
  CPPUNIT_TEST(aHeldRequestIsServedOnceUpstreamsHaveRoom);
  CPPUNIT_TEST(aCallerThatLeavesNoLongerWaits);
  CPPUNIT_TEST(aStopRefusesWhatWaits);
  CPPUNIT_TEST(withoutTheSwitchNothingWaits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void aHeldRequestIsServedOnceUpstreamsHaveRoom() {
    Held held({true});
    held.awaitWaiting(1);
    CPPUNIT_ASSERT(held.upstream.requests().empty());
    held.setPeerRequests(0);
    CPPUNIT_ASSERT(held.caller.read("ok").find("200 OK") != std::string::npos);
    held.awaitWaiting(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, held.rig.metrics().counter("hallchute_admission_total",
                                                                      "decision=\"released\""));
  }

  void aCallerThatLeavesNoLongerWaits() {
    Held held({true});
    held.awaitWaiting(1);
    held.caller.close();
    held.awaitWaiting(0);
    CPPUNIT_ASSERT(held.upstream.requests().empty());
  }

  void aStopRefusesWhatWaits() {
    Held held({true});
    held.awaitWaiting(1);
    held.rig.loop().post([&] { held.rig.engine().refuseWaitingRequests(); });
    const std::string refusal = held.caller.read("\r\n\r\n");
    CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(refusal.find("Retry-After: 0.010\r\n") != std::string::npos);
    held.awaitWaiting(0);
  }

  void withoutTheSwitchNothingWaits() {
    Held held({false});
    CPPUNIT_ASSERT(held.caller.read("ok").find("200 OK") != std::string::npos);
  }

 private:
  /// A caller's request, while peers have sent the only upstream more than its slots and queue
  /// hold.
  struct Held {
    explicit Held(const AdmissionLimits& limits) : rig({0.2, 1e6, Millis(10'000)}, {}, limits) {
      rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
      rig.setUpstreams({upstreamAt("u", upstream.address())});
      setPeerRequests(1'000);
      caller.send(requestText("GET"));
    }

    void setPeerRequests(std::uint32_t requests) {
      onLoop([this, requests] {
        UpstreamLoads loads;
        if (requests > 0) loads[UpstreamId("u")].requests = requests;
        rig.engine().upstreamTable().setPeerLoads(loads, std::chrono::steady_clock::now());
        return 0;
      });
    }

    void awaitWaiting(std::size_t count) {
      const auto waiting = [this] {
        return rig.engine().admission().queue().waiting(ServiceName("s"));
      };
      for (int i = 0; i < 500 && onLoop(waiting) != count; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      CPPUNIT_ASSERT_EQUAL(count, onLoop(waiting));
    }

    template <typename Call>
    auto onLoop(Call call) -> decltype(call()) {
      std::promise<decltype(call())> done;
      rig.loop().post([&] { done.set_value(call()); });
      return done.get_future().get();
    }

    ScriptedUpstream upstream{{{kPlainAnswer}}};
    GatewayRig rig;
    RawCaller caller{rig.address()};
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionGateTest);

}  // namespace
