// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Hallchute/Fleet"
#include "Hallchute/Gateway"
#include "Hallchute/src/Traffic/OriginArchive.h"
#include "Hallchute/src/Traffic/OriginExchange.h"
#include "Hallchute/src/Traffic/OriginResolver.h"
#include "SimulatedFleet.h"

namespace {

using namespace Hallchute;

constexpr int kStepMs = SimulatedFleet::kStepMs;
/// From a stream's first event to its record at another daemon.
constexpr int kTellDelayMs = 80;
constexpr int kMaxListingLagMs = 1'000;
constexpr int kStreamPeriodMs = 20;
constexpr int kMaxStreamMs = 3'000;
/// Daemons know each other before the first stream.
constexpr int kStartMs = -3'000;
constexpr int kHistoryMs = 20'000;
constexpr int kRestartMs = 1'500;
constexpr int kCutMs = 2'900;
constexpr int kFreezeMs = 2'500;
constexpr int kNever = 1'000'000;
/// Streams that began so long before a kill of all are known after it.
constexpr int kRecordingMs = 500;
/// The share of the streams taken up again that go on; the rule asks for half.
constexpr double kGoOn = 0.5;

const ServiceName kService("s");

ServiceVersion serviceVersion(const std::string& version) {
  return {kService, SoftwareVersion(version)};
}

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
  int lengthMs = 20'000;
  /// When all daemons are killed; they are back, and so are their callers, kRestartMs later.
  std::vector<int> killsOfAll{};
  /// A daemon that starts first reads a copy of the store that is this old.
  int staleMs = 0;
  /// Daemon 0 reaches neither the store nor other daemons from here on, for kCutMs.
  int cutAtMs = kNever;
  /// Daemon 0 stands still from here on, for kFreezeMs.
  int freezeAtMs = kNever;
  /// The archive is lost with the daemons.
  bool losesArchive = false;
  /// Another program served before the fleet's archive was empty.
  bool servedBefore = false;
};

/// The archive and the history of the directory.
class VirtualStore {
 public:
  explicit VirtualStore(std::vector<Release> releases) : releases_(std::move(releases)) {}

  std::vector<std::string> versionsAt(int ms) const {
    std::vector<std::string> versions;
    for (const Release& release : releases_) {
      if (ms >= release.fromMs && ms < release.toMs) versions.push_back(release.version);
    }
    return versions;
  }
  /// The revision of the directory at a time.
  static std::uint64_t revisionAt(int ms) {
    // Times before the start are negative.
    const int revision = ms + 100'000;
    return static_cast<std::uint64_t>(revision);
  }
  VersionClaim listVersions(int ms) {
    ++calls_;
    VersionClaim claim;
    claim.asOf = revisionAt(ms);
    for (const std::string& version : versionsAt(ms)) claim.add(serviceVersion(version));
    return claim;
  }
  std::optional<VersionClaim> versionsSince(std::uint64_t revision, int ms) {
    ++calls_;
    if (revision < revisionAt(ms - kHistoryMs)) return std::nullopt;
    VersionClaim claim;
    claim.asOf = revisionAt(ms);
    for (const Release& release : releases_) {
      for (const int changeMs : {release.fromMs, release.toMs}) {
        const bool isNew = changeMs <= ms && revisionAt(changeMs) > revision;
        if (isNew) claim.add(serviceVersion(release.version));
      }
    }
    return claim;
  }
  std::vector<ArchivedOrigins> read() {
    ++calls_;
    std::vector<ArchivedOrigins> parts;
    for (const auto& [writer, part] : parts_) parts.push_back(part);
    return parts;
  }
  std::optional<std::uint64_t> write(const ArchivedOrigins& part) {
    ++calls_;
    streamsWritten_ += part.streams.size();
    ArchivedOrigins& stored = parts_[part.writer];
    if (stored.revision != part.revision) return std::nullopt;
    stored = part;
    return stored.revision = ++nextRevision_;
  }
  void loseArchive() { parts_.clear(); }
  std::size_t calls() const { return calls_; }
  std::size_t streamsWritten() const { return streamsWritten_; }

 private:
  std::vector<Release> releases_;
  std::map<DaemonId, ArchivedOrigins> parts_;
  std::uint64_t nextRevision_ = 0;
  std::size_t calls_ = 0;
  std::size_t streamsWritten_ = 0;
};

/// Daemons in front of several versions, in virtual time: streams begin, daemons are killed, stand
/// still or are cut off, and callers take the streams up again.
class VersionFleet {
 public:
  VersionFleet(VersionDay day, unsigned seed)
      : day_(std::move(day)),
        random_(seed),
        fleet_(day_.daemons, day_.partition),
        store_(day_.releases),
        daemons_(static_cast<std::size_t>(day_.daemons)) {
    for (int i = 0; i < day_.daemons; ++i) start(i, kStartMs);
  }

  void run() {
    for (now_ = kStartMs; now_ < day_.lengthMs; now_ += kStepMs) {
      if (now_ == day_.freezeAtMs + kFreezeMs) wake();
      for (int i = 0; i < day_.daemons; ++i) {
        if (frozen(i) || !SimulatedFleet::reportsAt(i, now_)) continue;
        FleetReport own;
        if (!isCut(i)) fleet_.report(i, own, now_);
        archive(i);
      }
      fleet_.deliver(
          now_, [this](int i) { return !frozen(i) && !isCut(i); }, [](int, const FleetReport&) {});
      deliverTold();
      if (now_ < 0) continue;
      if (now_ % kStreamPeriodMs == 0) begin();
      if (day_.killPeriodMs > 0 && now_ > 0 && now_ % day_.killPeriodMs == 0) killOne();
      for (const int killMs : day_.killsOfAll) {
        if (now_ == killMs + kRestartMs) restartAll(killMs);
      }
    }
  }

  int mixed() const { return mixed_; }
  int returned() const { return returned_; }
  int wentOn() const { return wentOn_; }
  std::size_t tellings() const { return tellings_; }
  int streams() const { return nextStream_; }
  const VirtualStore& store() const { return store_; }
  std::string seen() const {
    return std::string(day_.label) + ", " + std::to_string(day_.daemons) +
           " daemons: " + std::to_string(wentOn_) + " of " + std::to_string(returned_) +
           " went on, " + std::to_string(mixed_) + " mixed; ";
  }

 private:
  struct Stream {
    StreamKey key{};
    std::string version;
    int daemon = 0;
    int beganMs = 0;
    int endMs = 0;
  };
  struct Told {
    int ms = 0;
    int to = 0;
    StreamOrigin origin;
  };

  class Exchange final : public OriginExchange {
   public:
    Exchange(VersionFleet& fleet, int daemon) : fleet_(fleet), daemon_(daemon) {}
    void tell(std::vector<StreamOrigin> origins) override { fleet_.tell(daemon_, origins); }
    void ask(StreamKey stream, const ServiceName&, ReplySink onReply) override {
      onReply(fleet_.askPeers(daemon_, stream));
    }

   private:
    VersionFleet& fleet_;
    int daemon_;
  };
  class Archive final : public OriginArchive {
   public:
    Archive(VersionFleet& fleet, int daemon) : fleet_(fleet), daemon_(daemon) {}
    void read(StreamKey stream, EvidenceSink onRead) override {
      onRead(fleet_.readArchive(daemon_, stream));
    }

   private:
    VersionFleet& fleet_;
    int daemon_;
  };
  struct Daemon {
    Daemon(VersionFleet& fleet, int index, DaemonId id)
        : exchange(fleet, index), archive(fleet, index), plan(std::move(id)) {
      resolver.setExchange(&exchange);
      resolver.setArchive(&archive);
    }
    StreamOrigins origins;
    OriginResolver resolver{origins};
    Exchange exchange;
    Archive archive;
    ArchivePlan plan;
    int listingLagMs = 0;
  };

  Instant at() const { return SimulatedFleet::at(now_); }
  Daemon& daemon(int i) { return *daemons_[static_cast<std::size_t>(i)]; }
  int drawDaemon() { return static_cast<int>(random_() % static_cast<unsigned>(day_.daemons)); }
  bool isCut(int i) const { return i == 0 && now_ >= day_.cutAtMs && now_ < day_.cutAtMs + kCutMs; }
  bool frozen(int i) const {
    return i == 0 && now_ >= day_.freezeAtMs && now_ < day_.freezeAtMs + kFreezeMs;
  }
  bool reaches(int from, int to) {
    return !isCut(from) && !isCut(to) && !frozen(to) && fleet_.reaches(from, to, now_);
  }
  /// Daemons begin no streams while all are down.
  bool down() const {
    return std::any_of(day_.killsOfAll.begin(), day_.killsOfAll.end(),
                       [&](int killMs) { return now_ >= killMs && now_ < killMs + kRestartMs; });
  }
  static int indexOf(const FleetMember& member) { return std::stoi(member.address.substr(1)); }

  void start(int i, int ms) {
    fleet_.start(i, ms);
    auto& started = daemons_[static_cast<std::size_t>(i)];
    started = std::make_unique<Daemon>(*this, i, DaemonId(std::to_string(i)));
    started->listingLagMs = static_cast<int>(random_() % kMaxListingLagMs);
  }
  std::vector<std::string> listedAt(int i) {
    const int readAt = isCut(i) ? day_.cutAtMs : now_;
    return store_.versionsAt(readAt - daemon(i).listingLagMs);
  }
  void archive(int i) {
    Daemon& own = daemon(i);
    own.resolver.setShards(fleet_.view(i).archiveShards(at()));
    if (own.resolver.shards().owned.empty()) return;
    ArchiveInput input;
    input.streams = own.origins.recorded(own.resolver.shards(), at() - Millis(2 * kMaxStreamMs));
    for (const std::string& version : listedAt(i)) input.listed.push_back(serviceVersion(version));
    for (int step = 0; step < 4; ++step) {
      const ArchiveStep next = own.plan.next(input, at());
      if (std::holds_alternative<ArchiveSteps::Nothing>(next)) return;
      if (isCut(i)) {
        own.plan.noteUnavailable(at());
        return;
      }
      std::visit([&](const auto& s) { perform(own.plan, s); }, next);
    }
  }
  void perform(ArchivePlan&, const ArchiveSteps::Nothing&) {}
  void perform(ArchivePlan& plan, const ArchiveSteps::ReadArchive&) {
    plan.noteArchive(store_.read(), day_.servedBefore, at());
  }
  void perform(ArchivePlan& plan, const ArchiveSteps::ListVersions&) {
    plan.noteListed(store_.listVersions(now_), at());
  }
  void perform(ArchivePlan& plan, const ArchiveSteps::ReadVersions& step) {
    const auto changed = store_.versionsSince(step.since, now_);
    if (changed) {
      plan.noteVersions(*changed, at());
    } else {
      plan.noteHistoryLost();
    }
  }
  void perform(ArchivePlan& plan, const ArchiveSteps::Write& step) {
    const auto revision = store_.write(step.part);
    if (revision) {
      plan.noteWritten(*revision);
    } else {
      plan.noteUncertain();
    }
  }

  void begin() {
    const int at = drawDaemon();
    if (down() || frozen(at)) return;
    const std::vector<std::string> versions = listedAt(at);
    if (versions.empty()) return;
    const Stream stream{StreamOrigins::keyOf(RequestId("a" + std::to_string(nextStream_++))),
                        versions[random_() % versions.size()], at, now_,
                        now_ + static_cast<int>(random_() % kMaxStreamMs)};
    streams_.push_back(stream);
    const StreamOrigin origin{stream.key, kService, SoftwareVersion(stream.version)};
    daemon(at).origins.noteBegan(origin, UpstreamId("i"), this->at());
    tell(at, {origin});
  }
  void tell(int from, const std::vector<StreamOrigin>& told) {
    for (const StreamOrigin& origin : told) {
      for (const FleetMember& holder : fleet_.view(from).originHolders(origin.stream, at())) {
        ++tellings_;
        if (reaches(from, indexOf(holder)))
          told_.push_back({now_ + kTellDelayMs, indexOf(holder), origin});
      }
    }
  }
  void deliverTold() {
    while (!told_.empty() && told_.front().ms <= now_) {
      daemon(told_.front().to).origins.merge({&told_.front().origin, 1}, at());
      told_.pop_front();
    }
  }

  StreamOriginReply askPeers(int from, StreamKey stream) {
    StreamOriginReply best;
    for (const FleetMember& holder : fleet_.view(from).originHoldersToAsk(stream, at())) {
      if (!reaches(from, indexOf(holder))) continue;
      daemon(indexOf(holder))
          .resolver.reply(stream, kService, at(), [&](const StreamOriginReply& reply) {
            best.archiveRead = best.archiveRead || reply.archiveRead;
            if (best.basis == OriginBasis::none && reply.basis != OriginBasis::none) best = reply;
          });
    }
    return best;
  }
  ArchiveEvidence readArchive(int from, StreamKey stream) {
    ArchiveEvidence evidence;
    evidence.readAt = at();
    if (isCut(from)) return evidence;
    evidence.answered = true;
    const std::vector<ArchivedOrigins> parts = store_.read();
    for (const ArchivedOrigins& part : parts) {
      for (const StreamOrigin& origin : part.streams) {
        if (origin.stream == stream) evidence.streams.push_back(origin);
      }
    }
    const VersionClaim* newest = newestComplete(parts);
    const auto since = newest ? store_.versionsSince(newest->asOf, now_) : std::nullopt;
    if (since) evidence.versions = newest->extendedBy(*since);
    return evidence;
  }

  void killOne() {
    int killed = drawDaemon();
    const bool spared = day_.cutAtMs != kNever || day_.freezeAtMs != kNever;
    if (killed == 0 && spared) killed = 1;
    start(killed, now_);
    for (const Stream& stream : streams_) {
      if (stream.daemon == killed && stream.endMs > now_) takeUp(stream, killed);
    }
    std::erase_if(streams_, [&](const Stream& s) { return s.daemon == killed || s.endMs <= now_; });
  }
  void restartAll(int killMs) {
    told_.clear();
    fleet_.dropReportsUnderWay();
    if (day_.losesArchive) store_.loseArchive();
    for (int i = 0; i < day_.daemons; ++i) {
      start(i, now_);
      if (day_.staleMs > 0) daemon(i).listingLagMs = day_.staleMs + kRestartMs;
    }
    for (const Stream& stream : streams_) {
      const bool recorded = stream.beganMs + kRecordingMs < killMs || day_.staleMs > 0;
      if (stream.endMs > killMs && recorded) takeUp(stream, -1);
    }
    streams_.clear();
  }
  void takeUp(const Stream& stream, int killed) {
    int to = drawDaemon();
    if (to == killed) to = (to + 1) % day_.daemons;
    if (frozen(to)) {
      waiting_.push_back(stream);
    } else {
      resolve(to, stream);
    }
  }
  /// What waits on the sockets of a daemon that stood still is handled before anything else.
  void wake() {
    for (const Stream& stream : waiting_) resolve(0, stream);
    waiting_.clear();
  }
  void resolve(int to, const Stream& stream) {
    ++returned_;
    ContinuationEvidence evidence;
    evidence.service = kService;
    evidence.timeLimit = Millis(2 * kMaxStreamMs);
    evidence.askedAt = at();
    daemon(to).resolver.resolve(
        stream.key, evidence, [&](const ContinuationEvidence&, const ContinuationVerdict& verdict) {
          const auto* found = std::get_if<ContinuationVerdicts::Continue>(&verdict);
          if (found == nullptr) return;
          ++wentOn_;
          if (found->version.str() != stream.version) ++mixed_;
        });
  }

  VersionDay day_;
  std::mt19937 random_;
  SimulatedFleet fleet_;
  VirtualStore store_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::deque<Told> told_;
  std::vector<Stream> streams_;
  std::vector<Stream> waiting_;
  int now_ = kStartMs;
  int nextStream_ = 0;
  int mixed_ = 0;
  int returned_ = 0;
  int wentOn_ = 0;
  std::size_t tellings_ = 0;
};

const Release kOld{"v1", -80'000, 90'000};
const Release kSecond{"v2", -80'000, 90'000};

/// Guards against streams that go on at another version when their daemon is gone, and against
/// refusing those whose version can be known.
class StreamOriginFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginFleetTest);
  CPPUNIT_TEST(keepsVersionsByTable);
  CPPUNIT_TEST(aKillOfAllLeavesVersionsKnown);
  CPPUNIT_TEST(aDaemonOutOfStepMixesNothing);
  CPPUNIT_TEST(refusesWithoutAnArchive);
  CPPUNIT_TEST(archivesNoStreamsWhileThereIsOneVersion);
  CPPUNIT_TEST(boundsItsMemory);
  CPPUNIT_TEST(takesBackTheVersionOfAReplacedProcess);
  CPPUNIT_TEST(anArchivedHistoryStandsInForAShortOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keepsVersionsByTable() {
    const std::vector<VersionDay> days{
        {"two versions", 7, {kOld, kSecond}, 400},
        {"a release", 7, {kOld, {"v2", 5'000, 90'000}}, 300},
        {"a release that is rolled back", 7, {kOld, {"v2", 5'000, 8'000}}, 300},
        {"three versions", 7, {kOld, kSecond, {"v3", 4'000, 9'000}}, 400},
        {"a split fleet", 7, {kOld, kSecond}, 400, {3, 5'000, 12'000}},
        {"a large fleet", 295, {kOld, kSecond}, 50, {}, 8'000},
        {"a release in a large fleet", 295, {kOld, {"v2", 3'000, 90'000}}, 50, {}, 8'000},
        {"a split large fleet", 295, {kOld, kSecond}, 50, {100, 3'000, 7'000}, 8'000},
    };
    for (const VersionDay& day : days) {
      const unsigned seeds = day.daemons > 100 ? 1 : 3;
      for (unsigned seed = 1; seed <= seeds; ++seed) expectKept(day, seed, kGoOn);
    }
  }

  /// Callers took streams up again after a kill of all daemons, and all were refused.
  void aKillOfAllLeavesVersionsKnown() {
    for (const int daemons : {1, 7, 77}) {
      expectKept({"kills after a release",
                  daemons,
                  {kOld, {"v2", 4'000, 90'000}},
                  0,
                  {},
                  16'000,
                  {6'000, 11'000}},
                 1, kGoOn);
      expectKept({"a kill of one version", daemons, {kOld}, 0, {}, 9'000, {6'000}}, 1, kGoOn);
    }
  }

  /// A daemon that read an old copy of the store, or was cut off, took the version before the
  /// release for the only one.
  void aDaemonOutOfStepMixesNothing() {
    const Release next{"v2", 5'000, 90'000};
    for (const int daemons : {7, 77}) {
      const int kills = daemons > 7 ? 50 : 200;
      const std::vector<VersionDay> days{
          {"a stale first read", daemons, {kOld, next}, 0, {}, 9'000, {6'500}, 2'000},
          {"a version gone before the restart",
           daemons,
           {kOld, {"v2", 4'000, 6'400}},
           0,
           {},
           9'000,
           {6'500},
           3'000},
          {"a version gone while all were down",
           daemons,
           {kOld, {"v2", 5'000, 7'000}},
           0,
           {},
           9'000,
           {6'500},
           3'000},
          {"a cut", daemons, {kOld, next}, kills, {}, 9'000, {}, 0, 5'100},
          {"standing still", daemons, {kOld, next}, kills, {}, 9'000, {}, 0, kNever, 4'900}};
      for (const VersionDay& day : days) expectKept(day, 1, kGoOn);
    }
  }

  void refusesWithoutAnArchive() {
    VersionFleet fleet({"an archive that is lost",
                        7,
                        {kOld, {"v2", 5'000, 7'000}},
                        0,
                        {},
                        9'000,
                        {6'500},
                        0,
                        kNever,
                        kNever,
                        true,
                        true},
                       1);
    fleet.run();
    CPPUNIT_ASSERT_MESSAGE(fleet.seen(), fleet.returned() >= 12 && fleet.wentOn() == 0);
  }

  void archivesNoStreamsWhileThereIsOneVersion() {
    VersionFleet fleet({"one version", 7, {kOld}, 400}, 1);
    fleet.run();
    CPPUNIT_ASSERT_EQUAL(fleet.returned(), fleet.wentOn());
    VersionFleet quiet({"one version, no kills", 7, {kOld}}, 1);
    quiet.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quiet.store().streamsWritten());
    // A read and a write per interval of two daemons, and those of the start.
    const auto intervals = static_cast<std::size_t>((20'000 - kStartMs) / 5'000);
    CPPUNIT_ASSERT(quiet.store().calls() <= 4 * intervals + 28);
    // Each stream is reported once to each of the others.
    CPPUNIT_ASSERT(quiet.tellings() <= 6 * static_cast<std::size_t>(quiet.streams()));
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

  void anArchivedHistoryStandsInForAShortOne() {
    const Instant now = SimulatedFleet::at(0);
    const VersionClaim listed{50, false, {serviceVersion("v1")}};
    const auto archived = [](bool complete, std::vector<ServiceVersion> versions) {
      return std::vector<ArchivedOrigins>{
          {DaemonId("other"), 7, {40, complete, std::move(versions)}, {}}};
    };
    struct Row {
      const char* story;
      std::vector<ArchivedOrigins> parts;
      bool servedBefore;
      bool known;
      std::vector<StreamOrigin> streams{};
    };
    const std::vector<Row> rows{
        {"nothing is known of the time before", {}, true, false},
        {"the fleet served nobody before", {}, false, true},
        {"streams began while the store was away",
         {},
         false,
         false,
         {{StreamKey{1}, kService, SoftwareVersion("v1")}}},
        {"it had the same version", archived(true, {serviceVersion("v1")}), true, true},
        {"its history was too short", archived(false, {serviceVersion("v1")}), true, false},
        {"another one was there", archived(true, {serviceVersion("v1"), serviceVersion("v2")}),
         true, false}};
    for (const Row& row : rows) {
      ArchivePlan plan(DaemonId("own"));
      plan.next({row.streams, {}}, now);
      plan.noteArchive(row.parts, row.servedBefore, now);
      if (plan.claim(now).asOf == 0) plan.noteListed(listed, now);
      plan.noteVersions(listed, now);
      const auto sole = [&](Instant when) { return plan.claim(when).sole(kService); };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.story, row.known, sole(now).has_value());
      const Instant later = now + VersionHistory::kHorizon;
      plan.noteVersions({60, false, {serviceVersion("v1")}}, later);
      const ArchiveInput input{{}, {serviceVersion("v1")}};
      const bool writes = std::holds_alternative<ArchiveSteps::Write>(plan.next(input, later));
      CPPUNIT_ASSERT_MESSAGE(row.story, writes);
      CPPUNIT_ASSERT_MESSAGE(row.story, sole(later) == SoftwareVersion("v1"));
      plan.noteVersions({55, false, {}}, later);
      CPPUNIT_ASSERT_MESSAGE(row.story, !sole(later));
    }
  }

 private:
  static void expectKept(const VersionDay& day, unsigned seed, double goOn) {
    VersionFleet fleet(day, seed);
    fleet.run();
    const std::string seen = fleet.seen() + "seed " + std::to_string(seed);
    CPPUNIT_ASSERT_MESSAGE(seen, fleet.returned() >= 12);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 0, fleet.mixed());
    CPPUNIT_ASSERT_MESSAGE(seen, fleet.wentOn() >= goOn * fleet.returned());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginFleetTest);

}  // namespace
