// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/ObjectFollower.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
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

/// A store whose watches end at once: without changes, for a gap in its history, or cut.
class ImpatientSource final : public ObjectSource {
 public:
  explicit ImpatientSource(absl::Status end) : end_(std::move(end)) {}
  absl::StatusOr<SourceBatch> list(ReadConsistency) override {
    ++calls;
    return SourceBatch{{}, 1};
  }
  absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis) override {
    ++calls;
    if (!end_.ok()) return end_;
    return SourceBatch{{}, revision};
  }

  std::atomic<int> calls{0};

 private:
  absl::Status end_;
};

/// A store with one object, whose calls throw at first.
class ThrowingSource final : public ObjectSource {
 public:
  explicit ThrowingSource(int failures) : failures_(failures) {}
  absl::StatusOr<SourceBatch> list(ReadConsistency) override {
    if (++lists <= failures_) throw Poco::RangeException("Value too large");
    return SourceBatch{{{"thing", 1, nullptr, false}}, 1};
  }
  absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis) override {
    std::this_thread::sleep_for(Millis(5));
    return SourceBatch{{{"other", revision + 1, nullptr, false}}, revision + 1};
  }

  std::atomic<int> lists{0};

 private:
  int failures_;
};

class ObjectFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectFollowerTest);
  CPPUNIT_TEST(aFollowerThatRestsMakesNoCalls);
  CPPUNIT_TEST(aFollowerGathersChanges);
  CPPUNIT_TEST(aFollowerBeginsWithAnOldList);
  CPPUNIT_TEST(watchesThatEndAtOnceAreNotRepeatedAtOnce);
  CPPUNIT_TEST(aCallThatThrowsIsFollowedByAList);
  CPPUNIT_TEST(aChangeThatThrowsIsNotLost);
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

  /// Thousands of calls a second of each daemon: the store's rate for the whole fleet was used up.
  void watchesThatEndAtOnceAreNotRepeatedAtOnce() {
    for (const absl::Status& end :
         {absl::OkStatus(), absl::OutOfRangeError("gap"), absl::UnavailableError("cut")}) {
      ImpatientSource source(end);
      ObjectFollower follower("things", source, {Millis(1'000)},
                              {[](const ObjectFollower::Objects&, std::uint64_t) {}, [] {}});
      follower.start();
      std::this_thread::sleep_for(Millis(1'000));
      follower.stop();
      CPPUNIT_ASSERT_MESSAGE(end.ToString() + ": " + std::to_string(source.calls),
                             source.calls <= 16);
    }
  }

  /// An exception ended the whole process.
  void aCallThatThrowsIsFollowedByAList() {
    ThrowingSource source(2);
    std::atomic<int> changes{0};
    std::atomic<int> internal{0};
    ObjectFollower follower(
        "things", source, {Millis(1)},
        {[&](const ObjectFollower::Objects&, std::uint64_t) { ++changes; }, [] {},
         [&](const absl::Status& status) {
           if (status == absl::InternalError("Out of range: Value too large")) ++internal;
         }});
    follower.start();
    CPPUNIT_ASSERT(holdsSoon([&] { return changes >= 1 && follower.inContact(); }));
    follower.stop();
    // Two that threw, the initial one.
    CPPUNIT_ASSERT_EQUAL(3, source.lists.load());
    CPPUNIT_ASSERT_EQUAL(2, internal.load());
  }

  /// What a watch brought is not repeated by the next one.
  void aChangeThatThrowsIsNotLost() {
    ThrowingSource source(0);
    std::atomic<int> calls{0};
    std::atomic<bool> contactDuringFailure{false};
    std::atomic<std::size_t> objects{0};
    std::atomic<int> failed{0};
    std::unique_ptr<ObjectFollower> follower;
    follower = std::make_unique<ObjectFollower>(
        "things", source, FollowTiming{Millis(1)},
        ObjectFollower::Callbacks{[&](const ObjectFollower::Objects& all, std::uint64_t) {
                                    // The second call is the first watch's.
                                    if (++calls == 2) throw std::runtime_error("no memory");
                                    objects = all.size();
                                  },
                                  [] {},
                                  [&](const absl::Status&) {
                                    ++failed;
                                    contactDuringFailure = follower->inContact();
                                  }});
    follower->start();
    CPPUNIT_ASSERT(holdsSoon([&] { return objects == 2; }));
    follower->stop();
    CPPUNIT_ASSERT_EQUAL(1, failed.load());
    CPPUNIT_ASSERT(!contactDuringFailure);
    // The initial one, and the one after the exception.
    CPPUNIT_ASSERT_EQUAL(2, source.lists.load());
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

 private:
  static bool holdsSoon(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > limit) return false;
      std::this_thread::sleep_for(Millis(1));
    }
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectFollowerTest);

}  // namespace
