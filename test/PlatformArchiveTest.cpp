// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "platform/PlatformArchive.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <absl/status/status.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "Hallchute/Net"
#include "Hallchute/Settings"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Node/ObjectFollower.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/StandinServer.h"

namespace {

using namespace Hallchute;

const ServiceName kService("s");

StreamOrigin origin(std::uint64_t key, const char* version) {
  return {StreamKey{key}, kService, SoftwareVersion(version)};
}

/// Guards against an archive that other daemons can't read, or that other programs spoil.
class PlatformArchiveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformArchiveTest);
  CPPUNIT_TEST(keepsThePartsOfAllWriters);
  CPPUNIT_TEST(versionsThatCameAndWentAreFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keepsThePartsOfAllWriters() {
    ArchivedOrigins part{DaemonId("a"), 0, {}, {}};
    part.versions = {40, true, {}};
    for (const char* version : {"v1", "v2"})
      part.versions.add({kService, SoftwareVersion(version)});
    // One of a version that is no longer listed, and one whose version can't be told.
    part.streams = {origin(1, "v1"), origin(0xfedcba9876543210, "v0"), origin(3, "")};
    const auto created = archive_.write(part);
    CPPUNIT_ASSERT(created.ok());
    // A daemon that has just started doesn't overwrite what it hasn't read.
    CPPUNIT_ASSERT(absl::IsAborted(archive_.write(part).status()));
    part.revision = *created;
    part.versions.asOf = 41;
    CPPUNIT_ASSERT(archive_.write(part).ok());
    CPPUNIT_ASSERT(archive_.write({DaemonId("b"), 0, {5, false, {}}, {}}).ok());
    for (const char* foreign : {R"({})", R"({"asOf":9,"complete":true,"versions":[7]})",
                                R"({"asOf":9,"complete":"yes","versions":[]})"}) {
      Findings findings;
      standin_.put("hallchute-streams", "foreign", parseJsonObject(foreign, findings));
      const auto parts = archive_.read();
      CPPUNIT_ASSERT(parts.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(foreign, std::size_t{2}, parts->size());
      const ArchivedOrigins& read = parts->front();
      CPPUNIT_ASSERT(read.writer == DaemonId("a") && read.revision > *created);
      CPPUNIT_ASSERT(read.versions.asOf == 41 && read.versions.complete);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.streams.size());
      for (const StreamOrigin& stream : part.streams) {
        CPPUNIT_ASSERT(std::count(read.streams.begin(), read.streams.end(), stream) == 1);
      }
      CPPUNIT_ASSERT(!parts->back().versions.complete);
    }
  }

  /// Lists alone would miss it.
  void versionsThatCameAndWentAreFound() {
    list("i-1", "v1");
    const auto before = archive_.listVersions();
    CPPUNIT_ASSERT(before.ok() && before->versions.size() == 1);
    list("i-2", "v2");
    standin_.remove("servers", "i-2");
    const auto since = archive_.versionsSince(before->asOf);
    CPPUNIT_ASSERT(since.ok() && since->asOf > before->asOf);
    const auto all = VersionClaim{before->asOf, true, before->versions}.extendedBy(*since);
    CPPUNIT_ASSERT(all && all->versions.size() == 2 && !all->sole(kService));
  }

 private:
  void list(const std::string& id, const std::string& version) {
    Findings findings;
    standin_.put(
        "servers", id,
        parseJsonObject(R"({"service":"s","address":"10.0.0.9:80","zone":"d","version":")" +
                            version + R"(","slots":48,"state":"ready","cold-remaining-ms":0,)" +
                            R"("sequence":4})",
                        findings));
  }

  Standin::ObjectStoreStandin standin_;
  Standin::StandinServer server_{
      "127.0.0.1:0", [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& r) {
        standin_.handle(request, r);
      }};
  ObjectStore store_{server_.address(), "127.0.0.1"};
  PlatformArchive archive_{store_, "servers"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformArchiveTest);

/// Guards against a silent connection to the store that counts as contact.
class SilentStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentStoreTest);
  CPPUNIT_TEST(aSilentWatchEndsWithinTheContactBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// The rest of the bound is for the list that follows.
  void aSilentWatchEndsWithinTheContactBound() {
    constexpr Millis kContact{3'000};
    constexpr Millis kList{200};
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const ObjectStore store(silent.address().toString(), "127.0.0.1");
    const Instant began = clockNow();
    CPPUNIT_ASSERT(!store.watch("servers", 1, watchTimeout(kContact)).ok());
    const auto took = std::chrono::duration_cast<Millis>(clockNow() - began);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms", took + kList < kContact);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentStoreTest);

}  // namespace
