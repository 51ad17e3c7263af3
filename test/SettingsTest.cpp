// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

#include "Hallchute/Settings"

namespace {

using namespace Hallchute;

JsonObject json(const std::string& text) {
  Findings findings;
  return parseJsonObject(text, findings);
}

SettingsChange change(std::uint64_t number, const std::string& patch) {
  SettingsChange made;
  made.number = number;
  made.id = "id" + std::to_string(number);
  made.author = "a";
  made.reason = "r";
  made.at = "t";
  made.patch = json(patch);
  return made;
}

std::string maxQueue(int value) {
  return R"({"fleet":{"policy":{"maxQueue":)" + std::to_string(value) + "}}}";
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(faultsAreReportedTogetherWithTheirPlaces);
  CPPUNIT_TEST(soundTreesHaveNoFindings);
  CPPUNIT_TEST(brokenJsonNamesItsLine);
  CPPUNIT_TEST(theMostParticularLevelWins);
  CPPUNIT_TEST(tokensAreFoundByTheirHash);
  CPPUNIT_TEST(mergePatchFollowsItsStandard);
  CPPUNIT_TEST(differencesNameEachLeaf);
  CPPUNIT_TEST(changesReadBackAsWritten);
  CPPUNIT_TEST(changesApplyInOrderOnceAndNeverBack);
  CPPUNIT_TEST(snapshotsNeverGoBack);
  CPPUNIT_TEST(peersGetOnlyAnUnbrokenRun);
  CPPUNIT_TEST(theReferencePageIsUpToDate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void faultsAreReportedTogetherWithTheirPlaces() {
    struct Case {
      const char* tree;
      std::vector<std::string> paths;
    };
    const Case cases[] = {
        {R"({"colour":1})", {"/colour"}},
        {R"({"fleet":{"policy":{"maxQueue":-1}}})", {"/fleet/policy/maxQueue"}},
        {R"({"fleet":{"policy":{"maxQueue":"9"}}})", {"/fleet/policy/maxQueue"}},
        {R"({"fleet":{"policy":{"maxQueue":true}}})", {"/fleet/policy/maxQueue"}},
        {R"({"fleet":{"policy":{"maxQueue":1.5}}})", {"/fleet/policy/maxQueue"}},
        {R"({"fleet":{"policy":{"maxQeue":1},"x":2}})", {"/fleet/policy/maxQeue", "/fleet/x"}},
        {R"({"fleet":[]})", {"/fleet"}},
        {R"({"services":{"s":{"kind":"odd"}}})", {"/services/s/kind", "/services/s/defaultClass"}},
        {R"({"services":{"s":{"kind":"model","defaultClass":"c"}}})", {"/services/s/defaultClass"}},
        {R"({"workClasses":{"c":{"priority":10,"repeatable":1}}})",
         {"/workClasses/c/priority", "/workClasses/c/repeatable"}},
        {R"({"organisations":{"o":{"keySha256":["zz",3],"services":["s"]}}})",
         {"/organisations/o/keySha256/1", "/organisations/o/keySha256/0",
          "/organisations/o/services"}},
    };
    for (const Case& c : cases) {
      Findings findings;
      readSettings(json(c.tree), findings);
      std::vector<std::string> paths;
      for (const Finding& finding : findings) paths.push_back(finding.path);
      CPPUNIT_ASSERT_MESSAGE(std::string(c.tree) + "\n" + describe(findings), paths == c.paths);
    }
  }

  void soundTreesHaveNoFindings() {
    for (const char* tree : {"{}", R"({"fleet":{"policy":{"maxQueue":0}}})",
                             R"({"workClasses":{"c":{}},"services":{"s":{"defaultClass":"c"}},
              "organisations":{"o":{"services":["s"]}}})"}) {
      Findings findings;
      readSettings(json(tree), findings);
      CPPUNIT_ASSERT_MESSAGE(describe(findings), findings.empty());
    }
  }

  void brokenJsonNamesItsLine() {
    Findings findings;
    CPPUNIT_ASSERT(!parseJsonObject("{\n\"a\": 1,\n\"b\": }\n", findings));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), findings.size());
    CPPUNIT_ASSERT_MESSAGE(findings[0].message,
                           findings[0].message.find("line") != std::string::npos);
    CPPUNIT_ASSERT(!parseJsonObject("[1]", findings));
    CPPUNIT_ASSERT(!parseJsonObject("", findings));
  }

  void theMostParticularLevelWins() {
    Findings findings;
    const SettingsTree tree =
        readSettings(json(R"({"fleet":{"policy":{"maxQueue":1,"agingMs":11,"maxAttempts":2}},
          "failureDomains":{"d":{"policy":{"maxQueue":2,"agingMs":12}}},
          "workClasses":{"c":{}},
          "services":{"s":{"defaultClass":"c","policy":{"maxQueue":3}}},
          "organisations":{"o":{"policy":{"maxQueue":4}}}})"),
                     findings);
    struct Case {
      PolicyKey key;
      PolicyScope scope;
      std::int64_t value;
      const char* level;
    };
    const FailureDomainName d("d");
    const ServiceName s("s");
    const OrganisationName o("o");
    const Case cases[] = {
        {PolicyKey::maxQueue, {d, s, o}, 4, "organisations/o"},
        {PolicyKey::maxQueue, {d, s, {}}, 3, "services/s"},
        {PolicyKey::maxQueue, {d, {}, {}}, 2, "failureDomains/d"},
        {PolicyKey::maxQueue, {FailureDomainName("e"), {}, {}}, 1, "fleet"},
        {PolicyKey::agingMs, {d, s, o}, 12, "failureDomains/d"},
        {PolicyKey::maxAttempts, {d, s, o}, 2, "fleet"},
        {PolicyKey::stallLimitMs, {d, s, o}, 3'000, "default"},
    };
    for (const Case& c : cases) {
      const ResolvedPolicy answer = tree.explain(c.key, c.scope);
      CPPUNIT_ASSERT_EQUAL(c.value, answer.value);
      CPPUNIT_ASSERT_EQUAL(std::string(c.level), answer.level);
    }
  }

  void tokensAreFoundByTheirHash() {
    Findings findings;
    const SettingsTree tree = readSettings(
        json(R"({"organisations":{"o":{"keySha256":[")" + secretHash("key") + R"("]}}})"),
        findings);
    CPPUNIT_ASSERT(tree.organisationOf("key") != nullptr);
    for (const char* wrong : {"", "Key", "key ", "kez"}) {
      CPPUNIT_ASSERT(tree.organisationOf(wrong) == nullptr);
    }
    // The published test vector of SHA-256 for "abc".
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
        secretHash("abc"));
  }

  void mergePatchFollowsItsStandard() {
    // Rows of the table in appendix A of RFC 7386 whose target and patch are objects.
    struct Case {
      const char* target;
      const char* patch;
      const char* result;
    };
    const Case cases[] = {
        {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
        {R"({"a":"b"})", R"({"a":null})", "{}"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"({"a":"foo"})", R"({"b":{"c":null}})", R"({"a":"foo","b":{}})"},
        {"{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
    };
    for (const Case& c : cases) {
      CPPUNIT_ASSERT_EQUAL(std::string(c.result),
                           jsonText(mergePatch(json(c.target), json(c.patch))));
    }
  }

  void differencesNameEachLeaf() {
    const auto found =
        differences(json(R"({"a":{"b":1,"c":2},"d":{}})"), json(R"({"a":{"b":1,"c":3},"e":[1]})"));
    const std::vector<JsonDifference> expected{
        {"/a/c", "2", "3"}, {"/d", "{}", ""}, {"/e", "", "[1]"}};
    CPPUNIT_ASSERT(found == expected);
    CPPUNIT_ASSERT(differences(json("{}"), json("{}")).empty());
  }

  void changesReadBackAsWritten() {
    SettingsChange written = change(7, maxQueue(3));
    written.reason = "a \"quoted\"\nreason";
    written.differences = {{"/x", "", "3"}};
    Findings findings;
    const SettingsChange read = parseChange(serializeChange(written), findings);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), read.number);
    CPPUNIT_ASSERT_EQUAL(written.reason, read.reason);
    CPPUNIT_ASSERT(written.differences == read.differences);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), parseChange(R"({"number":7})", findings).number);
    CPPUNIT_ASSERT(changeKey(9) < changeKey(10));
    CPPUNIT_ASSERT(changeKey(99'999) < changeKey(100'000));
  }

  void changesApplyInOrderOnceAndNeverBack() {
    ChangeLog log;
    const auto queueNow = [&] {
      return log.activeSettings()->tree.policy(PolicyKey::maxQueue, PolicyScope{});
    };
    CPPUNIT_ASSERT(log.add(change(1, maxQueue(11))));
    CPPUNIT_ASSERT(!log.add(change(3, maxQueue(33))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(11), queueNow());
    CPPUNIT_ASSERT(!log.add(change(1, maxQueue(99))));
    CPPUNIT_ASSERT(log.add(change(2, maxQueue(22))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), log.revision());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(33), queueNow());
    CPPUNIT_ASSERT(!log.add(change(2, maxQueue(99))));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(33), queueNow());
  }

  void snapshotsNeverGoBack() {
    ChangeLog log;
    log.add(change(1, maxQueue(11)));
    log.add(change(6, maxQueue(66)));
    CPPUNIT_ASSERT(log.loadSnapshot(5, json(maxQueue(55))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), log.revision());
    CPPUNIT_ASSERT(!log.loadSnapshot(5, json(maxQueue(55))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), log.revision());
  }

  void peersGetOnlyAnUnbrokenRun() {
    ChangeLog log;
    log.loadSnapshot(10, json("{}"));
    log.add(change(11, maxQueue(1)));
    log.add(change(12, maxQueue(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), log.after(10, 9).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), log.after(10, 1).size());
    // Change 10 is not held: the peer needs the snapshot.
    CPPUNIT_ASSERT(log.after(9, 9).empty());
    CPPUNIT_ASSERT(log.after(12, 9).empty());
  }

  void theReferencePageIsUpToDate() {
    std::ifstream file(HALLCHUTE_SOURCE_DIR "/docs/SETTINGS.md");
    std::stringstream page;
    page << file.rdbuf();
    CPPUNIT_ASSERT_MESSAGE("docs/SETTINGS.md must hold what `hallchute settings reference` prints",
                           page.str().find(settingsReference()) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
