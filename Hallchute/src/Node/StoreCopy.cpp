// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/StoreCopy.h"

#include <utility>

#include "Hallchute/src/Fleet/FleetView.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Node/FleetLink.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

/// Upstreams come and go in waves, an entry at a time: each would be a call of every daemon that
/// watches. A quarter of the shortest time in which one that leaves must be left alone.
constexpr Millis kGatherUpstreams{500};
/// Daemons that start together take this long to know which of them watch the store for all: 295
/// daemons that all begin two watches make 590 calls of which 20 are needed.
constexpr Millis kStartPause{1'200};

}  // namespace

StoreCopy::StoreCopy(EventLoop& loop, NodePorts ports, Millis watchWait, Callbacks callbacks)
    : loop_(loop),
      ports_(std::move(ports)),
      callbacks_(std::move(callbacks)),
      news_(clockNow()),
      settingsFollower_("settings", ports_.settings, {watchWait, Millis(0), kStartPause},
                        {[this](const ObjectFollower::Objects& objects, std::uint64_t) {
                           const auto it = objects.find(std::string(ports_.settingsName));
                           if (it != objects.end()) decodeSettings(it->second.content, "store");
                         },
                         [] {}}),
      upstreamFollower_("upstreams", ports_.upstreams, {watchWait, kGatherUpstreams, kStartPause},
                        {[this](const ObjectFollower::Objects& objects, std::uint64_t asOf) {
                           decodeUpstreams(objects, asOf);
                         },
                         [this] { loop_.post([this] { noteStoreRecovery(); }); }}) {}

void StoreCopy::start() {
  settingsFollower_.start();
  upstreamFollower_.start();
}

void StoreCopy::stop() {
  settingsFollower_.stop();
  upstreamFollower_.stop();
}

StoreState StoreCopy::state() const {
  // Settings decide what a request may do: contact counts for them.
  return {settingsVersion_, upstreams_.version(), settingsFollower_.inContact()};
}

void StoreCopy::turn(const FleetView& fleet, FleetLink& link, Instant now) {
  const FollowMode mode = news_.mode(fleet.watchesStore(now), state(), now);
  settingsFollower_.setMode(mode);
  upstreamFollower_.setMode(mode);
  const std::vector<const FleetReport*> reports = fleet.reports(now);
  const auto address = news_.snapshotPeer(state(), reports, now);
  if (!address) return;
  // A pending watch may hang on a lost path.
  settingsFollower_.refresh();
  link.askSnapshot(*address, {settingsVersion_, upstreams_.version()},
                   [this](const FleetSnapshot& snapshot) { takeSnapshot(snapshot); });
}

FleetSnapshot StoreCopy::snapshot(const SnapshotAsk& ask) const {
  FleetSnapshot snapshot;
  if (settingsVersion_ > ask.settingsVersion) {
    snapshot.settingsVersion = settingsVersion_;
    snapshot.settingsText = settingsText_;
  }
  if (upstreams_.version() > ask.upstreamsVersion) {
    snapshot.upstreamsVersion = upstreams_.version();
    snapshot.upstreams = upstreams_.listed();
  }
  return snapshot;
}

void StoreCopy::decodeSettings(const JsonObject& content, std::string_view source) {
  Findings findings;
  std::optional<GatewaySettings> settings = ports_.readSettings(content, findings);
  if (!findings.empty()) {
    LogLine(LogLevel::error, "settings.faulty")
        .with("source", source)
        .with("findings", describe(findings));
  }
  if (!settings) return;
  loop_.post([this, settings = std::move(*settings), text = jsonText(content)] {
    takeSettings(settings, text);
  });
}

void StoreCopy::takeSettings(const GatewaySettings& settings, const std::string& text) {
  if (settings.version <= settingsVersion_) return;
  settingsVersion_ = settings.version;
  settingsText_ = text;
  callbacks_.onSettings(settings);
}

void StoreCopy::decodeUpstreams(const ObjectFollower::Objects& objects, std::uint64_t asOf) {
  std::vector<UpstreamRecord> records;
  Findings findings;
  for (const auto& [name, object] : objects) {
    std::optional<UpstreamRecord> record = ports_.readUpstream(object, findings);
    if (record) records.push_back(std::move(*record));
  }
  if (!findings.empty()) {
    LogLine(LogLevel::error, "upstreams.faulty").with("findings", describe(findings));
  }
  loop_.post([this, records = std::move(records), asOf] {
    publishUpstreams(upstreams_.update(records, asOf, clockNow()));
  });
}

void StoreCopy::noteReport(const FleetReport& report, Instant now) {
  if (news_.noteReport(report, state(), now)) holdLapsed(now);
}

void StoreCopy::noteStoreRecovery() {
  const Instant now = clockNow();
  // A store that answered peers all the while has let no living upstream's entry lapse.
  if (news_.wasUnreachable(now)) holdLapsed(now);
}

void StoreCopy::holdLapsed(Instant now) {
  if (!upstreams_.noteStoreRecovery(now)) return;
  LogLine(LogLevel::info, "upstreams.held").with("forMs", LapsedUpstreams::kReregistrationTime);
  loop_.after(LapsedUpstreams::kReregistrationTime,
              [this] { publishUpstreams(upstreams_.dropLapsed(clockNow())); });
}

void StoreCopy::publishUpstreams(bool changed) {
  if (changed) callbacks_.onUpstreams(upstreams_.upstreams());
}

void StoreCopy::takeSnapshot(const FleetSnapshot& snapshot) {
  if (snapshot.settingsVersion > settingsVersion_) {
    Findings findings;
    const JsonObject content = parseJsonObject(snapshot.settingsText, findings);
    if (content) {
      decodeSettings(content, "peer");
    } else {
      LogLine(LogLevel::error, "settings.faulty")
          .with("source", "peer")
          .with("findings", describe(findings));
    }
  }
  publishUpstreams(upstreams_.update(snapshot.upstreams, snapshot.upstreamsVersion, clockNow()));
}

}  // namespace Hallchute
