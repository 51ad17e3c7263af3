// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

#include "Hallchute/Routing"

namespace {

using namespace Hallchute;

std::vector<DaemonId> daemons(int count) {
  std::vector<DaemonId> made;
  made.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) made.emplace_back("d" + std::to_string(i));
  return made;
}

std::string words(int from, int count) {
  std::string text;
  for (int i = from; i < from + count; ++i) text += "w" + std::to_string(i) + " ";
  return text;
}

class RoutingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutingTest);
  CPPUNIT_TEST(keysMoveOnlyWithTheirOwner);
  CPPUNIT_TEST(addedShardMovesOnlyItsOwnUpstreams);
  CPPUNIT_TEST(shardOrderContainsEachShardOnce);
  CPPUNIT_TEST(prefixBlocksMatchSharedPrefixes);
  CPPUNIT_TEST(prefixIndexEvictsTheLeastRecentlyUsed);
  CPPUNIT_TEST(policiesChooseByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keysMoveOnlyWithTheirOwner() {
    const auto six = daemons(6);
    auto five = six;
    five.erase(five.begin() + 2);
    std::map<DaemonId, int> owned;
    for (int key = 0; key < 600; ++key) {
      const std::string name = "shard" + std::to_string(key);
      const DaemonId before = rankOwners(name, six).front();
      const DaemonId after = rankOwners(name, five).front();
      ++owned[before];
      if (before != six[2]) CPPUNIT_ASSERT(before == after);
    }
    for (const auto& [daemon, count] : owned) CPPUNIT_ASSERT(count > 60 && count < 140);
    CPPUNIT_ASSERT(rankOwners("x", {}).empty());
  }

  void addedShardMovesOnlyItsOwnUpstreams() {
    struct Case {
      std::size_t upstreams;
      std::uint32_t shards;
    };
    for (const Case& c : {Case{0, 1}, Case{1, 1}, Case{16, 1}, Case{17, 2}, Case{800, 50}}) {
      CPPUNIT_ASSERT_EQUAL(c.shards, shardCount(c.upstreams));
    }
    for (int i = 0; i < 300; ++i) {
      const UpstreamId upstream("u" + std::to_string(i));
      const auto before = shardOf(upstream, 4);
      const auto after = shardOf(upstream, 5);
      CPPUNIT_ASSERT(after == before || after == 4);
    }
  }

  void shardOrderContainsEachShardOnce() {
    const auto order = shardOrder(99, 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t(7),
                         std::set<std::uint32_t>(order.begin(), order.end()).size());
    CPPUNIT_ASSERT(order == shardOrder(99, 7));
  }

  void prefixBlocksMatchSharedPrefixes() {
    struct Case {
      int shared;
      int distinct;
      std::size_t sharedBlocks;
    };
    for (const Case& c : {Case{0, 64, 0}, Case{31, 64, 0}, Case{32, 64, 1}, Case{100, 10, 3}}) {
      const auto a = prefixBlocks(words(0, c.shared) + words(1'000, c.distinct));
      const auto b = prefixBlocks(words(0, c.shared) + words(9'000, c.distinct));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(c.shared + c.distinct), a.tokens);
      std::size_t same = 0;
      while (same < a.hashes.size() && a.hashes[same] == b.hashes[same]) ++same;
      CPPUNIT_ASSERT_EQUAL(c.sharedBlocks, same);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), prefixBlocks("").tokens);
    CPPUNIT_ASSERT_EQUAL(PrefixBlocks::kMaxBlocks, prefixBlocks(words(0, 20'000)).hashes.size());
  }

  void prefixIndexEvictsTheLeastRecentlyUsed() {
    PrefixIndex index(4 * PrefixBlocks::kTokensPerBlock);
    index.recordUse(std::vector<std::uint64_t>{1, 2});
    index.recordUse(std::vector<std::uint64_t>{3, 4});
    index.recordUse(std::vector<std::uint64_t>{1, 5});
    // Blocks 1, 5, 3 and 4 remain: block 2 was the least recently used, as the last blocks of a
    // prompt are evicted before its first ones.
    CPPUNIT_ASSERT_EQUAL(std::size_t(32), index.cachedTokens(std::vector<std::uint64_t>{1, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(64), index.cachedTokens(std::vector<std::uint64_t>{3, 4}));
    index.evict(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), index.cachedTokens(std::vector<std::uint64_t>{3, 4}));
    index.setCapacity(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), index.blockCount());
  }

  void policiesChooseByTable() {
    // Slot 0 has cached the prefix, slot 2 is idle.
    const auto candidates = [](std::size_t busy) {
      return std::vector<Candidate>{
          {0, 10, busy, 0, 640, 0, {}}, {1, 11, 3, 0, 0, 640, {}}, {2, 12, 0, 0, 0, 640, {}}};
    };
    struct Case {
      RoutingPolicy policy;
      std::size_t busy;
      std::size_t chosen;
    };
    const Case cases[] = {
        {PrefixAffinity{}, 1, 0}, {PrefixAffinity{1}, 9, 2}, {PrefixAffinity{}, 9, 2},
        {LeastInFlight{}, 1, 2},  {RoundRobin{1}, 1, 1},     {RoundRobin{3}, 1, 0},
    };
    for (const Case& c : cases) {
      RoutingPolicy policy = c.policy;
      const double mean = static_cast<double>(c.busy + 3) / 3;
      const auto slot = chooseUpstream(policy, {7, 640, mean}, candidates(c.busy));
      CPPUNIT_ASSERT(slot && *slot == c.chosen);
    }
    RoutingPolicy session = SessionHash{};
    const auto once = chooseUpstream(session, {7, 0, 0}, candidates(0));
    CPPUNIT_ASSERT(once == chooseUpstream(session, {7, 0, 0}, candidates(9)));
    CPPUNIT_ASSERT(!chooseUpstream(session, {7, 0, 0}, {}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);

}  // namespace
