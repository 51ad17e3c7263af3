// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

#include "Hallchute/Admission"

namespace {

using namespace Hallchute;

const Instant kStart{std::chrono::hours(1)};

std::vector<UpstreamId> upstreams(std::size_t count) {
  std::vector<UpstreamId> made;
  for (std::size_t i = 0; i < count; ++i) made.emplace_back("u" + std::to_string(i));
  return made;
}

GrantRequest wish(GrantId id, const char* organisation = "o", std::int64_t priority = 5) {
  GrantRequest made;
  made.id = id;
  made.organisation = OrganisationName(organisation);
  made.priority = priority;
  made.promptTokens = 10;
  made.expectedTokens = 10;
  made.deadline = kStart + Millis(5'000);
  return made;
}

template <typename T>
std::vector<GrantId> idsOf(const std::vector<GrantAction>& actions) {
  std::vector<GrantId> ids;
  for (const GrantAction& action : actions) {
    if (const auto* found = std::get_if<T>(&action)) ids.push_back(found->id);
  }
  return ids;
}

ShardOwner owner(std::size_t count, ShardPolicy policy = {}) {
  ShardOwner made(policy);
  made.setUpstreams(upstreams(count), kStart);
  return made;
}

RefusalReason reasonOf(const std::vector<GrantAction>& actions) {
  return std::get<GrantRefused>(actions.front()).refusal.reason;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(grantsWhileThereIsRoomThenQueues);
  CPPUNIT_TEST(refusalsAreImmediateAndSayWhenToComeBack);
  CPPUNIT_TEST(urgentWorkGoesFirstAndWaitingRaises);
  CPPUNIT_TEST(aFullQueueLetsTheLeastUrgentGo);
  CPPUNIT_TEST(sharesFollowWeights);
  CPPUNIT_TEST(aFloodDoesNotAgePastTheOthers);
  CPPUNIT_TEST(promptsLeftToComputeBoundGrants);
  CPPUNIT_TEST(limitsOfAnOrganisationHold);
  CPPUNIT_TEST(leavingUpstreamsGetNothingNew);
  CPPUNIT_TEST(failuresShunAnUpstreamForAWhile);
  CPPUNIT_TEST(resumptionsGoBeforeNewWorkAndPastLimits);
  CPPUNIT_TEST(avoidedUpstreamsAreTakenOnlyAtLast);
  CPPUNIT_TEST(heldGrantsCount);
  CPPUNIT_TEST(everyWishGetsOneFinalAction);
  CPPUNIT_TEST(theBucketPaysItsDebt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void grantsWhileThereIsRoomThenQueues() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 2;
    ShardOwner shard = owner(2, policy);
    for (GrantId id = 1; id <= 4; ++id) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           idsOf<Granted>(shard.requestGrant(wish(id), kStart)).size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(wish(5), kStart)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), shard.inFlightAt(UpstreamId("u0")));
    const auto freed = shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{5});
  }

  void refusalsAreImmediateAndSayWhenToComeBack() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 1;
    ShardOwner shard = owner(1, policy);
    shard.requestGrant(wish(1), kStart);
    shard.requestGrant(wish(2), kStart);
    struct Case {
      GrantRequest wanted;
      RefusalReason reason;
    };
    GrantRequest late = wish(4);
    late.deadline = kStart;
    const Case cases[] = {{wish(3), RefusalReason::overloaded}, {late, RefusalReason::overloaded}};
    for (const Case& c : cases) {
      const auto actions = shard.requestGrant(c.wanted, kStart);
      CPPUNIT_ASSERT(reasonOf(actions) == c.reason);
      const Refusal& refusal = std::get<GrantRefused>(actions.front()).refusal;
      CPPUNIT_ASSERT(refusal.retryAfter && *refusal.retryAfter >= Millis(100));
      CPPUNIT_ASSERT(refusal.outcome == RunOutcome::notRun);
    }
    const auto expired = shard.tick(kStart + Millis(5'000));
    CPPUNIT_ASSERT(idsOf<GrantRefused>(expired) == std::vector<GrantId>{2});
    ShardOwner empty = owner(0);
    CPPUNIT_ASSERT(reasonOf(empty.requestGrant(wish(9), kStart)) == RefusalReason::noUpstream);
  }

  void urgentWorkGoesFirstAndWaitingRaises() {
    struct Case {
      Millis patientWaits;
      GrantId first;
    };
    // Aging is a step a second: nine steps apart, nine seconds even out.
    for (const Case& c : {Case{Millis(0), 3}, Case{Millis(8'000), 3}, Case{Millis(9'500), 2}}) {
      ShardPolicy policy;
      policy.maxInFlightPerUpstream = 1;
      ShardOwner shard = owner(1, policy);
      shard.requestGrant(wish(1), kStart);
      GrantRequest patient = wish(2, "o", 0);
      patient.deadline = kStart + Millis(60'000);
      shard.requestGrant(patient, kStart);
      GrantRequest urgent = wish(3, "o", 9);
      urgent.deadline = kStart + Millis(60'000);
      shard.requestGrant(urgent, kStart + c.patientWaits);
      const auto freed = shard.release(1, GrantEnd::finished, kStart + c.patientWaits);
      CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{c.first});
    }
  }

  void aFullQueueLetsTheLeastUrgentGo() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 2;
    ShardOwner shard = owner(1, policy);
    shard.requestGrant(wish(1), kStart);
    shard.requestGrant(wish(2, "o", 1), kStart);
    shard.requestGrant(wish(3, "o", 5), kStart);
    const auto urgent = shard.requestGrant(wish(4, "o", 9), kStart);
    CPPUNIT_ASSERT(idsOf<GrantRefused>(urgent) == std::vector<GrantId>{2});
    CPPUNIT_ASSERT(idsOf<Queued>(urgent) == std::vector<GrantId>{4});
    const auto patient = shard.requestGrant(wish(5, "o", 1), kStart);
    CPPUNIT_ASSERT(idsOf<GrantRefused>(patient) == std::vector<GrantId>{5});
  }

  void sharesFollowWeights() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 1'000;
    ShardOwner shard = owner(1, policy);
    GrantId id = 1;
    shard.requestGrant(wish(id++), kStart);
    std::map<GrantId, std::string> senders;
    // A sends ten times as much as B, and B weighs three times as much.
    for (int i = 0; i < 200; ++i) {
      const bool isB = i % 11 == 0;
      GrantRequest wanted = wish(id, isB ? "B" : "A");
      wanted.weight = isB ? 3 : 1;
      wanted.deadline = kStart + Millis(600'000);
      senders[id] = isB ? "B" : "A";
      shard.requestGrant(wanted, kStart);
      ++id;
    }
    std::map<std::string, int> served;
    GrantId running = 1;
    for (int i = 0; i < 24; ++i) {
      running = idsOf<Granted>(shard.release(running, GrantEnd::finished, kStart)).front();
      ++served[senders[running]];
    }
    CPPUNIT_ASSERT_EQUAL(6, served["A"]);
    CPPUNIT_ASSERT_EQUAL(18, served["B"]);
  }

  void aFloodDoesNotAgePastTheOthers() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 50;
    ShardOwner shard = owner(1, policy);
    const auto big = [](GrantId id, const char* organisation) {
      GrantRequest wanted = wish(id, organisation);
      wanted.promptTokens = 30'000;
      wanted.deadline = kStart + Millis(600'000);
      return wanted;
    };
    shard.requestGrant(big(1, "flood"), kStart);
    for (GrantId id = 2; id <= 51; ++id) shard.requestGrant(big(id, "flood"), kStart);
    // Half a minute later the flood's wishes are old, and the queue is full of them.
    const Instant later = kStart + Millis(30'000);
    shard.release(1, GrantEnd::finished, later);
    shard.requestGrant(big(98, "flood"), later);
    const auto other = shard.requestGrant(big(99, "other"), later);
    CPPUNIT_ASSERT(idsOf<Queued>(other) == std::vector<GrantId>{99});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<GrantRefused>(other).size());
    const auto freed = shard.release(2, GrantEnd::finished, later);
    CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{99});
  }

  void promptsLeftToComputeBoundGrants() {
    ShardPolicy policy;
    policy.maxPrefillTokensPerUpstream = 100;
    ShardOwner shard = owner(1, policy);
    GrantRequest wanted = wish(1);
    wanted.promptTokens = 400;
    // One prompt over the limit is still granted, the next one waits for its first token.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Granted>(shard.requestGrant(wanted, kStart)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(wish(2), kStart)).size());
    CPPUNIT_ASSERT(idsOf<Granted>(shard.noteFirstToken(1, kStart)) == std::vector<GrantId>{2});
    shard.noteFirstToken(1, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(wish(3), kStart)).size());
  }

  void limitsOfAnOrganisationHold() {
    ShardPolicy policy;
    policy.organisationInFlight = 2;
    ShardOwner shard = owner(4, policy);
    shard.requestGrant(wish(1), kStart);
    shard.requestGrant(wish(2), kStart);
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(wish(3), kStart)) ==
                   RefusalReason::organisationLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(wish(4, "p"), kStart)).size());
    shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(wish(5), kStart)).size());
  }

  void leavingUpstreamsGetNothingNew() {
    ShardOwner shard = owner(2);
    shard.markDraining(UpstreamId("u0"), kStart);
    for (GrantId id = 1; id <= 6; ++id) {
      const auto actions = shard.requestGrant(wish(id), kStart);
      CPPUNIT_ASSERT(std::get<Granted>(actions.front()).upstream == UpstreamId("u1"));
    }
    // A list that names it again does not bring it back.
    shard.setUpstreams(upstreams(2), kStart);
    CPPUNIT_ASSERT(std::get<Granted>(shard.requestGrant(wish(7), kStart).front()).upstream ==
                   UpstreamId("u1"));
    const auto actions = shard.markDraining(UpstreamId("u1"), kStart);
    CPPUNIT_ASSERT(actions.empty());
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(wish(8), kStart)) == RefusalReason::noUpstream);
  }

  void failuresShunAnUpstreamForAWhile() {
    ShardOwner shard = owner(1);
    shard.requestGrant(wish(1), kStart);
    shard.release(1, GrantEnd::connectFailed, kStart);
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(wish(2), kStart + Millis(499))) ==
                   RefusalReason::noUpstream);
    const Instant later = kStart + Millis(500);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Granted>(shard.requestGrant(wish(3), later)).size());
    // Until it has proved itself, it gets one at a time.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(wish(4), later)).size());
    const auto freed = shard.release(3, GrantEnd::finished, later);
    CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{4});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Granted>(shard.requestGrant(wish(5), later)).size());
  }

  void resumptionsGoBeforeNewWorkAndPastLimits() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.organisationInFlight = 1;
    ShardOwner shard = owner(1, policy);
    shard.requestGrant(wish(1), kStart);
    shard.requestGrant(wish(2, "p", 9), kStart);
    GrantRequest resumed = wish(3, "o", 0);
    resumed.resumption = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(resumed, kStart)).size());
    const auto freed = shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{3});
  }

  void avoidedUpstreamsAreTakenOnlyAtLast() {
    ShardOwner shard = owner(2);
    GrantRequest wanted = wish(1);
    wanted.failedUpstreams = {UpstreamId("u0")};
    CPPUNIT_ASSERT(std::get<Granted>(shard.requestGrant(wanted, kStart).front()).upstream ==
                   UpstreamId("u1"));
    wanted.id = 2;
    wanted.failedUpstreams = upstreams(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Granted>(shard.requestGrant(wanted, kStart)).size());
  }

  void heldGrantsCount() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    ShardOwner shard = owner(1, policy);
    shard.hold({50, UpstreamId("u0"), OrganisationName("o"), 20});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(wish(1), kStart)).size());
    const auto freed = shard.release(50, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(freed) == std::vector<GrantId>{1});
    // One at an upstream that is not known here is counted and asks for nothing more.
    shard.hold({51, UpstreamId("gone"), OrganisationName("o"), 20});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), shard.inFlightAt(UpstreamId("gone")));
    shard.release(51, GrantEnd::finished, kStart);
  }

  void everyWishGetsOneFinalAction() {
    std::mt19937 random(7);
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 2;
    policy.maxQueue = 5;
    ShardOwner shard = owner(3, policy);
    std::map<GrantId, int> finals;
    std::vector<GrantId> running;
    Instant now = kStart;
    const auto note = [&](const std::vector<GrantAction>& actions) {
      for (const GrantId id : idsOf<Granted>(actions)) {
        ++finals[id];
        running.push_back(id);
      }
      for (const GrantId id : idsOf<GrantRefused>(actions)) ++finals[id];
    };
    for (GrantId id = 1; id <= 3'000; ++id) {
      now += Millis(random() % 20);
      GrantRequest wanted = wish(id, random() % 3 == 0 ? "a" : "b", random() % 10);
      wanted.deadline = now + Millis(random() % 100);
      note(shard.requestGrant(wanted, now));
      while (!running.empty() && random() % 2 == 0) {
        const std::size_t index = random() % running.size();
        const GrantId done = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        note(shard.release(done, random() % 9 == 0 ? GrantEnd::broke : GrantEnd::finished, now));
      }
      note(shard.tick(now));
      CPPUNIT_ASSERT(shard.inFlight() == running.size());
    }
    note(shard.tick(now + Millis(1'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3'000), finals.size());
    for (const auto& [id, count] : finals) CPPUNIT_ASSERT_EQUAL(1, count);
  }

  void theBucketPaysItsDebt() {
    TokenBucket bucket;
    bucket.setRate(100, kStart);
    CPPUNIT_ASSERT(bucket.take(300, kStart) == Millis(0));
    CPPUNIT_ASSERT(bucket.take(1, kStart) == Millis(2'000));
    CPPUNIT_ASSERT(bucket.take(1, kStart + Millis(1'000)) == Millis(1'000));
    CPPUNIT_ASSERT(bucket.take(1, kStart + Millis(2'000)) == Millis(0));
    TokenBucket unlimited;
    CPPUNIT_ASSERT(unlimited.take(1e12, kStart) == Millis(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
