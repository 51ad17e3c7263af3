// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

const std::string kSigned = "Hallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: sig\r\n";

std::string whole(int status, const std::string& body, const std::string& fields = kSigned) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text) {
  std::string size = "0123456789abcdef";
  std::string hex;
  for (std::size_t n = text.size(); n > 0; n /= 16) hex.insert(hex.begin(), size[n % 16]);
  return hex + "\r\n" + text + "\r\n";
}

const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\n" + kSigned +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kUnframedHead =
    "HTTP/1.1 200 OK\r\n" + kSigned + "Content-Type: text/event-stream\r\n\r\n";
const std::string kEnd = "0\r\n\r\n";

std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
}

/// One request, what the upstreams do with it, and what the caller gets.
struct Row {
  std::string name;
  WorkKind kind;
  bool resumable;
  /// The first upstream's script, then the second's.
  UpstreamScript first;
  UpstreamScript second;
  std::string expectedStart;
  std::string expectedPart;
  std::string forbidden;
  /// Requests that reach upstreams.
  std::size_t arrivals;
};

class TrafficContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TrafficContractTest);
  CPPUNIT_TEST(answersByTable);
  CPPUNIT_TEST(statusesOutsideTheProtocolByTable);
  CPPUNIT_TEST(hidesTheKeyAndSetsItsOwnFields);
  CPPUNIT_TEST(refusesByTable);
  CPPUNIT_TEST(whatFollowsARequestGivesWayToIt);
  CPPUNIT_TEST(aRequestIsChargedNoMoreThanAReplicaHolds);
  CPPUNIT_TEST(callerLeavingStopsTheUpstream);
  CPPUNIT_TEST(aRequestThatNeverArrivedIsNoRun);
  CPPUNIT_TEST(aRequestCountsOnceAndOnlyIfItBegan);
  CPPUNIT_TEST(surplusAnswerIsNeverTakenForTheNext);
  CPPUNIT_TEST(anUpstreamThatSaysItLeavesGetsNoMoreRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answersByTable() {
    const UpstreamScript fine{whole(200, "fine"), Then::keep};
    const UpstreamScript rejects{
        whole(503, "", "Hallchute-Attempt-Id: {id}\r\nHallchute-Not-Executed: 1\r\n"), Then::keep};
    const std::vector<Row> rows{
        {"passes an answer as it is", WorkKind::once, false, fine, fine, "HTTP/1.1 200",
         "\r\n\r\nfine", "", 1},
        {"a rejected request goes elsewhere", WorkKind::once, false, rejects, fine, "HTTP/1.1 200",
         "fine", "", 2},
        {"what may not repeat fails after a reset",
         WorkKind::once,
         false,
         {"", Then::reset},
         fine,
         "HTTP/1.1 502",
         "",
         "fine",
         1},
        {"what may repeat goes elsewhere after a reset",
         WorkKind::repeatable,
         false,
         {"", Then::reset},
         fine,
         "HTTP/1.1 200",
         "fine",
         "",
         2},
        {"a failure of the upstream keeps its status",
         WorkKind::once,
         false,
         {whole(500, "oops"), Then::keep},
         fine,
         "HTTP/1.1 500",
         "oops",
         "fine",
         1},
        {"a repeatable failure is tried elsewhere",
         WorkKind::repeatable,
         false,
         {whole(500, "oops"), Then::keep},
         fine,
         "HTTP/1.1 200",
         "fine",
         "oops",
         2},
        {"two failures pass one of them",
         WorkKind::repeatable,
         false,
         {whole(500, "oops"), Then::keep},
         {whole(500, "oops"), Then::keep},
         "HTTP/1.1 500",
         "oops",
         "",
         2},
        {"an unsigned success is none",
         WorkKind::once,
         false,
         {whole(200, "forged", "Hallchute-Attempt-Id: {id}\r\n"), Then::keep},
         fine,
         "HTTP/1.1 502",
         "",
         "forged",
         1},
        {"bytes that are no answer",
         WorkKind::once,
         false,
         {"gibberish\r\n\r\n", Then::keep},
         fine,
         "HTTP/1.1 502",
         "",
         "gibberish",
         1},
        {"a body cut short",
         WorkKind::once,
         false,
         {"HTTP/1.1 200 OK\r\n" + kSigned + "Content-Length: 9\r\n\r\nfi", Then::close},
         fine,
         "HTTP/1.1 502",
         "",
         "\r\n\r\nfi",
         1},
        {"a body that its connection ends",
         WorkKind::once,
         false,
         {"HTTP/1.1 200 OK\r\n" + kSigned + "\r\nunframed", Then::close},
         fine,
         "HTTP/1.1 200",
         "Content-Length: 8\r\n\r\nunframed",
         "",
         1},
        {"such a body that was reset",
         WorkKind::once,
         false,
         {"HTTP/1.1 200 OK\r\n" + kSigned + "\r\nunframed", Then::reset},
         fine,
         "HTTP/1.1 502",
         "",
         "unframed",
         1},
        {"two lengths",
         WorkKind::once,
         false,
         {"HTTP/1.1 200 OK\r\n" + kSigned +
              "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          Then::keep},
         fine,
         "HTTP/1.1 502",
         "",
         "",
         1},
        {"a stream passes event by event",
         WorkKind::stream,
         false,
         {kStreamHead + chunk(event(1)) + chunk(event(2)) + kEnd, Then::keep},
         fine,
         "HTTP/1.1 200",
         chunk(event(1)) + chunk(event(2)) + kEnd,
         "",
         1},
        {"a stream without events is complete",
         WorkKind::stream,
         true,
         {kStreamHead + kEnd, Then::keep},
         fine,
         "HTTP/1.1 200 OK\r\n",
         "Content-Length: 0",
         "",
         1},
        {"a broken stream goes on elsewhere",
         WorkKind::stream,
         true,
         {kStreamHead + chunk(event(1) + "id: 2\nda"), Then::reset},
         {kStreamHead + chunk(event(1)) + chunk(event(2)) + kEnd, Then::keep},
         "HTTP/1.1 200",
         chunk(event(1)) + chunk(event(2)) + kEnd,
         "da\r\n",
         2},
        {"an unframed stream that ends between events is complete",
         WorkKind::stream,
         true,
         {kUnframedHead + event(1) + event(2), Then::close},
         fine,
         "HTTP/1.1 200",
         chunk(event(1)) + chunk(event(2)) + kEnd,
         "",
         1},
        {"an unframed stream that ends inside an event goes on elsewhere",
         WorkKind::stream,
         true,
         {kUnframedHead + event(1) + "id: 2\nda", Then::close},
         {kStreamHead + chunk(event(2)) + kEnd, Then::keep},
         "HTTP/1.1 200",
         chunk(event(1)) + chunk(event(2)) + kEnd,
         "da\r\n",
         2},
        {"an unframed stream that ends before its first event goes elsewhere",
         WorkKind::stream,
         true,
         {kUnframedHead, Then::close},
         {kStreamHead + chunk(event(1)) + kEnd, Then::keep},
         "HTTP/1.1 200",
         chunk(event(1)) + kEnd,
         "",
         2},
        {"a silent stream goes on elsewhere",
         WorkKind::stream,
         true,
         {kStreamHead + chunk(event(1)), Then::hang},
         {kStreamHead + chunk(event(2)) + kEnd, Then::keep},
         "HTTP/1.1 200",
         chunk(event(1)) + chunk(event(2)) + kEnd,
         "",
         2},
        {"a stream that may not go on breaks off",
         WorkKind::stream,
         false,
         {kStreamHead + chunk(event(1)), Then::reset},
         fine,
         "HTTP/1.1 200",
         chunk(event(1)),
         kEnd,
         1},
        {"a stream that goes on as something else breaks off",
         WorkKind::stream,
         true,
         {kStreamHead + chunk(event(1)), Then::reset},
         {whole(200, "other"), Then::keep},
         "HTTP/1.1 200",
         chunk(event(1)),
         kEnd,
         2},
        {"an interim answer is passed over",
         WorkKind::once,
         false,
         {"HTTP/1.1 100 Continue\r\n\r\n" + whole(200, "fine"), Then::keep},
         fine,
         "HTTP/1.1 200",
         "fine",
         "100",
         1},
    };
    for (const Row& row : rows) check(row);
  }

  /// A status below 100 was taken for that of an interim answer: the request was held until its
  /// time limit, and what its body said could become the answer.
  void statusesOutsideTheProtocolByTable() {
    const UpstreamScript fine{whole(200, "fine")};
    const auto answer = [](const std::string& status, std::size_t length) {
      return "HTTP/1.1 " + status + " X\r\n" + kSigned +
             "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    for (const std::string status : {"000", "007", "099", "101"}) {
      const UpstreamScript invalid{answer(status, 2) + "no"};
      const std::string forged = whole(200, "forged");
      const UpstreamScript late{answer(status, forged.size()), Then::keep, Millis(50), forged};
      const std::vector<Row> rows{
          {"", WorkKind::once, false, invalid, fine, "HTTP/1.1 502", "", "fine", 1},
          {"", WorkKind::once, false, late, fine, "HTTP/1.1 502", "", "forged", 1},
          {"", WorkKind::repeatable, false, invalid, fine, "HTTP/1.1 200", "fine", "no", 2},
          {"", WorkKind::stream, true, late, fine, "HTTP/1.1 200", "fine", "forged", 2},
      };
      for (Row row : rows) {
        row.name = status;
        check(row);
      }
    }
    for (const int status : {600, 999}) {
      check({"not assigned",
             WorkKind::once,
             false,
             {whole(status, "odd")},
             fine,
             "HTTP/1.1 " + std::to_string(status),
             "odd",
             "fine",
             1});
    }
  }

  void hidesTheKeyAndSetsItsOwnFields() {
    ScriptedUpstream upstream({{whole(200, "fine"), Then::keep}});
    GatewayRig rig;
    Route route = plainRoute(WorkKind::once);
    route.allowsAnonymous = false;
    GatewaySettings settings = settingsWith(route);
    GatewayOrganisation organisation;
    organisation.name = OrganisationName("org");
    organisation.keys = {"key1"};
    settings.organisations = {organisation};
    rig.setSettings(settings);
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(requestText("POST",
                            "Authorization: Bearer key1\r\nHallchute-Tenant: forged\r\n"
                            "Hallchute-Deadline-Ms: 900\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                            "Hallchute-Model: m\r\n",
                            "body"));
    CPPUNIT_ASSERT(caller.read("fine").find("200") != std::string::npos);
    const std::string seen = upstream.requests().at(0);
    for (const char* part :
         {"POST /s/x HTTP/1.1\r\n", "Host: h.example\r\n", "Hallchute-Attempt-Id: q1\r\n",
          "Hallchute-Tenant: org\r\n", "Hallchute-Expect-Replica: i-1\r\n",
          "Hallchute-Model: m\r\n", "\r\n\r\nbody"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(part) + " in " + seen,
                             seen.find(part) != std::string::npos);
    }
    for (const char* part : {"key1", "forged", "X-Hop", "Deadline-Ms: 900\r\nHallchute-D"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(part) + " in " + seen,
                             seen.find(part) == std::string::npos);
    }
  }

  /// A request that named two thousand million tokens and ran nowhere stayed charged at the other
  /// daemons, which refused its organisation for a day.
  void aRequestIsChargedNoMoreThanAReplicaHolds() {
    ScriptedUpstream upstream({{whole(200, "fine"), Then::keep}});
    GatewayRig rig;
    GatewaySettings settings = settingsForOneOrganisation(plainRoute(WorkKind::once));
    settings.organisations[0].countsTokens = true;
    settings.organisations[0].rate = 1;
    settings.organisations[0].burst = 400;
    settings.services[0].engine = EngineTraits{8, 5'000};
    rig.setSettings(settings);
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(requestText(
        "POST", "Authorization: Bearer key1\r\nHallchute-Token-Counts: 10,2147483647\r\n", "{}"));
    CPPUNIT_ASSERT(caller.read("\r\n\r\n").starts_with("HTTP/1.1 200"));
    rig.loop().call([&] {
      CPPUNIT_ASSERT_EQUAL(5'000.0, rig.engine().quota().spent().at(OrganisationName("org")));
    });
  }

  /// The request that is about to be dispatched gave up what followed it on its own connection.
  void whatFollowsARequestGivesWayToIt() {
    ScriptedUpstream upstream({{whole(200, "fine"), Then::keep}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    constexpr std::size_t kBody = 50'000;
    rig.loop().call([&] { rig.memory().setLimits({kBody + 2'000, kBody + 2'000}); });
    RawCaller caller(rig.address());
    const std::string request = requestText("POST", "", std::string(kBody, 'a'));
    caller.send(request + request + request);
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(caller.ended());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests().size());
    rig.loop().call([&] { CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.memory().held()); });
  }

  void refusesByTable() {
    ScriptedUpstream upstream({{whole(200, "fine"), Then::keep}});
    GatewayRig rig;
    const auto ask = [&](const std::string& text) {
      RawCaller caller(rig.address());
      caller.send(text);
      return caller.read("\r\n\r\n");
    };
    // No settings are known yet: the refusal has a retry delay.
    std::string answer = ask(requestText("GET"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(answer.find("Retry-After: 0.") != std::string::npos);
    Route route = plainRoute(WorkKind::once);
    route.allowsAnonymous = false;
    GatewaySettings settings = settingsWith(route);
    GatewayOrganisation organisation;
    organisation.name = OrganisationName("org");
    organisation.keys = {"key1"};
    // A daemon that has just started holds 500 of the rig's tolerance: one request of 400.
    organisation.countsTokens = true;
    organisation.defaultTokens = 400;
    organisation.rate = 1;
    organisation.burst = 10'000;
    settings.organisations = {organisation};
    rig.setSettings(settings);
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    const std::string key = "Authorization: Bearer key1\r\n";
    answer = ask("GET /other HTTP/1.1\r\nHost: h.example\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 404"));
    answer = ask(requestText("GET", "Authorization: Bearer nobody\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 401"));
    answer = ask(requestText("GET", key));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    answer = ask(requestText("GET", key));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 429"));
    CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
    // Possibly stale settings must not deny what newer ones may allow.
    rig.loop().call([&] { rig.engine().setSettingsMayBeStale(true); });
    answer = ask(requestText("GET", "Authorization: Bearer nobody\r\n"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    rig.loop().call([&] { rig.engine().refuseNewRequests(); });
    answer = ask(requestText("GET", key));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.requests().size());
  }

  /// Guards against requests to an upstream that ends soon, when only its answers tell of it. The
  /// store may still list it as ready, and lists it anew meanwhile.
  void anUpstreamThatSaysItLeavesGetsNoMoreRequests() {
    ScriptedUpstream leaves({{whole(200, "fine", kSigned + "Server-Leaving: 1\r\n"), Then::keep}});
    ScriptedUpstream stays({{whole(200, "fine"), Then::keep}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    const std::vector<UpstreamRecord> records{upstreamAt("i-1", leaves.address()),
                                              upstreamAt("i-2", stays.address())};
    rig.setUpstreams({records[0]});
    for (int i = 0; i < 10; ++i) {
      RawCaller caller(rig.address());
      // Another id draws another upstream where both are idle.
      std::string request = requestText("GET");
      request.replace(request.find("q1"), 2, "q" + std::to_string(i));
      caller.send(request);
      CPPUNIT_ASSERT(caller.read("fine").find("HTTP/1.1 200") == 0);
      rig.setUpstreams(records);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaves.requests().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, stays.requests().size());
  }

  void callerLeavingStopsTheUpstream() {
    ScriptedUpstream upstream({{"", Then::hang}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(requestText("GET"));
    waitUntil([&] { return upstream.requests().size() == 1; });
    caller.close();
    waitUntil([&] { return upstream.cancelled() == 1; });
  }

  /// A request sent into a partition waits in the kernel's queue and is dropped with its
  /// connection: nothing ran, however long its answer was waited for. Usage counted it as a run: of
  /// 1141 requests reported for a window around the partition of a domain, 1048 had started.
  void aRequestThatNeverArrivedIsNoRun() {
    struct Row {
      const char* story;
      bool upstreamReads;
      /// Where the upstream reads, it has all of the request long before: only then it is a run.
      Millis timeLimit;
      std::uint64_t runs;
    };
    const std::vector<Row> rows{{"taken up and never answered", true, Millis(3'000), 1},
                                {"held up on the way", false, Millis(300), 0}};
    const std::string body(std::size_t{1} << 20U, 'x');
    for (const Row& row : rows) {
      ScriptedUpstream hangs({{"", Then::hang}});
      Poco::Net::ServerSocket deaf;
      deaf.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
      deaf.setReceiveBufferSize(4'096);
      deaf.listen();
      GatewayRig rig;
      Route route = plainRoute(WorkKind::once);
      route.timeLimit = row.timeLimit;
      rig.setSettings(settingsForOneOrganisation(route));
      rig.setUpstreams(
          {upstreamAt("i-1", row.upstreamReads ? hangs.address() : deaf.address().toString())});
      RawCaller caller(rig.address());
      caller.send(requestText("POST", "Authorization: Bearer key1\r\n", body));
      CPPUNIT_ASSERT_MESSAGE(row.story, caller.read("\r\n\r\n").starts_with("HTTP/1.1 504"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.upstreamReads, hangs.requests().size() == 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.runs, runsOf(rig));
    }
  }

  /// While all engines were behind, a window was reported with 2665 requests of 942: streams that
  /// were given up while they waited counted, and what was tried again counted once more.
  void aRequestCountsOnceAndOnlyIfItBegan() {
    struct Row {
      const char* story;
      WorkKind kind;
      UpstreamScript first;
      std::uint64_t runs;
    };
    const UpstreamScript fine{whole(200, "fine"), Then::keep};
    const std::vector<Row> rows{
        {"fails and is tried again", WorkKind::repeatable, {whole(500, "oops"), Then::keep}, 1},
        {"a stream that waits is given up", WorkKind::stream, {"", Then::hang}, 0},
    };
    for (const Row& row : rows) {
      ScriptedUpstream upstream({row.first, fine});
      ScriptedUpstream other({row.first, fine});
      GatewayRig rig;
      Route route = plainRoute(row.kind);
      route.timeLimit = Millis(600);
      rig.setSettings(settingsForOneOrganisation(route));
      std::vector<UpstreamRecord> upstreams{upstreamAt("i-1", upstream.address())};
      if (row.kind == WorkKind::repeatable) {
        upstreams.push_back(upstreamAt("i-2", other.address()));
      }
      rig.setUpstreams(upstreams);
      RawCaller caller(rig.address());
      caller.send(requestText("POST", "Authorization: Bearer key1\r\n", "{}"));
      caller.read("\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.runs, runsOf(rig));
    }
  }

  void surplusAnswerIsNeverTakenForTheNext() {
    const std::string late =
        whole(200, "late", "Hallchute-Attempt-Id: other\r\nHallchute-Replica-Signature: sig\r\n");
    ScriptedUpstream upstream(
        {{whole(200, "one"), Then::keep}, {late + whole(200, "two"), Then::keep}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(requestText("GET"));
    CPPUNIT_ASSERT(caller.read("one").find("one") != std::string::npos);
    caller.send(requestText("GET"));
    const std::string both = caller.read("two");
    CPPUNIT_ASSERT_MESSAGE(both, both.find("two") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(both, both.find("late") == std::string::npos);
  }

 private:
  /// The route is for organisation `org` with key `key1` alone.
  static GatewaySettings settingsForOneOrganisation(Route route) {
    route.allowsAnonymous = false;
    GatewaySettings settings = settingsWith(route);
    GatewayOrganisation organisation;
    organisation.name = OrganisationName("org");
    organisation.keys = {"key1"};
    settings.organisations = {organisation};
    return settings;
  }
  /// Requests that the rig counted as started, in all windows.
  static std::uint64_t runsOf(GatewayRig& rig) {
    std::uint64_t runs = 0;
    rig.loop().call([&] {
      for (const auto& [window, counts] : rig.engine().usage().counts()) {
        for (const auto& [name, count] : counts) runs += count;
      }
    });
    return runs;
  }
  template <typename Condition>
  static void waitUntil(const Condition& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE("the condition never held", std::chrono::steady_clock::now() < end);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  static void check(const Row& row) {
    ScriptedUpstream first({row.first});
    ScriptedUpstream second({row.second});
    GatewayRig rig;
    Route route = plainRoute(row.kind);
    route.resumable = row.resumable;
    rig.setSettings(settingsWith(route));
    // The own failure domain is preferred, so that the first script gets the first request.
    UpstreamRecord farther = upstreamAt("i-2", second.address());
    farther.domain = FailureDomainName("d2");
    rig.setUpstreams({upstreamAt("i-1", first.address()), farther});
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    const std::string answer = caller.readAll();
    const std::string told = row.name + ": " + answer;
    CPPUNIT_ASSERT_MESSAGE(told, caller.ended());
    CPPUNIT_ASSERT_MESSAGE(told, answer.starts_with(row.expectedStart));
    CPPUNIT_ASSERT_MESSAGE(told, answer.find(row.expectedPart) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
        told, row.forbidden.empty() || answer.find(row.forbidden) == std::string::npos);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(told, row.arrivals,
                                 first.requests().size() + second.requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TrafficContractTest);

}  // namespace
