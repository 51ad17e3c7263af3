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
  CPPUNIT_TEST(quotaHoldsAndTellsWhenToComeBack);
  CPPUNIT_TEST(quotaToleranceBringsNobodyBackEarly);
  CPPUNIT_TEST(quotaCountsWhatOthersSpend);
  CPPUNIT_TEST(quotaSpentElsewhereCountsBeforeTheFirstOwnRequest);
  CPPUNIT_TEST(quotaOfAPartOfTheFleet);
  CPPUNIT_TEST(quotaHoldsThroughACut);
  CPPUNIT_TEST(quotaChangesAtOnce);
  CPPUNIT_TEST(quotaAfterAStartHoldsLittle);
  CPPUNIT_TEST(quotaOfAnUnknownFleetBringsCallersBackAfterTheMeeting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void quotaHoldsAndTellsWhenToComeBack() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 150, at(0)));
    const auto wait = ledger.take(org, 100, at(0));
    CPPUNIT_ASSERT(wait.has_value());
    CPPUNIT_ASSERT_EQUAL(Millis::rep{500}, wait->retryDelay.count());
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(510)));
    CPPUNIT_ASSERT_EQUAL(250.0, ledger.spent().at(org.name));
    ledger.refund(org.name, 100);
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(510)));
    // No limit, and a request larger than any bucket.
    CPPUNIT_ASSERT(!ledger.take(organisation(0, 0), 1e9, at(0)));
    CPPUNIT_ASSERT(!ledger.take(org, 10'000, at(10'000)));
    CPPUNIT_ASSERT(ledger.take(org, 1, at(11'000)).has_value());
  }

  /// What the operator tolerates is not there to come back for.
  void quotaToleranceBringsNobodyBackEarly() {
    QuotaLedger ledger(at(-60'000), {0.1, 72'000, Millis(8'000)});
    ledger.setFleet({6, 1, 1.0 / 6, false, Millis(250)}, at(0));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 150, at(0)));
    const auto wait = ledger.take(org, 100, at(0));
    CPPUNIT_ASSERT(wait.has_value());
    CPPUNIT_ASSERT_EQUAL(Millis::rep{500}, wait->retryDelay.count());
  }

  void quotaCountsWhatOthersSpend() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 200);
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(0)));
    ledger.noteSpentElsewhere(org.name, 390, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 10, at(1'000)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(2'200)));
  }

  void quotaSpentElsewhereCountsBeforeTheFirstOwnRequest() {
    const GatewayOrganisation org = organisation(100, 200);
    QuotaLedger ledger(at(-60'000));
    ledger.setOrganisations(std::vector{org}, at(0));
    ledger.noteSpentElsewhere(org.name, 195, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 10, at(0)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 10, at(100)));
  }

  void quotaOfAPartOfTheFleet() {
    QuotaLedger ledger(at(-60'000));
    const GatewayOrganisation org = organisation(100, 100);
    CPPUNIT_ASSERT(!ledger.take(org, 100, at(0)));
    ledger.setFleet({1, 0.5, {}, false, Millis(0)}, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 60, at(1'000)).has_value());
    CPPUNIT_ASSERT(!ledger.take(org, 50, at(1'000)));
  }

  /// Ten daemons, four of them cut off from all others, callers that ask three times the quota.
  void quotaHoldsThroughACut() {
    constexpr int kDaemons = 10;
    constexpr int kCutFrom = 2'000;
    constexpr int kCutTo = 14'000;
    constexpr int kNoticed = 1'000;
    const GatewayOrganisation org = organisation(1'000, 1'000);
    std::vector<QuotaLedger> ledgers(kDaemons, QuotaLedger(at(-60'000)));
    std::vector<double> told(kDaemons, 0);
    std::vector<std::pair<int, double>> admitted;
    const auto cut = [&](int i) { return i < 4; };
    const auto spentBy = [&](int i) {
      const auto it = ledgers[i].spent().find(org.name);
      return it == ledgers[i].spent().end() ? 0 : it->second;
    };
    for (int ms = 0; ms < 24'000; ms += 10) {
      for (int i = 0; i < kDaemons; ++i) {
        if (ms % 30 != 3 * i % 30 / 10 * 10) continue;
        if (!ledgers[i].take(org, 9, at(ms))) admitted.emplace_back(ms, 9);
      }
      const bool apart = ms >= kCutFrom && ms < kCutTo;
      if (ms == kCutFrom + kNoticed) {
        for (int i = 0; i < kDaemons; ++i) {
          ledgers[i].setFleet({1, cut(i) ? 0.1 : 0.6, {}, false, Millis(0)}, at(ms));
        }
      }
      if (ms == kCutTo) {
        for (int i = 0; i < kDaemons; ++i) {
          ledgers[i].setFleet({}, at(ms));
          told[i] = spentBy(i);
        }
      }
      if (ms % 200 != 0) continue;
      for (int i = 0; i < kDaemons; ++i) {
        if (apart && cut(i)) continue;
        const double more = spentBy(i) - told[i];
        told[i] += more;
        for (int j = 0; j < kDaemons; ++j) {
          if (j == i || (apart && cut(j))) continue;
          ledgers[j].noteSpentElsewhere(org.name, more, at(ms));
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

  void quotaChangesAtOnce() {
    QuotaLedger ledger(at(-60'000));
    CPPUNIT_ASSERT(!ledger.take(organisation(1'000, 1'000), 10, at(0)));
    CPPUNIT_ASSERT(ledger.take(organisation(10, 20), 30, at(10)) == std::nullopt);
    CPPUNIT_ASSERT(ledger.take(organisation(10, 20), 5, at(20)).has_value());
    CPPUNIT_ASSERT(!ledger.take(organisation(1'000, 1'000), 900, at(30)));
  }

  /// All daemons restart twice within a window: their bursts must not add up.
  void quotaAfterAStartHoldsLittle() {
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

  /// Next to nothing is spent until the others are met, which takes about a second: callers that
  /// are refused meanwhile were told to come back after up to a hundred times as long as needed.
  void quotaOfAnUnknownFleetBringsCallersBackAfterTheMeeting() {
    QuotaLedger ledger(at(0), {0.1, 0, Millis(8'000)});
    QuotaFleet unmet;
    unmet.liveFraction = 0.01;
    unmet.discovering = true;
    unmet.discoveryTimeLeft = Millis(1'200);
    ledger.setFleet(unmet, at(0));
    const GatewayOrganisation org = organisation(1'000, 2'000);
    const auto refused = ledger.take(org, 500, at(0), 0.5);
    CPPUNIT_ASSERT(refused.has_value());
    // The meeting, the time in which the whole rate then fills what is missing, and the spread.
    CPPUNIT_ASSERT(refused->retryDelay >= Millis(1'200));
    CPPUNIT_ASSERT(refused->retryDelay <= Millis((1'200 + 500) * 3 / 2));
    // Where the fleet's size is known the own part is what fills.
    unmet.ownShare = 0.5;
    unmet.liveFraction = 0.5;
    ledger.setFleet(unmet, at(0));
    CPPUNIT_ASSERT(ledger.take(org, 2'000, at(0), 0)->retryDelay >= Millis(2'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLedgerTest);

}  // namespace
