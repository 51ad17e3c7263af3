// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <time.h>

#include <string>
#include <vector>

#include "Hallchute/Fleet"

namespace {

using namespace Hallchute;

const Instant kStart = Instant(std::chrono::hours(1));
constexpr int kDomains = 5;
constexpr int kMembers = 59;
constexpr int kUpstreams = 165;
constexpr int kOrganisations = 40;
constexpr std::int64_t kWindows = 8;
constexpr int kReportPeriod = 200;

Instant at(int ms) {
  return kStart + Millis(ms);
}

/// Time of the processor that this thread used: other processes don't count.
double threadMs() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

std::string nameOf(int domain, int member) {
  return "front-domain" + std::to_string(domain) + "-" + std::to_string(100 + member);
}

FleetMember memberOf(int domain, int member) {
  const std::string name = nameOf(domain, member);
  const DomainName place("domain" + std::to_string(domain));
  return {DaemonId(name), name + ":7600", 1'000'000, place, member == 0 ? 500U : 120U};
}

UpstreamId upstream(int number) {
  return UpstreamId("upstream-" + std::to_string(1'000 + number));
}

/// What a daemon tells when it serves each organisation and has requests at some upstreams.
FleetReport reportOf(int domain, int member, ReportScope scope, int turn) {
  FleetReport report;
  report.self = memberOf(domain, member);
  report.scope = scope;
  report.members = {report.self};
  if (scope == ReportScope::domain) {
    for (int i = 1; i < kMembers; ++i) report.members.push_back(memberOf(domain, i));
  }
  for (int i = 0; i < 8; ++i) {
    report.loads[upstream((member * 8 + domain + i) % kUpstreams)] = {1, 100};
  }
  for (int o = 0; o < kOrganisations; ++o) {
    const OrganisationName organisation("organisation-" + std::to_string(o));
    report.spent[organisation] = 1'000.0 * turn;
    for (std::int64_t w = 0; w < kWindows; ++w) report.usage[100 + w][organisation] = 1;
  }
  return report;
}

class FleetScaleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetScaleTest);
  CPPUNIT_TEST(aRelayTellsEachMemberOfAllOthers);
  CPPUNIT_TEST(aRelayOfALargeDomainKeepsUp);
  CPPUNIT_TEST_SUITE_END();

  /// One report period of a relay: its members and the other relays tell, then it tells them.
  std::vector<AddressedReport> turn(FleetView& relay, int number) {
    const int ms = number * kReportPeriod;
    for (int i = 1; i < kMembers; ++i) {
      relay.receive(reportOf(0, i, ReportScope::member, number), at(ms + i));
    }
    for (int d = 1; d < kDomains; ++d) {
      relay.receive(reportOf(d, 0, ReportScope::domain, number), at(ms + 60 + d));
    }
    return relay.compose(reportOf(0, 0, ReportScope::broadcast, number), at(ms + 100));
  }

 public:
  void aRelayTellsEachMemberOfAllOthers() {
    FleetView relay(memberOf(0, 0), at(-60'000));
    for (int number = 0; number < 3; ++number) turn(relay, number);
    const std::vector<AddressedReport> sent = turn(relay, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMembers - 1 + kDomains - 1}, sent.size());
    const OrganisationName organisation("organisation-0");
    for (const AddressedReport& addressed : sent) {
      const FleetReport& report = addressed.report;
      const bool toMember = report.scope == ReportScope::fleet;
      // A member hears of all but itself; another domain of this domain's daemons.
      const int daemons = toMember ? kMembers - 1 + kDomains - 1 : kMembers;
      std::uint32_t requests = 0;
      for (const auto& [id, load] : report.loads) requests += load.requests;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(addressed.address, 8U * daemons, requests);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(addressed.address, static_cast<std::uint64_t>(daemons),
                                   report.usage.at(100).at(organisation));
      // Own spending is told from the start; others' from when it could first be compared.
      const double spent = 1'000.0 * 3 * daemons;
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(addressed.address, spent, report.spent.at(organisation),
                                           0.5);
      const bool told = report.membersUnchanged || report.members.size() >= kMembers;
      CPPUNIT_ASSERT_MESSAGE(addressed.address, told);
    }
  }

  /// A relay has half of a processor, and a report period is 200 ms: what it takes must leave most
  /// of that to callers, or its members miss its reports and take themselves for relays.
  void aRelayOfALargeDomainKeepsUp() {
    FleetView relay(memberOf(0, 0), at(-60'000));
    for (int number = 0; number < 3; ++number) turn(relay, number);
    constexpr int kTurns = 5;
    constexpr double kMostMs = 30;
    const double began = threadMs();
    for (int number = 3; number < 3 + kTurns; ++number) turn(relay, number);
    const double perTurn = (threadMs() - began) / kTurns;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(perTurn) + " ms a period", perTurn <= kMostMs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetScaleTest);

}  // namespace
