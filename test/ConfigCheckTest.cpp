// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "UnusedAddress.h"
#include "platform/ConfigReport.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/StandinServer.h"

namespace {

using namespace Hallchute;
using Result = ConfigReport::Result;

const std::string kRoute =
    R"({"name":"r","host":"h","path-prefix":"/a/","kind":"safe","service":"s","timeout-ms":1000,)"
    R"("target-latency-ms":100,"max-attempts":2})";
const std::string kService = R"({"name":"s"})";
const std::string kTenant = R"({"name":"t","api-keys":["secret"],"rate-per-s":5,"burst":9})";

std::string config(const std::string& routes = kRoute, const std::string& services = kService,
                   const std::string& tenants = kTenant) {
  return R"({"version":3,"routes":[)" + routes + R"(],"services":[)" + services +
         R"(],"tenants":[)" + tenants + "]}";
}

/// \p entry with \p from replaced by \p to.
std::string with(std::string entry, const std::string& from, const std::string& to) {
  return entry.replace(entry.find(from), from.size(), to);
}

/// Guards against a configuration that is stored although the daemons refuse it, or do something
/// else by it than was meant.
class ConfigCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigCheckTest);
  CPPUNIT_TEST(configurationsByTable);
  CPPUNIT_TEST(differencesByTable);
  CPPUNIT_TEST(theCommandsExitCodeIsTheResult);
  CPPUNIT_TEST(theConfigurationInForceIsReadFromTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void configurationsByTable() {
    struct Row {
      std::string config;
      Result result;
      /// In the text; empty: there is no finding.
      std::string line;
    };
    const std::string once = with(kRoute, "safe", "unsafe");
    const std::string stream = with(kRoute, "safe", "streaming");
    const std::vector<Row> rows{
        {config(), Result::clean, "no findings"},
        {"{", Result::unreadable, "can't be read"},
        {"[]", Result::unreadable, "can't be read"},
        {R"({"version":"x"})", Result::errors, "error"},
        {R"({"version":3,"routes":{}})", Result::errors, "error /routes: "},
        {config(""), Result::errors, "error /routes: there are no routes"},
        {config(with(kRoute, R"("service":"s",)", "")), Result::errors, "has no service"},
        {config(with(kRoute, R"(:"s")", R"(:"x")")), Result::errors,
         "error /routes/r: there is no service x"},
        {config(kRoute + "," + with(kRoute, R"("r")", R"("q")")), Result::warnings,
         "warning /routes/q: can never match: route r before"},
        {config(kRoute + "," + with(kRoute, "/a/", "/b/")), Result::warnings, "the same name"},
        {config(with(kRoute, "/a/", "a/")), Result::warnings, "can never match"},
        {config(with(kRoute, "/a/", "/a?b")), Result::warnings, "can never match"},
        {config(with(kRoute, R"("h")", R"("h:80")")), Result::warnings, "can never match"},
        {config(with(kRoute, R"("h")", R"("")")), Result::warnings, "name no host"},
        {config(with(kRoute, R"("service":"s")", R"("split":[{"service":"s","weight":0}])")),
         Result::errors, "all weights are zero"},
        {config(with(kRoute, R"("service":"s")",
                     R"("split":[{"service":"s"},{"service":"s","weight":0}])")),
         Result::warnings, "weight zero"},
        {config(with(kRoute, ":1000", ":0")), Result::errors, "the time limit is zero"},
        {config(with(kRoute, ":100,", ":1001,")), Result::warnings,
         "the latency objective of 1001 ms is beyond the time limit of 1000 ms"},
        {config(with(stream, R"("max)", R"("resumable":true,"gap-aim-ms":2000,"max)")),
         Result::warnings, "the gap objective of 2000 ms is beyond"},
        {config(with(kRoute, R"("max)", R"("gap-aim-ms":20,"max)")), Result::warnings,
         "the gap objective has no effect"},
        {config(with(kRoute, ":2}", ":0}")), Result::errors, "no upstream may run"},
        {config(once), Result::warnings, "2 runs have no effect"},
        {config(stream), Result::warnings, "2 runs have no effect"},
        {config(with(stream, ":2}", R"(:1,"resumable":true})")), Result::warnings, "once only"},
        {config(with(kRoute, ":2}", R"(:2,"resumable":true})")), Result::warnings,
         "resumable has no effect"},
        {config(with(kRoute, "safe", "save")), Result::warnings, "kind 'save' is unknown"},
        {config(kRoute, kService, ""), Result::warnings, "open to everyone"},
        {config(kRoute, kService + R"(,{"name":"z"})"), Result::warnings,
         "warning /services/z: no route leads to it"},
        {config(kRoute, kService + "," + kService), Result::errors, "another service"},
        {config(kRoute, R"({"name":"s","max-connections":0})"), Result::errors, "no connections"},
        {config(kRoute, R"({"name":"s","engine":{"slots":0}})"), Result::errors, "no slots"},
        {config(kRoute, R"({"name":"s","autoscale":{"min":3,"max":2}})"), Result::errors,
         "more replicas are required"},
        {config(kRoute, kService, with(kTenant, ":9", ":0.5")), Result::errors,
         "the burst is below one request"},
        {config(kRoute, kService,
                with(kTenant, R"("b)", R"("unit":"tokens","plain-tokens":50,"b)")),
         Result::errors, "the burst is below one request"},
        {config(kRoute, kService, with(kTenant, ":5", ":0")), Result::warnings, "no effect"},
        {config(kRoute, kService, with(kTenant, R"(["secret"])", "[]")), Result::warnings,
         "has no keys"},
        {config(kRoute, kService, kTenant + "," + with(kTenant, R"("t")", R"("u")")),
         Result::errors, "error /tenants/u: shares a key with tenant t"},
    };
    for (const Row& row : rows) {
      const ConfigReport report = checkConfig(row.config, std::nullopt);
      const std::string text = report.asText();
      CPPUNIT_ASSERT_MESSAGE(row.config + "\n" + text, text.find(row.line) != std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, static_cast<int>(row.result),
                                   static_cast<int>(report.result()));
      const std::string result = "\"result\":" + std::to_string(static_cast<int>(row.result));
      CPPUNIT_ASSERT(report.asJson().find(result) != std::string::npos);
    }
  }

  /// Also guards against API keys in the output.
  void differencesByTable() {
    struct Row {
      std::string inForce;
      std::string after;
      std::vector<std::string> paths;
    };
    const std::string newer = with(config(), ":3", ":4");
    const auto changed = [&](const std::string& from, const std::string& to) {
      return with(newer, from, to);
    };
    const std::string two = kRoute + "," + with(with(kRoute, R"("r")", R"("q")"), "/a/", "/b/");
    const std::string swapped = with(with(kRoute, R"("r")", R"("q")"), "/a/", "/b/") + "," + kRoute;
    const std::vector<Row> rows{
        {config(), config(), {}},
        {config(two), config(swapped), {}},
        {config(), newer, {"/version"}},
        {config(), changed(":1000", ":900"), {"/routes/r/timeout-ms", "/version"}},
        {config(), changed(R"("secret")", R"("other")"), {"/version", "/tenants/t/api-keys"}},
        {config(), changed(R"("secret")", R"("secret","b")"), {"/tenants/t/api-keys", "/version"}},
    };
    for (const Row& row : rows) {
      const ConfigReport report = checkConfig(row.after, row.inForce);
      std::vector<std::string> paths;
      for (const JsonDifference& difference : report.differences) paths.push_back(difference.path);
      CPPUNIT_ASSERT_MESSAGE(report.asText(), row.paths == paths);
      CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(report.result()));
      const std::string output = report.asText() + report.asJson();
      CPPUNIT_ASSERT_MESSAGE(output, output.find("secret") == std::string::npos);
    }
    const ConfigReport old = checkConfig(with(config(), ":1000", ":900"), config());
    CPPUNIT_ASSERT(old.asText().find("daemons ignore the change") != std::string::npos);
    CPPUNIT_ASSERT(checkConfig(config(), "{").result() == Result::unreadable);
  }

  void theCommandsExitCodeIsTheResult() {
    CPPUNIT_ASSERT_EQUAL(0, exitCode(config()));
    CPPUNIT_ASSERT_EQUAL(1, exitCode(config(kRoute, kService, "")));
    CPPUNIT_ASSERT_EQUAL(2, exitCode(config("")));
    CPPUNIT_ASSERT_EQUAL(3, exitCode("{"));
    CPPUNIT_ASSERT_EQUAL(3, exitCode(config(), "--against=/nonexistent"));
    CPPUNIT_ASSERT_EQUAL(0, exitCode(config(), "--json"));
    CPPUNIT_ASSERT_EQUAL(3, exitCode(config(), "--store=" + unusedAddress()));
  }

  void theConfigurationInForceIsReadFromTheStore() {
    Standin::ObjectStoreStandin store;
    const Standin::StandinServer server(
        "127.0.0.1:0",
        [&](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
          store.handle(request, response);
        });
    const std::string flag = "--store=" + server.address();
    CPPUNIT_ASSERT_EQUAL(0, exitCode(config(), flag));
    Findings findings;
    store.put("config", "main", parseJsonObject(config(), findings));
    CPPUNIT_ASSERT_EQUAL(0, exitCode(config(), flag));
    // The version in force is not below that of the change.
    CPPUNIT_ASSERT_EQUAL(1, exitCode(with(config(), ":1000", ":900"), flag));
  }

 private:
  static int exitCode(const std::string& text, const std::string& flags = "") {
    std::string path = (std::filesystem::temp_directory_path() / "hallchute-XXXXXX").string();
    close(mkstemp(path.data()));
    std::ofstream(path) << text;
    const std::string command = std::string(HALLCHUTE_BINARY) + " check-config --file=" + path +
                                " " + flags + " >/dev/null";
    const int status = std::system(command.c_str());
    std::remove(path.c_str());
    return WEXITSTATUS(status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);

}  // namespace
