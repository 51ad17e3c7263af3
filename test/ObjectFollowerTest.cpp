// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ObjectFollower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace {

using namespace Hallchute;

/// A store without changes that counts the calls.
class CountedSource final : public ObjectSource {
 public:
  absl::StatusOr<SourceBatch> list(ReadConsistency consistency) override {
    ++lists;
    if (consistency == ReadConsistency::possiblyStale) ++oldLists;
    return SourceBatch{{}, 1};
  }
  absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis wait) override {
    ++watches;
    std::this_thread::sleep_for(wait);
    return SourceBatch{{}, revision};
  }

  std::atomic<int> lists{0};
  std::atomic<int> oldLists{0};
  std::atomic<int> watches{0};
};

/// A store in which something changes all the time.
class BusySource final : public ObjectSource {
 public:
  absl::StatusOr<SourceBatch> list(ReadConsistency) override { return SourceBatch{{}, 1}; }
  absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis) override {
    ++watches;
    return SourceBatch{{{"thing", revision + 1, nullptr, false}}, revision + 1};
  }

  std::atomic<int> watches{0};
};

class ObjectFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectFollowerTest);
  CPPUNIT_TEST(aFollowerThatRestsMakesNoCalls);
  CPPUNIT_TEST(aFollowerGathersChanges);
  CPPUNIT_TEST(aFollowerBeginsWithAnOldList);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Upstreams come and go in waves: not each of them is a call.
  void aFollowerGathersChanges() {
    BusySource source;
    std::atomic<std::uint64_t> seen{0};
    ObjectFollower follower(
        "things", source, {Millis(1'000), Millis(50)},
        {[&](const ObjectFollower::Objects&, std::uint64_t asOf) { seen = asOf; }, [] {}});
    const Instant began = std::chrono::steady_clock::now();
    follower.start();
    std::this_thread::sleep_for(Millis(400));
    follower.stop();
    const auto passed = std::chrono::steady_clock::now() - began;
    CPPUNIT_ASSERT(source.watches >= 1);
    CPPUNIT_ASSERT(source.watches <= passed / Millis(50) + 1);
    CPPUNIT_ASSERT(seen >= 1);
  }

  /// A fleet's daemons start together, and most of them go on without watching.
  void aFollowerBeginsWithAnOldList() {
    CountedSource source;
    ObjectFollower follower("things", source, {Millis(1), Millis(0), Millis(60'000)},
                            {[](const ObjectFollower::Objects&, std::uint64_t) {}, [] {}});
    follower.start();
    while (source.lists < 1) std::this_thread::yield();
    std::this_thread::sleep_for(Millis(50));
    // The list may lack recent additions, and doesn't prove that the store is available.
    CPPUNIT_ASSERT(!follower.inContact());
    follower.setMode(FollowMode::off);
    follower.stop();
    CPPUNIT_ASSERT_EQUAL(1, source.lists.load());
    CPPUNIT_ASSERT_EQUAL(1, source.oldLists.load());
    CPPUNIT_ASSERT_EQUAL(0, source.watches.load());
  }

  void aFollowerThatRestsMakesNoCalls() {
    CountedSource source;
    std::atomic<std::uint64_t> seen{0};
    ObjectFollower follower(
        "things", source, {Millis(1)},
        {[&](const ObjectFollower::Objects&, std::uint64_t asOf) { seen = asOf; }, [] {}});
    follower.start();
    while (source.watches < 3) std::this_thread::yield();
    CPPUNIT_ASSERT(follower.inContact());
    follower.setMode(FollowMode::off);
    CPPUNIT_ASSERT(!follower.inContact());
    // The call that was under way may still end, and one that was about to begin.
    const int rested = source.watches;
    std::this_thread::sleep_for(Millis(50));
    CPPUNIT_ASSERT(source.watches <= rested + 1);
    // After the rest it lists: what it knew may be older than the store's history.
    const int lists = source.lists;
    follower.setMode(FollowMode::following);
    while (source.lists == lists) std::this_thread::yield();
    follower.stop();
    CPPUNIT_ASSERT(seen >= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectFollowerTest);

}  // namespace
