// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "Hallchute/Core"
#include "Hallchute/Gateway"
#include "SimulatedFleet.h"

namespace {

using namespace Hallchute;

const ServiceName kService("s");
const Instant kAsked = SimulatedFleet::at(0);

StreamOrigin origin(const char* version, const ServiceName& service = kService) {
  return {StreamKey{7}, service, SoftwareVersion(version)};
}
StreamOriginReply reply(OriginBasis basis, const char* version = "v1") {
  return {basis, true, origin(version)};
}
VersionClaim claim(bool complete, const std::vector<const char*>& versions) {
  VersionClaim claim{9, complete, {}};
  claim.add({ServiceName("other"), SoftwareVersion("v9")});
  for (const char* version : versions) claim.add({kService, SoftwareVersion(version)});
  return claim;
}
ArchiveEvidence read(std::optional<VersionClaim> versions, std::vector<StreamOrigin> streams = {},
                     Millis after = Millis(1)) {
  return {kAsked + after, true, std::move(streams), std::move(versions)};
}

std::string outcome(const ContinuationVerdict& verdict) {
  return std::visit(
      Overloaded{[](const ContinuationVerdicts::AskPeers&) { return std::string("ask"); },
                 [](const ContinuationVerdicts::ReadArchive&) { return std::string("read"); },
                 [](const ContinuationVerdicts::Continue& found) {
                   return found.version.str() + " by " + std::string(describe(found.basis));
                 },
                 [](const ContinuationVerdicts::Refuse& refused) {
                   return std::string(describe(refused.reason));
                 }},
      verdict);
}

/// Guards against continuing a stream by knowledge that isn't proof, or that is too old.
class StreamContinuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamContinuationTest);
  CPPUNIT_TEST(decidesByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void decidesByTable() {
    struct Row {
      const char* story;
      std::optional<StreamOrigin> recorded;
      std::optional<StreamOriginReply> peers;
      std::optional<ArchiveEvidence> archive;
      const char* expected;
      Millis timeLimit{15'000};
    };
    const StreamOriginReply unknown;
    const StreamOriginReply alive{OriginBasis::none, true, {}};
    const std::vector<Row> rows{
        {"an own record, however old", origin("v1"), {}, {}, "v1 by record"},
        {"records of two versions", origin(""), {}, {}, "contradictoryRecords"},
        {"the upstream's id was started again with another version", origin(""), unknown,
         read(claim(true, {"v1"})), "contradictoryRecords"},
        {"a record of another service", origin("v1", ServiceName("o")), {}, {}, "otherService"},
        {"no own record", {}, {}, {}, "ask"},
        {"a peer's record", {}, reply(OriginBasis::record), {}, "v1 by record"},
        {"a peer's record without a version",
         {},
         reply(OriginBasis::record, ""),
         {},
         "contradictoryRecords"},
        {"a peer read the archive", {}, reply(OriginBasis::archive), {}, "v1 by archive"},
        {"a peer concluded by a read",
         {},
         reply(OriginBasis::soleVersion),
         {},
         "v1 by soleVersion"},
        {"the same, for streams beyond the history",
         {},
         reply(OriginBasis::soleVersion),
         {},
         "historyTooShort",
         Millis(61'000)},
        {"a peer read the archive in vain", {}, alive, {}, "unknownToPeers"},
        {"no peer answers: all killed, or this one is cut off", {}, unknown, {}, "read"},
        {"cut off from the store too", {}, unknown, ArchiveEvidence{}, "archiveUnanswered"},
        {"archived before a kill of all", {}, unknown, read({}, {origin("v1")}), "v1 by archive"},
        {"archived, as an earlier read shows",
         {},
         unknown,
         read({}, {origin("v1")}, Millis(-5'000)),
         "v1 by archive"},
        {"archived twice alike",
         {},
         unknown,
         read({}, {origin("v1"), origin("v1")}),
         "v1 by archive"},
        {"archived as two versions",
         {},
         unknown,
         read({}, {origin("v1"), origin("v2")}),
         "contradictoryRecords"},
        {"one version, read after the request arrived",
         {},
         unknown,
         read(claim(true, {"v1"})),
         "v1 by soleVersion"},
        {"one version, read before: it stood still, or read an old copy",
         {},
         unknown,
         read(claim(true, {"v1"}), {}, Millis(-1)),
         "archiveReadTooEarly"},
        {"two versions", {}, unknown, read(claim(true, {"v1", "v2"})), "severalVersions"},
        {"no version of this service", {}, unknown, read(claim(true, {})), "severalVersions"},
        {"a short history: the fleet has just started",
         {},
         unknown,
         read(claim(false, {"v1"})),
         "historyTooShort"},
        {"streams beyond the history",
         {},
         unknown,
         read(claim(true, {"v1"})),
         "historyTooShort",
         Millis(61'000)},
        {"no history: the archive is missing, or the store's changes are",
         {},
         unknown,
         read({}),
         "versionsUnknown"}};
    for (const Row& row : rows) {
      const ContinuationEvidence evidence{kService,     row.timeLimit, kAsked,
                                          row.recorded, row.peers,     row.archive};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, std::string(row.expected),
                                   outcome(decideContinuation(evidence)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamContinuationTest);

}  // namespace
