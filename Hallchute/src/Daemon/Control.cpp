// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Control.h"

#include <algorithm>
#include <map>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/StartupFile.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/PeerMessages.h"
#include "Hallchute/src/Observability/Log.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Recovery/MigrationPlan.h"
#include "Hallchute/src/Routing/Rendezvous.h"

namespace Hallchute {
namespace {

constexpr Millis kTickInterval{50};
constexpr Millis kAcknowledgementPollInterval{5};
constexpr Millis kFetchTimeout{1'000};
constexpr std::size_t kChangesPerReply = 64;

MemberStatus initialSelfStatus(const StartupFile& startup) {
  MemberStatus self;
  self.id = startup.daemon;
  self.domain = startup.domain;
  self.address = startup.peerAdvertise;
  self.incarnation = static_cast<std::uint64_t>(wallClockMs());
  return self;
}

std::uint64_t randomSeed(const StartupFile& startup) {
  return stableHash(startup.daemon.str(), static_cast<std::uint64_t>(wallClockMs()));
}

}  // namespace

Control::Control(const StartupFile& startup, SettingsStore& settings, JobTable& jobs,
                 Metrics& metrics)
    : settings_(settings),
      jobs_(jobs),
      metrics_(metrics),
      transport_(loop_, startup.peerListen, startup.peerSecret, &metrics),
      membership_(MembershipPolicy{}, initialSelfStatus(startup), randomSeed(startup)),
      owners_(settings, directory_),
      broker_(loop_, transport_, membership_, directory_, settings, owners_, metrics),
      gossip_(loop_, transport_, membership_,
              [this](const MembershipAction& action) { onAction(action); }) {
  for (const std::string& seed : startup.seeds) membership_.addSeed(seed);
  transport_.serve(PeerPath::kSettings, [this](const PeerStreamPtr& s) { serveSettings(s); });
  transport_.serve(PeerPath::kHosts, [this](const PeerStreamPtr& s) { serveHosts(s); });
  settings_.set(changes_.activeSettings());
}

Control::~Control() {
  stop();
}

void Control::start() {
  gossip_.start();
  loop_.every(kTickInterval, [this] { tick(); });
  thread_ = std::thread([this] { loop_.run(); });
}

void Control::stop() {
  if (!thread_.joinable()) return;
  loop_.stop();
  thread_.join();
}

void Control::tick() {
  owners_.tick(clockNow());
  orderMigrations();
}

void Control::onAction(const MembershipAction& action) {
  std::visit(Overloaded{[](const SendProbe&) {},
                        [&](const OwnersChanged&) {
                          broker_.onOwnersChanged();
                          if (membersChanged_) membersChanged_();
                        },
                        [&](const LongPauseDetected& pause) {
                          metrics_.add("hallchute_pauses_total", "");
                          logMessage(LogLevel::warning, "process was paused for " +
                                                            std::to_string(pause.gap.count()) +
                                                            " ms; rejoining the fleet");
                        },
                        [&](const LeaveDiscovered& discovered) {
                          onLeaveDiscovered(discovered.announcement);
                        },
                        [&](const NewerSettings& newer) { fetchSettings(newer.address); },
                        [&](const NewerHosts& newer) { fetchHosts(newer.address); }},
             action);
}

void Control::noteLeave(const LeaveAnnouncement& announcement) {
  loop_.post([this, announcement] { disseminateLeave(announcement); });
}

bool Control::noteLeaveAndAwaitAck(const LeaveAnnouncement& announcement, Millis limit) {
  noteLeave(announcement);
  const Instant until = clockNow() + limit;
  for (;;) {
    bool acknowledged = false;
    loop_.call([&] { acknowledged = gossip_.isLeaveAcknowledged(announcement.upstream); });
    if (acknowledged || clockNow() >= until) return acknowledged;
    std::this_thread::sleep_for(kAcknowledgementPollInterval);
  }
}

void Control::disseminateLeave(const LeaveAnnouncement& announcement) {
  gossip_.perform(membership_.announceLeave(announcement, clockNow()));
}

void Control::onLeaveDiscovered(const LeaveAnnouncement& announcement) {
  if (announcement.upstream.str() == membership_.self().id.str()) {
    if (ownLeave_) ownLeave_(announcement.remaining);
    return;
  }
  logMessage(LogLevel::info, "upstream " + announcement.upstream.str() + " will leave in " +
                                 std::to_string(announcement.remaining.count()) + " ms");
  metrics_.add("hallchute_leaves_total", "");
  directory_.noteLeave(announcement.upstream, announcement.remaining, clockNow());
  owners_.refresh(clockNow());
  orderMigrations();
}

/// Orders the migration of streams on leaving upstreams that cannot finish in the time left.
void Control::orderMigrations() {
  const Instant now = clockNow();
  std::map<UpstreamId, std::vector<JobPtr>> leaving;
  for (const JobPtr& job : jobs_.running()) {
    const UpstreamInfo* info = directory_.find(job->upstream());
    if (info != nullptr && info->leavesAt && job->command() == JobCommand::none) {
      leaving[info->id].push_back(job);
    }
  }
  for (const auto& [upstream, jobs] : leaving) {
    const UpstreamInfo* info = directory_.find(upstream);
    const PolicyScope scope{info->host.domain, info->host.service, OrganisationName()};
    const auto& tree = settings_.get()->tree;
    const auto timeLeft = std::chrono::duration_cast<Millis>(*info->leavesAt - now) -
                          Millis(tree.policy(PolicyKey::leaveMarginMs, scope));
    const LeaveWindow window{
        std::max(timeLeft, Millis(0)),
        static_cast<double>(tree.policy(PolicyKey::transferTokensPerSecond, scope))};
    std::vector<RunningStream> streams;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      streams.push_back(jobs[i]->migrationInput(now));
      streams.back().stream = i;
    }
    for (const StreamMigration& planned : planMigrations(streams, window)) {
      if (std::holds_alternative<FinishInPlace>(planned.migration)) continue;
      jobs[planned.stream]->requestMove(planned.migration);
    }
  }
}

void Control::applyChange(const SettingsChange& change) {
  loop_.call([this, change] {
    if (changes_.add(change)) publishSettings();
  });
}

void Control::applySnapshot(std::uint64_t revision, const JsonObject& json) {
  loop_.call([this, revision, json] {
    if (changes_.loadSnapshot(revision, json)) publishSettings();
  });
}

void Control::publishSettings() {
  settings_.set(changes_.activeSettings());
  membership_.setRevision(changes_.revision());
  owners_.refresh(clockNow());
  metrics_.set("hallchute_settings_revision", "", static_cast<double>(changes_.revision()));
  logMessage(LogLevel::info,
             "settings revision " + std::to_string(changes_.revision()) + " is now in force");
}

void Control::updateHosts(const HostList& hosts) {
  loop_.call([this, hosts] { applyHosts(hosts); });
}

void Control::applyHosts(const HostList& hosts) {
  if (hosts.version < hostList_.version) return;
  hostList_ = hosts;
  membership_.setHostsVersion(hosts.version);
  for (const HostListEntry& host : hosts.hosts) {
    const bool known = membership_.find(DaemonId(host.host.str())) != nullptr;
    if (host.role == HostRole::entry && !known) membership_.addSeed(host.address);
  }
  for (const LeaveAnnouncement& announcement :
       directory_.applyHostList(hosts.version, hosts.hosts, clockNow())) {
    disseminateLeave(announcement);
  }
  owners_.refresh(clockNow());
}

void Control::announceOwnLeave() {
  loop_.call([this] { gossip_.perform(membership_.leave(clockNow())); });
}

ControlView Control::view() {
  ControlView view;
  loop_.call([&] {
    view.revision = changes_.revision();
    view.hostsVersion = hostList_.version;
    view.self = membership_.self();
    view.others = membership_.others();
    view.upstreams = directory_.all();
    view.shards = owners_.loads(clockNow());
    view.grantsHeld = broker_.activeCount();
    view.peerBytesSent = transport_.bytesSent();
    view.peerBytesReceived = transport_.bytesReceived();
  });
  return view;
}

bool Control::mayBeAlive(const DaemonId& id) {
  bool alive = true;
  loop_.call([&] { alive = membership_.mayBeAlive(id); });
  return alive;
}

bool Control::isResponsibleFor(std::string_view task, std::size_t rankLimit) {
  bool has = false;
  loop_.call([&] {
    const MemberStatus& self = membership_.self();
    const std::string key = std::string(task) + "/" + self.domain.str();
    const std::vector<DaemonId> ranked = rankOwners(key, membership_.owners(self.domain));
    const auto end =
        ranked.begin() + static_cast<std::ptrdiff_t>(std::min(rankLimit, ranked.size()));
    has = std::find(ranked.begin(), end, self.id) != end;
  });
  return has;
}

std::uint64_t Control::revision() {
  return settings_.get()->revision;
}

void Control::fetchSettings(const std::string& address) {
  if (fetchingSettings_) return;
  fetchingSettings_ = true;
  const SettingsRequestMessage request{changes_.revision()};
  const PeerStreamPtr stream = transport_.open(address, PeerPath::kSettings, pack(request));
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const auto reply = unpack<SettingsReplyMessage>(bytes);
    if (const PeerStreamPtr open = weak.lock()) open->close();
    fetchingSettings_ = false;
    if (reply) applySettings(*reply);
  };
  stream->onClosed = [this] { fetchingSettings_ = false; };
  loop_.after(kFetchTimeout, [this, stream] {
    if (!stream->isOpen()) return;
    stream->close();
    fetchingSettings_ = false;
  });
}

void Control::applySettings(const SettingsReplyMessage& reply) {
  Findings findings;
  bool changed = false;
  if (!reply.snapshot.empty()) {
    const JsonObject json = parseJsonObject(reply.snapshot, findings);
    if (json) changed = changes_.loadSnapshot(reply.snapshotRevision, json);
  }
  for (const std::string& text : reply.changes) {
    SettingsChange change = parseChange(text, findings);
    if (change.number != 0) changed = changes_.add(std::move(change)) || changed;
  }
  if (changed) publishSettings();
}

void Control::serveSettings(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    const auto request = unpack<SettingsRequestMessage>(bytes);
    if (!open || !request) return;
    SettingsReplyMessage reply;
    const auto newer = changes_.after(request->revision, kChangesPerReply);
    for (const SettingsChange& change : newer) reply.changes.push_back(serializeChange(change));
    if (newer.empty() && changes_.revision() > request->revision) {
      reply.snapshotRevision = changes_.revision();
      reply.snapshot = jsonText(changes_.activeSettings()->json);
    }
    open->send(pack(reply));
    open->finish();
  };
}

void Control::fetchHosts(const std::string& address) {
  if (fetchingHosts_) return;
  fetchingHosts_ = true;
  const PeerStreamPtr stream =
      transport_.open(address, PeerPath::kHosts, pack(HostsRequestMessage{hostList_.version}));
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const auto reply = unpack<HostsReplyMessage>(bytes);
    if (const PeerStreamPtr open = weak.lock()) open->close();
    fetchingHosts_ = false;
    if (reply) applyHosts({reply->version, reply->hosts});
  };
  stream->onClosed = [this] { fetchingHosts_ = false; };
  loop_.after(kFetchTimeout, [this, stream] {
    if (!stream->isOpen()) return;
    stream->close();
    fetchingHosts_ = false;
  });
}

void Control::serveHosts(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    const auto request = unpack<HostsRequestMessage>(bytes);
    if (!open || !request) return;
    open->send(pack(HostsReplyMessage{hostList_.version, hostList_.hosts}));
    open->finish();
  };
}

}  // namespace Hallchute
