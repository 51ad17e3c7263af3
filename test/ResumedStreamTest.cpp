// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

std::string event(int id, const std::string& version) {
  const std::string text = "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
  constexpr int kHex = 16;
  constexpr const char* kDigits = "0123456789abcdef";
  const auto size = static_cast<int>(text.size());
  return std::string{kDigits[size / kHex], kDigits[size % kHex]} + "\r\n" + text + "\r\n";
}

std::string head() {
  return "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// An upstream of a version, in the failure domain of the daemon or in another one.
struct Replica {
  std::string version;
  std::string domain;
  UpstreamScript script;
};

Replica beginsAndBreaks(const std::string& version, const std::string& domain = "d1") {
  return {version, domain, {head() + event(1, version), Then::reset}};
}
Replica goesOn(const std::string& version, const std::string& domain) {
  return {version, domain, {head() + event(2, version) + "0\r\n\r\n", Then::keep}};
}

/// A daemon in front of upstreams of several versions.
class VersionRig {
 public:
  explicit VersionRig(const std::vector<Replica>& replicas) {
    Route route = plainRoute(WorkKind::stream);
    route.resumable = true;
    route.maxRuns = 3;
    rig.setSettings(settingsWith(route));
    list(replicas);
  }
  /// Replaces the listed upstreams by others.
  void list(const std::vector<Replica>& replicas) {
    std::vector<UpstreamRecord> records;
    for (const Replica& replica : replicas) {
      upstreams_.push_back(std::make_unique<ScriptedUpstream>(std::vector{replica.script}));
      const std::string id = "i-" + std::to_string(upstreams_.size());
      records.push_back(upstreamAt(id, upstreams_.back()->address()));
      records.back().version = SoftwareVersion(replica.version);
      records.back().domain = FailureDomainName(replica.domain);
    }
    rig.setUpstreams(records);
  }
  std::string ask(const std::string& id, const std::string& fields = "") {
    RawCaller caller(rig.address());
    std::string request = requestText("POST", fields + "Connection: close\r\n", "body");
    request.replace(request.find("q1"), 2, id);
    caller.send(request);
    return caller.readAll();
  }
  std::size_t arrivals() const {
    std::size_t count = 0;
    for (const auto& upstream : upstreams_) count += upstream->requests().size();
    return count;
  }

  GatewayRig rig;

 private:
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
};

std::string resumes(const std::string& attempt) {
  return "Last-Event-Id: 1\r\nResumes: " + attempt + "\r\n";
}

bool holds(const std::string& answer, const std::string& version) {
  return answer.find("data: " + version) != std::string::npos;
}

/// Guards against streams whose events come from two software versions: what these write doesn't
/// fit together.
class ResumedStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResumedStreamTest);
  CPPUNIT_TEST(goesOnAtItsVersionWithinAnAnswer);
  CPPUNIT_TEST(breaksOffRatherThanMixVersionsWithinAnAnswer);
  CPPUNIT_TEST(goesOnAtItsVersionWhenTheCallerReturns);
  CPPUNIT_TEST(eachEventComesOnceAndInOrder);
  CPPUNIT_TEST(isRefusedIfItsVersionIsGone);
  CPPUNIT_TEST(isRefusedIfNobodyKnowsItsVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  void goesOnAtItsVersionWithinAnAnswer() {
    VersionRig rig(
        {beginsAndBreaks("v1"), beginsAndBreaks("v2"), goesOn("v1", "d2"), goesOn("v2", "d2")});
    for (int i = 0; i < 6; ++i) {
      const std::string answer = rig.ask("a" + std::to_string(i));
      CPPUNIT_ASSERT_MESSAGE(answer, holds(answer, "v1") != holds(answer, "v2"));
      CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("0\r\n\r\n"));
    }
  }

  void breaksOffRatherThanMixVersionsWithinAnAnswer() {
    VersionRig rig({beginsAndBreaks("v1"), goesOn("v2", "d2")});
    const std::string answer = rig.ask("a1");
    CPPUNIT_ASSERT_MESSAGE(answer, holds(answer, "v1") && !holds(answer, "v2"));
    CPPUNIT_ASSERT_MESSAGE(answer, !answer.ends_with("0\r\n\r\n"));
  }

  /// Also the second time, when the attempt that it names isn't the last one.
  void goesOnAtItsVersionWhenTheCallerReturns() {
    VersionRig rig({beginsAndBreaks("v1")});
    CPPUNIT_ASSERT(holds(rig.ask("a1"), "v1"));
    rig.list({goesOn("v2", "d1"), goesOn("v1", "d2")});
    for (const char* attempt : {"a2", "a3"}) {
      const std::string answer = rig.ask(attempt, resumes("a1"));
      CPPUNIT_ASSERT_MESSAGE(answer, holds(answer, "v1") && !holds(answer, "v2"));
    }
  }

  /// However the run that goes on begins or ends.
  void eachEventComesOnceAndInOrder() {
    const std::string end = "0\r\n\r\n";
    const auto run = [](const std::vector<int>& ids) {
      std::string text = head();
      for (const int id : ids) text += event(id, "v1");
      return text;
    };
    struct Row {
      const char* story;
      UpstreamScript next;
      bool complete;
    };
    const std::vector<Row> rows{
        {"it goes on", {run({2, 3}) + end, Then::keep}, true},
        {"it begins anew", {run({1, 2, 3}) + end, Then::keep}, true},
        {"it repeats an event", {run({2, 2, 3}) + end, Then::keep}, true},
        {"its numbers go back", {run({2, 3, 1, 2}) + end, Then::keep}, true},
        {"it breaks off", {run({2, 3}), Then::reset}, false},
        {"it breaks off within an event", {run({2, 3}) + "15\r\nid: 4\nda", Then::reset}, false}};
    for (const Row& row : rows) {
      VersionRig rig({beginsAndBreaks("v1"), {"v1", "d2", row.next}});
      const std::string answer = rig.ask("a1");
      const std::string story = std::string(row.story) + ": " + answer;
      std::size_t at = 0;
      for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
        const std::size_t found = answer.find(id, at);
        CPPUNIT_ASSERT_MESSAGE(story, found != std::string::npos);
        at = found + 1;
        CPPUNIT_ASSERT_MESSAGE(story, answer.find(id, at) == std::string::npos);
      }
      CPPUNIT_ASSERT_MESSAGE(story, answer.find("id: 4") == std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, row.complete, answer.ends_with(end));
    }
  }

  void isRefusedIfItsVersionIsGone() {
    VersionRig rig({beginsAndBreaks("v1")});
    CPPUNIT_ASSERT(holds(rig.ask("a1"), "v1"));
    rig.list({goesOn("v2", "d1"), goesOn("v3", "d2")});
    // An upstream that is no longer listed remains a last resort unless it leaves.
    rig.rig.loop().call([&] { rig.rig.engine().noteDraining(UpstreamId("i-1")); });
    const std::string answer = rig.ask("a2", resumes("a1"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.arrivals());
  }

  void isRefusedIfNobodyKnowsItsVersion() {
    VersionRig rig({goesOn("v1", "d1"), goesOn("v2", "d1")});
    const std::string answer = rig.ask("a2", resumes("a1"));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, rig.arrivals());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumedStreamTest);

}  // namespace
