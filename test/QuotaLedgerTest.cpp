// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "Hallchute/Gateway"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));

Instant at(int ms) {
  return kStart + Millis(ms);
}

GatewayOrganisation organisation(double rate, double burst) {
  GatewayOrganisation org;
  org.name = OrganisationName("org");
  org.rate = rate;
  org.burst = burst;
  return org;
}

class QuotaLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLedgerTest);
  CPPUNIT_TEST(quotaIsEnforcedWithARetryDelay);
  CPPUNIT_TEST(quotaToleranceDoesNotShortenRetryDelays);
  CPPUNIT_TEST(quotaCountsTheSpendingOfPeers);
  CPPUNIT_TEST(peerSpendingCountsBeforeTheFirstOwnRequest);
  CPPUNIT_TEST(quotaScalesWithTheLiveFractionOfTheFleet);
  CPPUNIT_TEST(quotaIsEnforcedThroughAPartition);
  CPPUNIT_TEST(quotaChangesApplyImmediately);
  CPPUNIT_TEST(quotaBucketsStartAlmostEmpty);
  CPPUNIT_TEST(retryDelayCoversPeerDiscovery);
  CPPUNIT_TEST(aSuspendedDaemonAdmitsRequestsWithinTheQuota);
  CPPUNIT_TEST_SUITE_END();

 public:
  void quotaIsEnforcedWithARetryDelay() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 150, at(0)));
    const auto shortage = ledger.take(org, 100, at(0));
    CPPUNIT_ASSERT(shortage.has_value());
    CPPUNIT_ASSERT_EQUAL(Millis::rep{500}, shortage->retryDelay.count());
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(510)));
    CPPUNIT_ASSERT_EQUAL(250.0, ledger.spent().at(org.name));
    ledger.refund(org.name, 100);
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(510)));
    // An organisation without a limit, and a request larger than the bucket.
    CPPUNIT_ASSERT(!ledger.take(organisation(0, 0), 1e9, at(0)));
    CPPUNIT_ASSERT(!ledger.take(org, 10'000, at(10'000)));
    CPPUNIT_ASSERT(ledger.take(org, 1, at(11'000)).has_value());
  }

  /// The retry delay is the time until the quota itself has room, without the tolerated overdraft.
  void quotaToleranceDoesNotShortenRetryDelays() {
    QuotaLedger ledger(at(-60'000), {0.1, 72'000, Millis(8'000)});
    ledger.setFleet({6, 1, 1.0 / 6, false, Millis(250)}, at(0));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 150, at(0)));
    const auto shortage = ledger.take(org, 100, at(0));
    CPPUNIT_ASSERT(shortage.has_value());
    CPPUNIT_ASSERT_EQUAL(Millis::rep{500}, shortage->retryDelay.count());
  }

  void quotaCountsTheSpendingOfPeers() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(0)));
    ledger.noteSpentElsewhere(org.name, 390, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 10, at(1'000)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(2'200)));
  }

  void peerSpendingCountsBeforeTheFirstOwnRequest() {
    const GatewayOrganisation org = organisation(100, 200);
    QuotaLedger ledger(at(-60'000));
    ledger.setOrganisations(std::vector{org}, at(0));
    ledger.noteSpentElsewhere(org.name, 195, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 10, at(0)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(100)));
  }

  /// A daemon that was suspended for 5 s heard at once what its peers had spent, about half the
  /// quota, but its bucket had filled for 2 s only: it refused every request of the organisation.
  void aSuspendedDaemonAdmitsRequestsWithinTheQuota() {
    const GatewayOrganisation org = organisation(100, 200);
    const QuotaFleet fleet{6, 1, 1.0 / 6, false, Millis(250)};
    QuotaLedger ledger(at(-60'000), {0.1, 50, Millis(8'000)});
    ledger.setFleet(fleet, at(0));
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(0)));
    ledger.setFleet(fleet, at(5'000));
    for (int peer = 0; peer < 5; ++peer) ledger.noteSpentElsewhere(org.name, 55, at(5'000));
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(5'010)));
    // The same amount is beyond the quota if nothing was suspended.
    for (int ms = 5'100; ms <= 7'000; ms += 100) ledger.setFleet(fleet, at(ms));
    ledger.noteSpentElsewhere(org.name, 275, at(7'000));
    CPPUNIT_ASSERT(ledger.take(org, 10, at(7'010)).has_value());
  }

  void quotaScalesWithTheLiveFractionOfTheFleet() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 100);
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(0)));
    ledger.setFleet({1, 0.5, {}, false, Millis(0)}, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 60, at(1'000)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 50, at(1'000)));
  }

  /// Ten daemons, four of them isolated from all others and from each other, and callers that
  /// request three times the quota.
  void quotaIsEnforcedThroughAPartition() {
    constexpr int kDaemons = 10;
    constexpr int kPartitionStartMs = 2'000;
    constexpr int kPartitionEndMs = 14'000;
    constexpr int kDetectionDelayMs = 1'000;
    const GatewayOrganisation org = organisation(1'000, 1'000);
    std::vector<QuotaLedger> ledgers(kDaemons, QuotaLedger(at(-60'000)));
    std::vector<double> reported(kDaemons, 0);
    std::vector<std::pair<int, double>> admitted;
    const auto isolated = [&](int i) { return i < 4; };
    const auto spentBy = [&](int i) {
      const auto it = ledgers[i].spent().find(org.name);
      return it == ledgers[i].spent().end() ? 0 : it->second;
    };
    for (int ms = 0; ms < 24'000; ms += 10) {
      for (int i = 0; i < kDaemons; ++i) {
        if (ms % 30 != 3 * i % 30 / 10 * 10) continue;
        if (!ledgers[i].take(org, 9, at(ms))) admitted.emplace_back(ms, 9);
      }
      const bool partitioned = ms >= kPartitionStartMs && ms < kPartitionEndMs;
      if (ms == kPartitionStartMs + kDetectionDelayMs) {
        for (int i = 0; i < kDaemons; ++i) {
          ledgers[i].setFleet({1, isolated(i) ? 0.1 : 0.6, {}, false, Millis(0)}, at(ms));
        }
      }
      if (ms == kPartitionEndMs) {
        for (int i = 0; i < kDaemons; ++i) {
          ledgers[i].setFleet({}, at(ms));
          reported[i] = spentBy(i);
        }
      }
      if (ms % 200 != 0) continue;
      for (int i = 0; i < kDaemons; ++i) {
        if (partitioned && isolated(i)) continue;
        const double unreported = spentBy(i) - reported[i];
        reported[i] += unreported;
        for (int j = 0; j < kDaemons; ++j) {
          if (j == i || (partitioned && isolated(j))) continue;
          ledgers[j].noteSpentElsewhere(org.name, unreported, at(ms));
        }
      }
    }
    for (const auto& [from, first] : admitted) {
      double sum = 0;
      for (const auto& [ms, amount] : admitted) {
        if (ms >= from && ms < from + 8'000) sum += amount;
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(from) + ": " + std::to_string(sum), sum <= 9'000 * 1.1);
    }
    double after = 0;
    for (const auto& [ms, amount] : admitted) after += ms >= 16'000 ? amount : 0;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(after), after >= 7'000);
  }

  void quotaChangesApplyImmediately() {
    QuotaLedger ledger(at(-60'000));
    CPPUNIT_ASSERT(!ledger.take(organisation(1'000, 1'000), 10, at(0)));
    CPPUNIT_ASSERT(ledger.take(organisation(10, 20), 30, at(10)) == std::nullopt);
    CPPUNIT_ASSERT(ledger.take(organisation(10, 20), 5, at(20)).has_value());
    CPPUNIT_ASSERT(!ledger.take(organisation(1'000, 1'000), 900, at(30)));
  }

  /// All daemons restart twice within a window: the initial levels of their buckets must not add up
  /// to several bursts.
  void quotaBucketsStartAlmostEmpty() {
    const GatewayOrganisation org = organisation(100, 1'000);
    double admitted = 0;
    for (const int start : {0, 1'000, 2'000}) {
      QuotaLedger ledger(at(start), {0.1, 0, Millis(8'000)});
      ledger.setFleet({1, 1, 1.0, false, Millis(0)}, at(start));
      for (int ms = start; ms < start + 1'000; ms += 10) {
        if (!ledger.take(org, 10, at(ms))) admitted += 10;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted <= 3 * (50 + 100));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted >= 300);
    QuotaLedger settled(at(-60'000));
    CPPUNIT_ASSERT(!settled.take(org, 1'000, at(0)));
  }

  /// Guards against excessive retry delays during peer discovery. A daemon admits almost nothing
  /// until it has discovered its peers, which takes about a second; delays computed from that low
  /// rate were up to a hundred times too long.
  void retryDelayCoversPeerDiscovery() {
    QuotaLedger ledger(at(0), {0.1, 0, Millis(8'000)});
    QuotaFleet undiscovered;
    undiscovered.liveFraction = 0.01;
    undiscovered.discovering = true;
    undiscovered.discoveryTimeLeft = Millis(1'200);
    ledger.setFleet(undiscovered, at(0));
    const GatewayOrganisation org = organisation(1'000, 2'000);
    const auto refused = ledger.take(org, 500, at(0), 0.5);
    CPPUNIT_ASSERT(refused.has_value());
    // Discovery, then the time to refill the missing amount at the full rate, plus the spread.
    CPPUNIT_ASSERT(refused->retryDelay >= Millis(1'200));
    CPPUNIT_ASSERT(refused->retryDelay <= Millis((1'200 + 500) * 3 / 2));
    // If the fleet size is known, the bucket refills at this daemon's share of the rate.
    undiscovered.ownShare = 0.5;
    undiscovered.liveFraction = 0.5;
    ledger.setFleet(undiscovered, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 2'000, at(0), 0)->retryDelay >= Millis(2'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

}  // namespace
