// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Outside bytes may be anything. None of the places that decode them may let an exception out: each
// is called by a thread or an event loop that has nobody above it.

#include <Poco/Net/HTTPServerResponse.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Node/FleetWire.h"
#include "Hallchute/src/Node/NodeStartup.h"
#include "platform/ObjectStore.h"
#include "platform/PlatformDuties.h"
#include "platform/SettingsDecoder.h"
#include "standin/StandinServer.h"

namespace {

using namespace Hallchute;

constexpr unsigned kSeed = 1'701;
constexpr int kMutantsPerText = 3'000;
/// Each of these is one call to a server.
constexpr int kMutantsPerAnswer = 150;

/// Values of any type, and numbers at the bounds of the integer types.
const std::vector<std::string> kValues{
    "null",
    "true",
    "false",
    "0",
    "-1",
    "1.5",
    "1e300",
    "-1e300",
    "1e999",
    "2147483647",
    "2147483648",
    "4294967296",
    "1772000000000",
    "9007199254740993",
    "9223372036854775807",
    "9223372036854775808",
    "-9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999",
    R"("")",
    R"("text")",
    R"("\u0000")",
    R"("\ud800")",
    "\"\xff\xfe\"",
    "[]",
    "[null]",
    "[[1],{}]",
    "{}",
    R"({"a":null})",
};

const std::string kItem =
    R"({"metadata":{"name":"i-a","rev":3},"spec":{"service":"s","address":"10.0.0.9:80",)"
    R"("zone":"d","version":"v1","slots":48,"state":"ready","cold-remaining-ms":0,)"
    R"("sequence":4,"born":5,"spot":false}})";
const std::string kList = R"({"as-of":9,"items":[)" + kItem + R"(],"more-pages":false})";
const std::string kWatch = R"({"as-of":9,"events":[{"deleted":false,"object":)" + kItem + "}]}";
const std::string kRecord =
    R"({"metadata":{"name":"holder","rev":3},"spec":{"daemon":"d","incarnation":5,"epoch":2,)"
    R"("sentThrough":7,"fixed":{"7":{"o":3}},"counted":{},"orphaned":{},"daemons":3,)"
    R"("quarantined":[{"content":"0123456789abcdef","upstreams":[{"id":"i","incarnation":5}]}]}})";
const std::string kSettings =
    R"({"version":3,"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"safe",)"
    R"("service":"s","split":[{"service":"s","weight":1}],"timeout-ms":400,"priority":1,)"
    R"("max-attempts":2,"public":true}],"services":[{"name":"s","max-connections":4,)"
    R"("engine":{"slots":4,"kv-capacity":9},"autoscale":{"min":1,"max":3,"boot-s":4,)"
    R"("spot-price":0.3,"zone-prices":{"d":1.5}}}],"tenants":[{"name":"o","api-keys":["k"],)"
    R"("priority":1,"unit":"tokens","plain-tokens":5,"rate-per-s":4,"burst":9}],)"
    R"("limits":{"max-header-bytes":999,"max-body-bytes":999,"header-timeout-ms":5}})";
const std::string kStartup =
    R"({"daemon":"g","failureDomain":"d","ip":"10.0.0.1","logLevel":"info","seeds":["10.0.0.1:7"],)"
    R"("processors":2,"failureDomains":["d"],"descriptors":1024,"listen":{"callers":"10.0.0.1:1",)"
    R"("readiness":"10.0.0.1:2","peers":"10.0.0.1:7","metrics":"10.0.0.1:4"},"store":)"
    R"({"address":"10.0.0.2:1"},"duties":{"address":"10.0.0.2:2","usage":true,"replicas":true},)"
    R"("bounds":{"drainMs":9,"graceS":9,"retryRatio":0.1,"retrySlack":5}})";

/// \p text with one JSON value, or some bytes, replaced.
std::string mutate(const std::string& text, std::mt19937& random) {
  std::string mutant = text;
  const auto below = [&](std::size_t bound) { return random() % bound; };
  // A value follows a colon or a bracket, and ends before a comma or a bracket.
  std::vector<std::size_t> starts;
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    if (text[i] == ':' || text[i] == '[') starts.push_back(i + 1);
  }
  if (!starts.empty() && below(4) > 0) {
    const std::size_t start = starts[below(starts.size())];
    std::size_t end = start;
    int depth = 0;
    for (bool quoted = false; end < text.size(); ++end) {
      const char c = text[end];
      if (c == '"') quoted = !quoted;
      if (quoted) continue;
      if (depth == 0 && (c == ',' || c == ']' || c == '}')) break;
      if (c == '{' || c == '[') ++depth;
      if (c == '}' || c == ']') --depth;
    }
    mutant.replace(start, end - start, kValues[below(kValues.size())]);
    return mutant;
  }
  for (std::size_t i = below(3); i < 3; ++i) {
    mutant[below(mutant.size())] = static_cast<char>(below(256));
  }
  if (below(2) == 0) mutant.resize(below(mutant.size()));
  return mutant;
}

/// Calls \p decode with mutants of \p text.
void expectNoException(const std::string& text, int mutants,
                       const std::function<void(const std::string&)>& decode) {
  std::mt19937 random(kSeed);
  for (int i = 0; i < mutants; ++i) {
    const std::string mutant = i == 0 ? text : mutate(text, random);
    try {
      decode(mutant);
    } catch (const std::exception& e) {
      CPPUNIT_FAIL(std::string(e.what()) + " from " + mutant);
    }
  }
}

/// A store that gives each call the same answer, which can be changed between calls.
class CannedStore {
 public:
  CannedStore()
      : server_("127.0.0.1:0",
                [this](const Standin::Request&, Poco::Net::HTTPServerResponse& response) {
                  response.sendBuffer(answer.data(), answer.size());
                }),
        store(server_.address(), "127.0.0.1") {}

  std::string answer;

 private:
  Standin::StandinServer server_;

 public:
  const ObjectStore store;
};

JsonObject jsonOf(const std::string& text) {
  Findings findings;
  return parseJsonObject(replaceInvalidUtf8(text), findings);
}

class ForeignBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignBytesTest);
  CPPUNIT_TEST(revisionsAreReadWhole);
  CPPUNIT_TEST(startTimesOfUpstreamsAreReadWhole);
  CPPUNIT_TEST(listsOfTheStore);
  CPPUNIT_TEST(watchesOfTheStore);
  CPPUNIT_TEST(recordsOfTheDuties);
  CPPUNIT_TEST(entriesOfUpstreams);
  CPPUNIT_TEST(settings);
  CPPUNIT_TEST(startupFiles);
  CPPUNIT_TEST(messagesOfPeers);
  CPPUNIT_TEST(headsAndBodies);
  CPPUNIT_TEST_SUITE_END();

 public:
  void revisionsAreReadWhole() {
    for (const std::uint64_t revision :
         {std::uint64_t{2'147'483'647}, std::uint64_t{2'147'483'648}, std::uint64_t{1} << 53U}) {
      CannedStore canned;
      canned.answer = R"({"as-of":)" + std::to_string(revision) + R"(,"items":[]})";
      const auto batch = canned.store.list("servers", ReadConsistency::latest);
      CPPUNIT_ASSERT(batch.ok());
      CPPUNIT_ASSERT_EQUAL(revision, batch->asOf);
    }
  }

  void startTimesOfUpstreamsAreReadWhole() {
    constexpr std::uint64_t kBornMs = 1'772'000'000'000;
    std::string text = kItem;
    text.replace(text.find(R"("born":5)"), 8, R"("born":)" + std::to_string(kBornMs));
    Findings findings;
    const auto record =
        decodeUpstream({"i-a", 3, jsonOf(text)->getObject("spec"), false}, findings);
    CPPUNIT_ASSERT_MESSAGE(describe(findings), record.has_value());
    CPPUNIT_ASSERT_EQUAL(kBornMs, record->incarnation);
  }

  void listsOfTheStore() {
    CannedStore canned;
    expectNoException(kList, kMutantsPerAnswer, [&](const std::string& text) {
      canned.answer = text;
      static_cast<void>(canned.store.list("servers", ReadConsistency::latest));
    });
  }

  void watchesOfTheStore() {
    CannedStore canned;
    expectNoException(kWatch, kMutantsPerAnswer, [&](const std::string& text) {
      canned.answer = text;
      static_cast<void>(canned.store.watch("servers", 3, Millis(1)));
    });
  }

  void recordsOfTheDuties() {
    CannedStore canned;
    PlatformDuties duties(canned.store, "127.0.0.1:1", "127.0.0.1");
    expectNoException(kRecord, kMutantsPerAnswer, [&](const std::string& text) {
      canned.answer = text;
      static_cast<void>(duties.read(ReadConsistency::latest));
    });
  }

  void entriesOfUpstreams() {
    expectNoException(kItem, kMutantsPerText, [](const std::string& text) {
      const JsonObject json = jsonOf(text);
      Findings findings;
      decodeUpstream({"i-a", 3, json ? json->getObject("spec") : json, false}, findings);
    });
  }

  void settings() {
    expectNoException(kSettings, kMutantsPerText, [](const std::string& text) {
      const JsonObject json = jsonOf(text);
      Findings findings;
      if (decodeSettings(json, findings)) static_cast<void>(jsonText(json));
    });
  }

  void startupFiles() {
    expectNoException(kStartup, kMutantsPerText, [](const std::string& text) {
      Findings findings;
      static_cast<void>(readNodeStartup(text, findings));
    });
  }

  void messagesOfPeers() {
    FleetReport report;
    report.self = {DaemonId("d"), "10.0.0.1:1", 5, FailureDomainName("f"), 1'000};
    report.usage[7][OrganisationName("o")] = 3;
    report.members.push_back(report.self);
    report.draining = {{UpstreamId("i"), 5}};
    FleetSnapshot snapshot;
    snapshot.settingsText = kSettings;
    snapshot.upstreams.emplace_back();
    expectNoException(pack(report), kMutantsPerText, unpackAll);
    expectNoException(pack(snapshot), kMutantsPerText, unpackAll);
    expectNoException(pack(SnapshotRequest{7, 9}), kMutantsPerText, unpackAll);
  }

  void headsAndBodies() {
    expectNoException(
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX: [1]\r\n\r\n"
        "5;a=b\r\nhello\r\n0\r\nT: u\r\n\r\n",
        kMutantsPerText,
        [](const std::string& text) { readHttp(HttpMessageType::requests, text); });
    expectNoException(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\nX: [1]\r\n\r\nhello",
        kMutantsPerText,
        [](const std::string& text) { readHttp(HttpMessageType::responses, text); });
  }

 private:
  static void unpackAll(const std::string& bytes) {
    static_cast<void>(unpack<FleetReport>(bytes));
    static_cast<void>(unpack<FleetSnapshot>(bytes));
    static_cast<void>(unpack<SnapshotRequest>(bytes));
  }

  static void readHttp(HttpMessageType type, const std::string& text) {
    HttpReader reader(type, HttpReaderLimits{});
    std::string buffer = text;
    reader.read(buffer);
    static_cast<void>(reader.takeBody());
    reader.end();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignBytesTest);

}  // namespace
