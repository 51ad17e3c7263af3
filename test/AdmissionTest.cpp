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

GrantRequest grantRequest(GrantId id, const char* organisation = "o", std::int64_t priority = 5) {
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

ShardOwner makeShard(std::size_t count, ShardPolicy policy = {}) {
  ShardOwner made(policy);
  made.setUpstreams(upstreams(count), kStart);
  return made;
}

RefusalReason reasonOf(const std::vector<GrantAction>& actions) {
  return std::get<GrantRefused>(actions.front()).refusal.reason;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(grantsUpToTheLimitThenQueues);
  CPPUNIT_TEST(refusalsAreImmediateAndHaveARetryDelay);
  CPPUNIT_TEST(queueOrdersByPriorityWithAging);
  CPPUNIT_TEST(fullQueueRefusesTheLowestPriority);
  CPPUNIT_TEST(sharesFollowWeights);
  CPPUNIT_TEST(floodingOrganisationDoesNotStarveOthersByAging);
  CPPUNIT_TEST(pendingPrefillTokensLimitGrants);
  CPPUNIT_TEST(organisationLimitsAreEnforced);
  CPPUNIT_TEST(drainingUpstreamsGetNoNewGrants);
  CPPUNIT_TEST(failuresEjectAnUpstreamTemporarily);
  CPPUNIT_TEST(resumptionsPrecedeNewRequestsAndBypassLimits);
  CPPUNIT_TEST(failedUpstreamsAreALastResort);
  CPPUNIT_TEST(restoredGrantsCount);
  CPPUNIT_TEST(everyRequestGetsOneFinalAction);
  CPPUNIT_TEST(tokenBucketRepaysItsDebt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void grantsUpToTheLimitThenQueues() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 2;
    ShardOwner shard = makeShard(2, policy);
    for (GrantId id = 1; id <= 4; ++id) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           idsOf<Granted>(shard.requestGrant(grantRequest(id), kStart)).size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Queued>(shard.requestGrant(grantRequest(5), kStart)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), shard.inFlightAt(UpstreamId("u0")));
    const auto afterRelease = shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{5});
  }

  void refusalsAreImmediateAndHaveARetryDelay() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 1;
    ShardOwner shard = makeShard(1, policy);
    shard.requestGrant(grantRequest(1), kStart);
    shard.requestGrant(grantRequest(2), kStart);
    struct Case {
      GrantRequest request;
      RefusalReason reason;
    };
    GrantRequest pastDeadline = grantRequest(4);
    pastDeadline.deadline = kStart;
    const Case cases[] = {{grantRequest(3), RefusalReason::overloaded},
                          {pastDeadline, RefusalReason::overloaded}};
    for (const Case& c : cases) {
      const auto actions = shard.requestGrant(c.request, kStart);
      CPPUNIT_ASSERT(reasonOf(actions) == c.reason);
      const Refusal& refusal = std::get<GrantRefused>(actions.front()).refusal;
      CPPUNIT_ASSERT(refusal.retryAfter && *refusal.retryAfter >= Millis(100));
      CPPUNIT_ASSERT(refusal.outcome == RunOutcome::notRun);
    }
    const auto expired = shard.tick(kStart + Millis(5'000));
    CPPUNIT_ASSERT(idsOf<GrantRefused>(expired) == std::vector<GrantId>{2});
    ShardOwner empty = makeShard(0);
    CPPUNIT_ASSERT(reasonOf(empty.requestGrant(grantRequest(9), kStart)) ==
                   RefusalReason::noUpstream);
  }

  void queueOrdersByPriorityWithAging() {
    struct Case {
      Millis patientWaitTime;
      GrantId first;
    };
    // Aging raises the priority by one step per second, so nine seconds make up for nine steps.
    for (const Case& c : {Case{Millis(0), 3}, Case{Millis(8'000), 3}, Case{Millis(9'500), 2}}) {
      ShardPolicy policy;
      policy.maxInFlightPerUpstream = 1;
      ShardOwner shard = makeShard(1, policy);
      shard.requestGrant(grantRequest(1), kStart);
      GrantRequest patient = grantRequest(2, "o", 0);
      patient.deadline = kStart + Millis(60'000);
      shard.requestGrant(patient, kStart);
      GrantRequest urgent = grantRequest(3, "o", 9);
      urgent.deadline = kStart + Millis(60'000);
      shard.requestGrant(urgent, kStart + c.patientWaitTime);
      const auto afterRelease = shard.release(1, GrantEnd::finished, kStart + c.patientWaitTime);
      CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{c.first});
    }
  }

  void fullQueueRefusesTheLowestPriority() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 2;
    ShardOwner shard = makeShard(1, policy);
    shard.requestGrant(grantRequest(1), kStart);
    shard.requestGrant(grantRequest(2, "o", 1), kStart);
    shard.requestGrant(grantRequest(3, "o", 5), kStart);
    const auto urgent = shard.requestGrant(grantRequest(4, "o", 9), kStart);
    CPPUNIT_ASSERT(idsOf<GrantRefused>(urgent) == std::vector<GrantId>{2});
    CPPUNIT_ASSERT(idsOf<Queued>(urgent) == std::vector<GrantId>{4});
    const auto patient = shard.requestGrant(grantRequest(5, "o", 1), kStart);
    CPPUNIT_ASSERT(idsOf<GrantRefused>(patient) == std::vector<GrantId>{5});
  }

  void sharesFollowWeights() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 1'000;
    ShardOwner shard = makeShard(1, policy);
    GrantId id = 1;
    shard.requestGrant(grantRequest(id++), kStart);
    std::map<GrantId, std::string> senders;
    // A sends ten times as many requests as B, and B has three times the weight.
    for (int i = 0; i < 200; ++i) {
      const bool isB = i % 11 == 0;
      GrantRequest request = grantRequest(id, isB ? "B" : "A");
      request.weight = isB ? 3 : 1;
      request.deadline = kStart + Millis(600'000);
      senders[id] = isB ? "B" : "A";
      shard.requestGrant(request, kStart);
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

  void floodingOrganisationDoesNotStarveOthersByAging() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.maxQueue = 50;
    ShardOwner shard = makeShard(1, policy);
    const auto largeRequest = [](GrantId id, const char* organisation) {
      GrantRequest request = grantRequest(id, organisation);
      request.promptTokens = 30'000;
      request.deadline = kStart + Millis(600'000);
      return request;
    };
    shard.requestGrant(largeRequest(1, "flood"), kStart);
    for (GrantId id = 2; id <= 51; ++id) shard.requestGrant(largeRequest(id, "flood"), kStart);
    // Half a minute later the queue is full of aged requests of the flooding organisation.
    const Instant later = kStart + Millis(30'000);
    shard.release(1, GrantEnd::finished, later);
    shard.requestGrant(largeRequest(98, "flood"), later);
    const auto other = shard.requestGrant(largeRequest(99, "other"), later);
    CPPUNIT_ASSERT(idsOf<Queued>(other) == std::vector<GrantId>{99});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<GrantRefused>(other).size());
    const auto afterRelease = shard.release(2, GrantEnd::finished, later);
    CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{99});
  }

  void pendingPrefillTokensLimitGrants() {
    ShardPolicy policy;
    policy.maxPrefillTokensPerUpstream = 100;
    ShardOwner shard = makeShard(1, policy);
    GrantRequest request = grantRequest(1);
    request.promptTokens = 400;
    // A single prompt above the limit is still granted; the next one waits for its first token.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(request, kStart)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Queued>(shard.requestGrant(grantRequest(2), kStart)).size());
    CPPUNIT_ASSERT(idsOf<Granted>(shard.noteFirstToken(1, kStart)) == std::vector<GrantId>{2});
    shard.noteFirstToken(1, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(grantRequest(3), kStart)).size());
  }

  void organisationLimitsAreEnforced() {
    ShardPolicy policy;
    policy.organisationInFlight = 2;
    ShardOwner shard = makeShard(4, policy);
    shard.requestGrant(grantRequest(1), kStart);
    shard.requestGrant(grantRequest(2), kStart);
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(grantRequest(3), kStart)) ==
                   RefusalReason::organisationLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(grantRequest(4, "p"), kStart)).size());
    shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(grantRequest(5), kStart)).size());
  }

  void drainingUpstreamsGetNoNewGrants() {
    ShardOwner shard = makeShard(2);
    shard.markDraining(UpstreamId("u0"), kStart);
    for (GrantId id = 1; id <= 6; ++id) {
      const auto actions = shard.requestGrant(grantRequest(id), kStart);
      CPPUNIT_ASSERT(std::get<Granted>(actions.front()).upstream == UpstreamId("u1"));
    }
    // A listing that contains it again does not end its draining.
    shard.setUpstreams(upstreams(2), kStart);
    CPPUNIT_ASSERT(
        std::get<Granted>(shard.requestGrant(grantRequest(7), kStart).front()).upstream ==
        UpstreamId("u1"));
    const auto actions = shard.markDraining(UpstreamId("u1"), kStart);
    CPPUNIT_ASSERT(actions.empty());
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(grantRequest(8), kStart)) ==
                   RefusalReason::noUpstream);
  }

  void failuresEjectAnUpstreamTemporarily() {
    ShardOwner shard = makeShard(1);
    shard.requestGrant(grantRequest(1), kStart);
    shard.release(1, GrantEnd::connectFailed, kStart);
    CPPUNIT_ASSERT(reasonOf(shard.requestGrant(grantRequest(2), kStart + Millis(499))) ==
                   RefusalReason::noUpstream);
    const Instant later = kStart + Millis(500);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(grantRequest(3), later)).size());
    // Until its first success it gets one request at a time.
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Queued>(shard.requestGrant(grantRequest(4), later)).size());
    const auto afterRelease = shard.release(3, GrantEnd::finished, later);
    CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{4});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(grantRequest(5), later)).size());
  }

  void resumptionsPrecedeNewRequestsAndBypassLimits() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    policy.organisationInFlight = 1;
    ShardOwner shard = makeShard(1, policy);
    shard.requestGrant(grantRequest(1), kStart);
    shard.requestGrant(grantRequest(2, "p", 9), kStart);
    GrantRequest resumed = grantRequest(3, "o", 0);
    resumed.resumption = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idsOf<Queued>(shard.requestGrant(resumed, kStart)).size());
    const auto afterRelease = shard.release(1, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{3});
  }

  void failedUpstreamsAreALastResort() {
    ShardOwner shard = makeShard(2);
    GrantRequest request = grantRequest(1);
    request.failedUpstreams = {UpstreamId("u0")};
    CPPUNIT_ASSERT(std::get<Granted>(shard.requestGrant(request, kStart).front()).upstream ==
                   UpstreamId("u1"));
    request.id = 2;
    request.failedUpstreams = upstreams(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Granted>(shard.requestGrant(request, kStart)).size());
  }

  void restoredGrantsCount() {
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 1;
    ShardOwner shard = makeShard(1, policy);
    shard.hold({50, UpstreamId("u0"), OrganisationName("o"), 20});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         idsOf<Queued>(shard.requestGrant(grantRequest(1), kStart)).size());
    const auto afterRelease = shard.release(50, GrantEnd::finished, kStart);
    CPPUNIT_ASSERT(idsOf<Granted>(afterRelease) == std::vector<GrantId>{1});
    // A grant at an unknown upstream is counted and needs no further action.
    shard.hold({51, UpstreamId("gone"), OrganisationName("o"), 20});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), shard.inFlightAt(UpstreamId("gone")));
    shard.release(51, GrantEnd::finished, kStart);
  }

  void everyRequestGetsOneFinalAction() {
    std::mt19937 random(7);
    ShardPolicy policy;
    policy.maxInFlightPerUpstream = 2;
    policy.maxQueue = 5;
    ShardOwner shard = makeShard(3, policy);
    std::map<GrantId, int> finalActions;
    std::vector<GrantId> running;
    Instant now = kStart;
    const auto recordActions = [&](const std::vector<GrantAction>& actions) {
      for (const GrantId id : idsOf<Granted>(actions)) {
        ++finalActions[id];
        running.push_back(id);
      }
      for (const GrantId id : idsOf<GrantRefused>(actions)) ++finalActions[id];
    };
    for (GrantId id = 1; id <= 3'000; ++id) {
      now += Millis(random() % 20);
      GrantRequest request = grantRequest(id, random() % 3 == 0 ? "a" : "b", random() % 10);
      request.deadline = now + Millis(random() % 100);
      recordActions(shard.requestGrant(request, now));
      while (!running.empty() && random() % 2 == 0) {
        const std::size_t index = random() % running.size();
        const GrantId done = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        recordActions(
            shard.release(done, random() % 9 == 0 ? GrantEnd::broke : GrantEnd::finished, now));
      }
      recordActions(shard.tick(now));
      CPPUNIT_ASSERT(shard.inFlight() == running.size());
    }
    recordActions(shard.tick(now + Millis(1'000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3'000), finalActions.size());
    for (const auto& [id, count] : finalActions) CPPUNIT_ASSERT_EQUAL(1, count);
  }

  void tokenBucketRepaysItsDebt() {
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
