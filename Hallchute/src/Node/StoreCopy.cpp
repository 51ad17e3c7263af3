// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/StoreCopy.h"

#include <utility>

#include "Hallchute/src/Fleet/FleetView.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Node/FleetLink.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

/// Upstreams start and leave in bursts, one entry at a time, and each entry would cost every
/// watching daemon a call. A quarter of the shortest drain bound, within which requests to a
/// leaving upstream must cease.
constexpr Millis kUpstreamBatchDelay{500};
/// Time in which daemons that start together find out which of them watch the store for the others:
/// 295 daemons that each start two watches make 590 calls, of which 20 are needed.
constexpr Millis kInitialWatchDelay{1'200};

}  // namespace

StoreCopy::StoreCopy(EventLoop& loop, NodePorts ports, Millis watchTimeout, Callbacks callbacks,
                     Metrics& metrics)
    : loop_(loop),
      ports_(std::move(ports)),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      freshness_(clockNow()),
      settingsFollower_(
          "settings", ports_.settings, {watchTimeout, Millis(0), kInitialWatchDelay},
          {[this](const ObjectFollower::Objects& objects, std::uint64_t) {
             const auto it = objects.find(std::string(ports_.settingsName));
             if (it != objects.end()) decodeSettings(it->second.content, "store");
           },
           [] {}, [this](const absl::Status& status) { countFailedCall("settings", status); }}),
      upstreamFollower_(
          "upstreams", ports_.upstreams, {watchTimeout, kUpstreamBatchDelay, kInitialWatchDelay},
          {[this](const ObjectFollower::Objects& objects, std::uint64_t asOf) {
             decodeUpstreams(objects, asOf);
           },
           [this] { loop_.post([this] { handleStoreRecovery(); }); },
           [this](const absl::Status& status) { countFailedCall("upstreams", status); }}) {}

void StoreCopy::start() {
  settingsFollower_.start();
  upstreamFollower_.start();
}

void StoreCopy::stop() {
  settingsFollower_.stop();
  upstreamFollower_.stop();
}

StoreState StoreCopy::state() const {
  // Contact is that of the settings, which decide what a request may do.
  return {settingsVersion_, upstreams_.version(), settingsFollower_.inContact()};
}

void StoreCopy::tick(const FleetView& fleet, FleetLink& link, Instant now) {
  const FollowMode mode = freshness_.mode(fleet.watchesStore(now), state(), now);
  settingsFollower_.setMode(mode);
  upstreamFollower_.setMode(mode);
  const std::vector<const FleetReport*> reports = fleet.reports(now);
  const auto address = freshness_.snapshotPeer(state(), reports, now);
  if (!address) return;
  // A pending watch may be stuck on a lost connection.
  settingsFollower_.refresh();
  link.requestSnapshot(*address, {settingsVersion_, upstreams_.version()},
                       [this](const FleetSnapshot& snapshot) { applySnapshot(snapshot); });
}

FleetSnapshot StoreCopy::snapshot(const SnapshotRequest& request) const {
  FleetSnapshot snapshot;
  if (settingsVersion_ > request.settingsVersion) {
    snapshot.settingsVersion = settingsVersion_;
    snapshot.settingsText = settingsText_;
  }
  if (upstreams_.version() > request.upstreamsVersion) {
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
    applySettings(settings, text);
  });
}

void StoreCopy::applySettings(const GatewaySettings& settings, const std::string& text) {
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
  if (freshness_.noteReport(report, state(), now)) retainLapsed(now);
}

void StoreCopy::handleStoreRecovery() {
  const Instant now = clockNow();
  // If the store kept responding to peers, no running upstream's entry has lapsed.
  if (freshness_.wasUnreachable(now)) retainLapsed(now);
}

void StoreCopy::countFailedCall(std::string_view followed, const absl::Status& status) {
  metrics_.add("hallchute_store_calls_failed_total",
               "follows=\"" + std::string(followed) + "\",status=\"" +
                   absl::StatusCodeToString(status.code()) + "\"");
}

void StoreCopy::retainLapsed(Instant now) {
  if (!upstreams_.noteStoreRecovery(now)) return;
  LogLine(LogLevel::info, "upstreams.held").with("forMs", LapsedUpstreams::kReregistrationTime);
  loop_.after(LapsedUpstreams::kReregistrationTime,
              [this] { publishUpstreams(upstreams_.dropLapsed(clockNow())); });
}

void StoreCopy::publishUpstreams(bool changed) {
  if (changed) callbacks_.onUpstreams(upstreams_.upstreams());
}

void StoreCopy::applySnapshot(const FleetSnapshot& snapshot) {
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
