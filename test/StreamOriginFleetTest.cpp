// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/Gateway"
#include "SimulatedFleet.h"

namespace {

using namespace Hallchute;

constexpr int kStepMs = SimulatedFleet::kStepMs;
/// From a stream's first event to its record at another daemon.
constexpr int kTellDelayMs = 80;
constexpr int kMaxListingLagMs = 1'000;
constexpr int kStreamPeriodMs = 20;
constexpr int kMaxStreamMs = 3'000;
/// Longer before the first stream than any stream lasts.
constexpr int kStartMs = -70'000;
/// The share of the streams taken up again that go on; the rule asks for half.
constexpr double kGoOn = 0.5;

constexpr int kRestartMs = 1'500;
constexpr int kCutMs = 2'900;
constexpr int kNever = 1'000'000;

const ServiceName kService("s");

/// A version's replicas are there from one time to another.
struct Release {
  std::string version;
  int fromMs = 0;
  int toMs = 0;
};

struct VersionDay {
  const char* label;
  int daemons;
  std::vector<Release> releases;
  /// When a daemon is killed, again and again; its callers return to others. 0 for never.
  int killPeriodMs = 0;
  SimulatedFleet::Partition partition{};
  /// The fleet's earlier versions, as daemons read them when they start.
  std::vector<std::string> earlier{};
  int lengthMs = 20'000;
  /// When all daemons are killed; they are back, and so are their callers, kRestartMs later.
  std::vector<int> killsOfAll{};
  /// A daemon that starts first reads a copy of the store that is this old.
  int staleMs = 0;
  /// Daemon 0 reaches neither the store nor other daemons from here on, for kCutMs.
  int cutAtMs = kNever;
};

/// Daemons in front of several versions, in virtual time: streams begin, daemons are killed and
/// callers take the streams up again at others.
class VersionFleet {
 public:
  VersionFleet(VersionDay day, unsigned seed)
      : day_(std::move(day)), random_(seed), fleet_(day_.daemons, day_.partition) {
    origins_.resize(static_cast<std::size_t>(day_.daemons));
    listingLag_.resize(origins_.size());
    for (int i = 0; i < day_.daemons; ++i) {
      start(i, kStartMs);
      list(i, kStartMs);
    }
  }

  void run() {
    for (int ms = -3'000; ms < day_.lengthMs; ms += kStepMs) {
      for (int i = 0; i < day_.daemons; ++i) {
        list(i, ms);
        if (!SimulatedFleet::reportsAt(i, ms)) continue;
        FleetReport own;
        fleet_.report(i, own, ms);
        tell(i, origins(i).takeUnreported(at(ms)), ms);
      }
      fleet_.deliver(
          ms, [](int) { return true; }, [](int, const FleetReport&) {});
      deliverTold(ms);
      if (ms < 0) continue;
      if (ms % kStreamPeriodMs == 0) begin(ms);
      if (day_.killPeriodMs > 0 && ms > 0 && ms % day_.killPeriodMs == 0) killOne(ms);
      for (const int killMs : day_.killsOfAll) {
        if (ms == killMs + kRestartMs) restartAll(killMs, ms);
      }
    }
  }

  int mixed() const { return mixed_; }
  int returned() const { return returned_; }
  int wentOn() const { return wentOn_; }
  std::size_t tellings() const { return tellings_; }
  int streams() const { return nextStream_; }

 private:
  struct Stream {
    StreamKey key{};
    std::string version;
    int daemon = 0;
    int endMs = 0;
  };
  struct Told {
    int ms = 0;
    int to = 0;
    StreamOrigin origin;
  };

  static Instant at(int ms) { return SimulatedFleet::at(ms); }
  StreamOrigins& origins(int daemon) { return *origins_[static_cast<std::size_t>(daemon)]; }

  void start(int i, int ms) {
    fleet_.start(i, ms);
    auto& origins = origins_[static_cast<std::size_t>(i)];
    origins = std::make_unique<StreamOrigins>();
    std::vector<ServiceVersion> earlier;
    for (const std::string& version : day_.earlier) {
      earlier.push_back({kService, SoftwareVersion(version)});
    }
    if (!earlier.empty()) origins->noteEarlier(earlier, at(ms));
    listingLag_[static_cast<std::size_t>(i)] = static_cast<int>(random_() % kMaxListingLagMs);
  }
  std::vector<std::string> versionsAt(int ms) const {
    std::vector<std::string> versions;
    for (const Release& release : day_.releases) {
      if (ms >= release.fromMs && ms < release.toMs) versions.push_back(release.version);
    }
    return versions;
  }
  bool isCut(int daemon, int ms) const {
    return daemon == 0 && ms >= day_.cutAtMs && ms < day_.cutAtMs + kCutMs;
  }
  bool reaches(int from, int to, int ms) {
    return !isCut(from, ms) && !isCut(to, ms) && fleet_.reaches(from, to, ms);
  }
  std::vector<std::string> listedAt(int daemon, int ms) const {
    const int readAt = isCut(daemon, ms) ? day_.cutAtMs : ms;
    return versionsAt(readAt - listingLag_[static_cast<std::size_t>(daemon)]);
  }
  /// Daemons begin no streams while all are down.
  bool down(int ms) const {
    return std::any_of(day_.killsOfAll.begin(), day_.killsOfAll.end(),
                       [&](int killMs) { return ms >= killMs && ms < killMs + kRestartMs; });
  }
  void restartAll(int killMs, int ms) {
    told_.clear();
    fleet_.dropReportsUnderWay();
    for (int i = 0; i < day_.daemons; ++i) {
      day_.earlier = versionsAt(killMs - day_.staleMs);
      start(i, ms);
      if (day_.staleMs > 0) listingLag_[static_cast<std::size_t>(i)] = day_.staleMs + kRestartMs;
      list(i, ms);
    }
    for (const Stream& stream : streams_) {
      if (stream.endMs > killMs) takeUp(stream, -1, ms);
    }
    streams_.clear();
  }
  void list(int daemon, int ms) {
    std::vector<UpstreamRecord> records;
    for (const std::string& version : listedAt(daemon, ms)) {
      UpstreamRecord record;
      record.service = kService;
      record.version = SoftwareVersion(version);
      records.push_back(record);
    }
    origins(daemon).noteListed(records, at(ms));
  }

  void begin(int ms) {
    if (down(ms)) return;
    const int daemon = static_cast<int>(random_()) % day_.daemons;
    const std::vector<std::string> versions = listedAt(std::abs(daemon), ms);
    if (versions.empty()) return;
    const Stream stream{StreamOrigins::keyOf(RequestId("a" + std::to_string(nextStream_++))),
                        versions[random_() % versions.size()], std::abs(daemon),
                        ms + static_cast<int>(random_() % kMaxStreamMs)};
    streams_.push_back(stream);
    const StreamOrigin origin{stream.key, kService, SoftwareVersion(stream.version)};
    if (origins(stream.daemon).noteBegan(origin, UpstreamId("i"), at(ms))) {
      tell(stream.daemon, {origin}, ms);
    }
  }
  void tell(int from, const std::vector<StreamOrigin>& told, int ms) {
    for (const StreamOrigin& origin : told) {
      for (const FleetMember& holder : fleet_.view(from).originHolders(origin.stream, at(ms))) {
        ++tellings_;
        if (reaches(from, indexOf(holder), ms)) {
          told_.push_back({ms + kTellDelayMs, indexOf(holder), origin});
        }
      }
    }
  }
  static int indexOf(const FleetMember& member) { return std::stoi(member.address.substr(1)); }
  void deliverTold(int ms) {
    while (!told_.empty() && told_.front().ms <= ms) {
      origins(told_.front().to).merge({&told_.front().origin, 1}, at(ms));
      told_.pop_front();
    }
  }

  void killOne(int ms) {
    int killed = static_cast<int>(random_() % static_cast<unsigned>(day_.daemons));
    if (killed == 0 && day_.cutAtMs != kNever) killed = 1;
    start(killed, ms);
    for (const Stream& stream : streams_) {
      if (stream.daemon == killed && stream.endMs > ms) takeUp(stream, killed, ms);
    }
    std::erase_if(streams_, [&](const Stream& s) { return s.daemon == killed || s.endMs <= ms; });
  }
  void takeUp(const Stream& stream, int killed, int ms) {
    int daemon = static_cast<int>(random_() % static_cast<unsigned>(day_.daemons));
    if (daemon == killed) daemon = (daemon + 1) % day_.daemons;
    ++returned_;
    const std::optional<StreamOriginReply> known = resolve(daemon, stream.key, ms);
    if (!known || known->origin.version.empty()) return;
    ++wentOn_;
    if (known->origin.version.str() != stream.version) ++mixed_;
  }
  std::optional<StreamOriginReply> resolve(int daemon, StreamKey key, int ms) {
    if (const StreamOrigin* own = origins(daemon).find(key)) return StreamOriginReply{*own, true};
    std::optional<StreamOriginReply> conclusion = origins(daemon).reply(key, kService, at(ms));
    for (const FleetMember& holder : fleet_.view(daemon).originHoldersToAsk(key, at(ms))) {
      if (!reaches(daemon, indexOf(holder), ms)) continue;
      auto reply = origins(indexOf(holder)).reply(key, kService, at(ms));
      if (reply && reply->recorded) return reply;
      if (reply) conclusion = reply;
    }
    return conclusion;
  }

  VersionDay day_;
  std::mt19937 random_;
  SimulatedFleet fleet_;
  std::vector<std::unique_ptr<StreamOrigins>> origins_;
  std::vector<int> listingLag_;
  std::deque<Told> told_;
  std::vector<Stream> streams_;
  int nextStream_ = 0;
  int mixed_ = 0;
  int returned_ = 0;
  int wentOn_ = 0;
  std::size_t tellings_ = 0;
};

/// Guards against streams that go on at another version when their daemon is gone, and against
/// refusing those whose version can be known.
class StreamOriginFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginFleetTest);
  CPPUNIT_TEST(keepsVersionsByTable);
  CPPUNIT_TEST(aKillOfAllLeavesVersionsKnown);
  CPPUNIT_TEST(aDaemonOutOfStepMixesNothing);
  CPPUNIT_TEST(saysNothingWhileThereIsOneVersion);
  CPPUNIT_TEST(boundsItsMemory);
  CPPUNIT_TEST(takesBackTheVersionOfAReplacedProcess);
  CPPUNIT_TEST(earlierVersionsStandInForAShortHistory);
  CPPUNIT_TEST_SUITE_END();

  static std::string seenIn(const VersionFleet& fleet) {
    return std::to_string(fleet.wentOn()) + " of " + std::to_string(fleet.returned()) +
           " went on, " + std::to_string(fleet.mixed()) + " mixed";
  }

 public:
  void keepsVersionsByTable() {
    const Release old{"v1", -80'000, 90'000};
    const Release second{"v2", -80'000, 90'000};
    const std::vector<VersionDay> days{
        {"two versions", 7, {old, second}, 400},
        {"a release", 7, {old, {"v2", 5'000, 90'000}}, 300},
        {"a release that is rolled back", 7, {old, {"v2", 5'000, 8'000}}, 300},
        {"three versions", 7, {old, second, {"v3", 4'000, 9'000}}, 400},
        {"a split fleet", 7, {old, second}, 400, {3, 5'000, 12'000}},
        {"a large fleet", 295, {old, second}, 50, {}, {}, 8'000},
        {"a release in a large fleet", 295, {old, {"v2", 3'000, 90'000}}, 50, {}, {}, 8'000},
        {"a split large fleet", 295, {old, second}, 50, {100, 3'000, 7'000}, {}, 8'000},
    };
    for (const VersionDay& day : days) {
      const unsigned seeds = day.daemons > 100 ? 1 : 3;
      for (unsigned seed = 1; seed <= seeds; ++seed) {
        VersionFleet fleet(day, seed);
        fleet.run();
        const std::string told =
            std::string(day.label) + ", seed " + std::to_string(seed) + ": " + seenIn(fleet);
        CPPUNIT_ASSERT_MESSAGE(told, fleet.returned() >= 12);
        // Two in a day are allowed.
        CPPUNIT_ASSERT_MESSAGE(told, fleet.mixed() <= 2);
        CPPUNIT_ASSERT_MESSAGE(told, fleet.wentOn() >= kGoOn * fleet.returned());
      }
    }
  }

  /// Callers took streams up again after a kill of all daemons, and all were refused.
  void aKillOfAllLeavesVersionsKnown() {
    const Release old{"v1", -80'000, 90'000};
    for (const int daemons : {1, 7, 77}) {
      VersionFleet fleet({"kills of all",
                          daemons,
                          {old, {"v2", 4'000, 90'000}},
                          0,
                          {},
                          {},
                          16'000,
                          {6'000, 11'000}},
                         1);
      fleet.run();
      const std::string seen = std::to_string(daemons) + " daemons: " + seenIn(fleet);
      CPPUNIT_ASSERT_MESSAGE(seen, fleet.returned() >= 12);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 0, fleet.mixed());
      CPPUNIT_ASSERT_MESSAGE(seen, fleet.wentOn() >= kGoOn * fleet.returned());
    }
  }

  /// A daemon that read an old copy of the store, or was cut off, took the version before the
  /// release for the only one.
  void aDaemonOutOfStepMixesNothing() {
    const Release old{"v1", -80'000, 90'000};
    const Release next{"v2", 5'000, 90'000};
    const std::vector<VersionDay> days{
        {"a stale first read", 7, {old, next}, 0, {}, {}, 9'000, {6'500}, 2'000},
        {"a version gone before the restart",
         7,
         {old, {"v2", 4'000, 6'400}},
         0,
         {},
         {},
         9'000,
         {6'500},
         3'000},
        {"a cut", 7, {old, next}, 200, {}, {}, 9'000, {}, 0, 5'100}};
    std::string seen;
    int mixed = 0;
    for (const VersionDay& day : days) {
      VersionFleet fleet(day, 1);
      fleet.run();
      seen += std::string(day.label) + ": " + seenIn(fleet) + "; ";
      CPPUNIT_ASSERT_MESSAGE(seen, fleet.returned() >= 12);
      mixed += fleet.mixed();
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 0, mixed);
  }

  void saysNothingWhileThereIsOneVersion() {
    // Daemons that have just started know no others yet, but the versions before them.
    VersionFleet fleet({"one version", 7, {{"v1", -80'000, 90'000}}, 400, {}, {"v1"}}, 1);
    fleet.run();
    CPPUNIT_ASSERT_EQUAL(fleet.returned(), fleet.wentOn());
    VersionFleet quiet({"one version, no kills", 7, {{"v1", -80'000, 90'000}}}, 1);
    quiet.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quiet.tellings());
  }

  void boundsItsMemory() {
    StreamOrigins origins;
    for (std::size_t i = 0; i < 3 * StreamOrigins::kMaxStreams; ++i) {
      const StreamKey key = StreamOrigins::keyOf(RequestId(std::to_string(i)));
      origins.noteBegan({key, kService, SoftwareVersion("v1")}, UpstreamId("i"),
                        SimulatedFleet::at(static_cast<int>(i)));
      CPPUNIT_ASSERT(origins.size() <= StreamOrigins::kMaxStreams);
      CPPUNIT_ASSERT(origins.find(key) != nullptr);
    }
    origins.sweep(SimulatedFleet::at(0) + Millis(3 * StreamOrigins::kMaxStreams) +
                  StreamOrigins::kRetention);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, origins.size());
  }

  /// Another daemon may have been told the version of the process before.
  void takesBackTheVersionOfAReplacedProcess() {
    StreamOrigins first;
    StreamOrigins other;
    const StreamOrigin before{StreamKey{1}, kService, SoftwareVersion("v1")};
    const StreamOrigin since{StreamKey{2}, kService, SoftwareVersion("v1")};
    first.noteBegan(before, UpstreamId("i"), SimulatedFleet::at(100));
    first.noteBegan(since, UpstreamId("i"), SimulatedFleet::at(300));
    other.merge(std::vector{before, since}, SimulatedFleet::at(310));
    const std::vector<StreamOrigin> unknown =
        first.noteReplaced(UpstreamId("i"), SimulatedFleet::at(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unknown.size());
    other.merge(unknown, SimulatedFleet::at(400));
    for (const StreamOrigins* origins : {&first, &other}) {
      CPPUNIT_ASSERT(origins->find(before.stream)->version == before.version);
      CPPUNIT_ASSERT(origins->find(since.stream)->version.empty());
    }
  }

  void earlierVersionsStandInForAShortHistory() {
    UpstreamRecord record;
    record.service = kService;
    record.version = SoftwareVersion("v1");
    const Instant now = SimulatedFleet::at(0);
    struct Row {
      const char* story;
      std::optional<std::vector<std::string>> earlier;
      bool known;
    };
    const std::vector<Row> rows{
        {"nothing is known of the time before", std::nullopt, false},
        {"the fleet served nobody before", std::vector<std::string>{}, true},
        {"it had the same version", std::vector<std::string>{"v1"}, true},
        {"another one was there", std::vector<std::string>{"v1", "v2"}, false}};
    for (const Row& row : rows) {
      StreamOrigins origins;
      if (row.earlier) {
        std::vector<ServiceVersion> earlier;
        for (const std::string& v : *row.earlier) earlier.push_back({kService, SoftwareVersion(v)});
        origins.noteEarlier(earlier, now);
      }
      origins.noteListed({&record, 1}, now);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.known,
                                   origins.soleVersion(kService, now).has_value());
      const Instant later = now + VersionHistory::kHorizon;
      CPPUNIT_ASSERT_MESSAGE(row.story, origins.soleVersion(kService, later) == record.version);
      origins.setDirectoryCurrent(false, later);
      CPPUNIT_ASSERT_MESSAGE(row.story, !origins.soleVersion(kService, later));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginFleetTest);

}  // namespace
