// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/StatusJson.h"

#include <sys/resource.h>

#include <array>
#include <string>

#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/OperatorServices.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/StartupFile.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr std::array<const char*, 4> kMemberStateNames{"alive", "suspect", "leaving", "dead"};
constexpr std::array<const char*, 5> kStageNames{"waiting", "running", "finished", "refused",
                                                 "handed-over"};
constexpr double kBytesPerKilobyte = 1024;
constexpr double kMicrosPerSecond = 1e6;

JsonObject memberJson(const MemberStatus& status) {
  JsonObject json = new Poco::JSON::Object;
  json->set("daemon", status.id.str());
  json->set("failureDomain", status.domain.str());
  json->set("address", status.address);
  json->set("state", std::string(kMemberStateNames.at(static_cast<std::size_t>(status.state))));
  json->set("incarnation", status.incarnation);
  json->set("revision", status.revision);
  return json;
}

JsonObject upstreamJson(const UpstreamInfo& upstream, Instant now) {
  JsonObject json = new Poco::JSON::Object;
  json->set("upstream", upstream.id.str());
  json->set("service", upstream.host.service.str());
  json->set("failureDomain", upstream.host.domain.str());
  json->set("address", upstream.host.address);
  json->set("state", upstream.leavesAt ? "leaving" : "live");
  if (upstream.leavesAt) {
    json->set("leavesInMs", std::chrono::duration_cast<Millis>(*upstream.leavesAt - now).count());
  }
  return json;
}

JsonObject shardJson(const ShardOwners::Load& load) {
  JsonObject json = new Poco::JSON::Object;
  json->set("shard", load.shard.text());
  json->set("queued", load.queued);
  json->set("inFlight", load.inFlight);
  json->set("usableUpstreams", load.usable);
  return json;
}

template <typename Items, typename ToJson>
Poco::JSON::Array::Ptr arrayOf(const Items& items, const ToJson& toJson) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const auto& item : items) array->add(toJson(item));
  return array;
}

}  // namespace

JsonObject statusJson(OperatorServices& services) {
  const ControlView view = services.control.view();
  const Instant now = clockNow();
  JsonObject json = new Poco::JSON::Object;
  json->set("daemon", memberJson(view.self));
  json->set("draining", services.draining());
  json->set("settingsRevision", view.revision);
  json->set("hostListVersion", view.hostsVersion);
  json->set("platform", std::string(freshnessWord(services.health.freshness(now))));
  json->set("grantsHeld", view.grantsHeld);
  json->set("members", arrayOf(view.others, [](const Member& m) { return memberJson(m.status); }));
  json->set("upstreams",
            arrayOf(view.upstreams, [&](const UpstreamInfo& u) { return upstreamJson(u, now); }));
  json->set("shards", arrayOf(view.shards, shardJson));
  return json;
}

JsonObject requestsJson(const OperatorServices& services) {
  JsonObject json = new Poco::JSON::Object;
  json->set("requests", arrayOf(services.jobs.all(), [](const JobPtr& job) {
              JsonObject row = new Poco::JSON::Object;
              row->set("request", job->spec().request.str());
              row->set("organisation", job->spec().organisation.str());
              row->set("service", job->spec().service.str());
              row->set("class", job->spec().workClass.str());
              row->set("stage",
                       std::string(kStageNames.at(static_cast<std::size_t>(job->stage()))));
              row->set("upstream", job->upstream().str());
              row->set("tokens", job->tokenCount());
              return row;
            }));
  return json;
}

void updateProcessMetrics(OperatorServices& services) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
  };
  Metrics& metrics = services.metrics;
  metrics.set("process_cpu_seconds_total", "", seconds(usage.ru_utime) + seconds(usage.ru_stime));
  metrics.set("process_peak_resident_bytes", "",
              static_cast<double>(usage.ru_maxrss) * kBytesPerKilobyte);
  const ControlView view = services.control.view();
  metrics.set("hallchute_peer_bytes_sent", "", static_cast<double>(view.peerBytesSent));
  metrics.set("hallchute_peer_bytes_received", "", static_cast<double>(view.peerBytesReceived));
  metrics.set("hallchute_members", "", static_cast<double>(view.others.size() + 1));
}

}  // namespace Hallchute
