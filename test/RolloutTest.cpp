// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <string>

#include "RolloutReplay.h"

namespace {

using namespace Hallchute;

constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr int kRollbackMs = 5'000;
/// Before a successor may act, the lost holder's lease (3 s) and its margin (1 s) pass; it reads
/// and writes the record (two polls of 250 ms) and writes the status.
constexpr int kSuccessionMs = 3'000 + 1'000 + 2 * 250 + 500;
constexpr int kFleets[] = {7, 77, 295};

/// A run of the largest fleet takes about ten times the processor time of the next one.
constexpr int kLargeFleet = 295;

struct FaultCase {
  const char* name;
  ReplayedFault fault;
  bool inLargeFleet = false;
};

const FaultCase kFaults[] = {
    {"fails from the start", {0.3, false, 0, {}, 0}},
    {"all answers fail", {1, false, 0, {}, 0}, true},
    {"slow from the start", {0.5, true, 0, {}, 0}},
    {"fails later", {0.3, false, 6'000, {}, 0}},
    {"slow later", {1, true, 6'000, {}, 0}},
    {"fails once it gets more", {0.3, false, 8'600, {}, 0}, true},
    {"fails on one route", {0.3, false, 0, 1, 0}},
    {"slow on one route", {1, true, 0, 1, 0}},
    {"fails under load", {0.4, false, 0, {}, 30}},
};

struct FailureCase {
  const char* name;
  ReplayedFault fault;
  ReplayedEvents events;
  RolloutState state;
};

constexpr double kBad = 0.3;
const ReplayedFault kGood{};
const ReplayedFault kFails{kBad, false, 0, {}, 0};
const ReplayedFault kFailsLate{kBad, false, 7'000, {}, 0};
constexpr RolloutState kDone = RolloutState::done;
constexpr RolloutState kRolledBack = RolloutState::rolledBack;

const FailureCase kFailures[] = {
    {"store away at the canary", kGood, {2'000, 5'000}, kDone},
    {"store away at the ramp", kGood, {7'500, 9'500}, kDone},
    {"store away at the drain", kGood, {10'000, 12'000}, kDone},
    {"store away when it fails", kFails, {2'000, 9'000}, kRolledBack},
    {"answer to done lost", kGood, {-1, -1, -1, -1, -1, true}, kDone},
    {"answer to rolled back lost", kFails, {-1, -1, -1, -1, -1, true}, kRolledBack},
    {"holder lost before the canary", kGood, {-1, -1, 500}, kDone},
    {"holder lost at the canary", kGood, {-1, -1, 4'000}, kDone},
    {"holder lost after a rollback", kFailsLate, {-1, -1, 9'000}, kRolledBack},
    {"two holders", kGood, {-1, -1, 4'000, -1, -1, false, true}, kDone},
    {"two holders, bad", kFailsLate, {-1, -1, 2'000, -1, -1, false, true}, kRolledBack},
};

const FailureCase kLateLosses[] = {
    {"holder lost at the ramp", kGood, {-1, -1, 8'200}, kDone},
    {"holder lost at the drain", kGood, {-1, -1, 10'400}, kDone},
    {"holder lost before done", kGood, {-1, -1, 11'600}, kDone},
};

class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(aGoodVersionIsDoneInTime);
  CPPUNIT_TEST(aBadVersionIsRolledBackWithinItsLimits);
  CPPUNIT_TEST(failuresOfStoreAndHolder);
  CPPUNIT_TEST(aHolderLostLateIsSucceededInTime);
  CPPUNIT_TEST(aHolderLostLateBreaksNothingOff);
  CPPUNIT_TEST(aWithdrawnVersionGetsNoMoreRequests);
  CPPUNIT_TEST_SUITE_END();

  static std::string describe(const std::string& name, int daemons, const RolloutReplay& replay) {
    return name + ", " + std::to_string(daemons) + " daemons: state after " +
           std::to_string(replay.stateMs()) + " ms, " + std::to_string(replay.exposed()) + " of " +
           std::to_string(replay.requests()) + " exposed, 50th bad at " +
           std::to_string(replay.fiftiethBadMs()) + ", last sent at " +
           std::to_string(replay.lastSentMs()) + ", broken off " +
           std::to_string(replay.brokenOff()) + ", refused " + std::to_string(replay.refused());
  }

  static void assertBounds(const std::string& text, const RolloutReplay& replay) {
    const double allowed = kExposeShare * static_cast<double>(replay.requests()) + kExposeSlack;
    CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(replay.exposed()) <= allowed);
    const bool counted = replay.fiftiethBadMs() >= 0;
    CPPUNIT_ASSERT_MESSAGE(text,
                           !counted || replay.lastSentMs() <= replay.fiftiethBadMs() + kRollbackMs);
  }

  static void assertState(const std::string& text, const RolloutReplay& replay,
                          RolloutState state) {
    CPPUNIT_ASSERT_MESSAGE(text, replay.state() == state);
    CPPUNIT_ASSERT_MESSAGE(text, replay.stateMs() <= RolloutReplay::kDurationMs);
  }

  static void assertNothingLost(const std::string& text, const RolloutReplay& replay) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, replay.brokenOff());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, replay.refused());
  }

  // Guards against rollouts that end late, or while requests are in flight at the old version.
  void aGoodVersionIsDoneInTime() {
    for (const int daemons : kFleets) {
      RolloutReplay replay(daemons, kGood, {});
      replay.run();
      const std::string text = describe("good", daemons, replay);
      std::cout << text << "\n";
      assertState(text, replay, kDone);
      assertNothingLost(text, replay);
    }
  }

  // Guards against faults that are found too late, or only while most requests are exposed.
  void aBadVersionIsRolledBackWithinItsLimits() {
    for (const int daemons : kFleets) {
      for (const FaultCase& c : kFaults) {
        if (daemons == kLargeFleet && !c.inLargeFleet) continue;
        RolloutReplay replay(daemons, c.fault, {});
        replay.run();
        const std::string text = describe(c.name, daemons, replay);
        std::cout << text << "\n";
        assertState(text, replay, kRolledBack);
        assertNothingLost(text, replay);
        assertBounds(text, replay);
      }
    }
  }

  // Guards against a lost store, answer or holder that stops a rollout or exposes more requests.
  void failuresOfStoreAndHolder() {
    for (const FailureCase& c : kFailures) {
      RolloutReplay replay(77, c.fault, c.events);
      replay.run();
      const std::string text = describe(c.name, 77, replay);
      std::cout << text << "\n";
      assertState(text, replay, c.state);
      assertNothingLost(text, replay);
      if (c.state == kRolledBack) assertBounds(text, replay);
    }
  }

  // Guards against a successor that has too little time left and ends the rollout late.
  void aHolderLostLateIsSucceededInTime() {
    for (const FailureCase& c : kLateLosses) {
      RolloutReplay replay(77, c.fault, c.events);
      replay.run();
      const std::string text = describe(c.name, 77, replay);
      std::cout << text << "\n";
      CPPUNIT_ASSERT_MESSAGE(text, replay.state() == c.state);
      const int succeeded = c.events.holderKilledAt + kSuccessionMs;
      CPPUNIT_ASSERT_MESSAGE(text,
                             replay.stateMs() <= std::max(RolloutReplay::kDurationMs, succeeded));
    }
  }

  // Guards against requests in flight at the old version when a successor ends the rollout.
  void aHolderLostLateBreaksNothingOff() {
    for (const FailureCase& c : kLateLosses) {
      RolloutReplay replay(77, c.fault, c.events);
      replay.run();
      assertNothingLost(describe(c.name, 77, replay), replay);
    }
  }

  // Guards against a version that goes on getting requests after its order was deleted or replaced.
  void aWithdrawnVersionGetsNoMoreRequests() {
    ReplayedEvents deleted;
    deleted.deletedAt = 5'000;
    ReplayedEvents retargeted;
    retargeted.retargetedAt = 5'000;
    for (const ReplayedEvents& events : {deleted, retargeted}) {
      RolloutReplay replay(77, kGood, events);
      replay.run();
      const std::string text = describe("withdrawn", 77, replay);
      CPPUNIT_ASSERT_MESSAGE(text, replay.lastSentMs() <= 5'000 + kRollbackMs);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, replay.refused());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace
