// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/SettingsCheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "Hallchute/src/Gateway/GatewaySettings.h"

namespace Hallchute {
namespace {

/// Collects the issues of one entry.
class EntryIssues {
 public:
  EntryIssues(std::string path, std::vector<SettingsIssue>& issues)
      : path_(std::move(path)), issues_(issues) {}

  void errorIf(bool applies, std::string message) {
    if (applies) add(SettingsIssue::Severity::error, std::move(message));
  }
  void warnIf(bool applies, std::string message) {
    if (applies) add(SettingsIssue::Severity::warning, std::move(message));
  }

 private:
  void add(SettingsIssue::Severity severity, std::string message) {
    issues_.push_back({severity, path_, std::move(message)});
  }

  std::string path_;
  std::vector<SettingsIssue>& issues_;
};

std::string text(Millis time) {
  return std::to_string(time.count()) + " ms";
}

bool isDeclared(const GatewaySettings& settings, const ServiceName& name) {
  return std::any_of(settings.services.begin(), settings.services.end(),
                     [&](const GatewayService& service) { return service.name == name; });
}

/// The host and path that requests are matched by.
void checkMatch(const Route& route, EntryIssues& issues) {
  issues.warnIf(route.host.empty(), "matches only requests that name no host");
  issues.warnIf(route.host.find(':') != std::string::npos,
                "can never match: the host has a port, which requests' hosts are matched without");
  const std::string& prefix = route.pathPrefix;
  issues.warnIf(!prefix.starts_with('/'), "can never match: the path prefix begins with no slash");
  issues.warnIf(prefix.find('?') != std::string::npos,
                "can never match: requests are matched without their query");
}

void checkTargets(const GatewaySettings& settings, const Route& route, EntryIssues& issues) {
  bool allZero = true;
  for (const RouteTarget& target : route.targets) {
    allZero = allZero && target.weight == 0;
    issues.errorIf(!isDeclared(settings, target.service),
                   "there is no service " + target.service.str());
  }
  issues.errorIf(allZero, "all weights are zero");
  for (const RouteTarget& target : route.targets) {
    issues.warnIf(!allZero && target.weight == 0,
                  "service " + target.service.str() + " has weight zero and gets no requests");
  }
}

void checkTimes(const Route& route, EntryIssues& issues) {
  const Millis limit = route.timeLimit;
  issues.errorIf(limit <= Millis(0), "the time limit is zero");
  issues.warnIf(route.latencyObjective <= Millis(0), "the latency objective is zero");
  issues.warnIf(route.latencyObjective > limit, "the latency objective of " +
                                                    text(route.latencyObjective) +
                                                    " is beyond the time limit of " + text(limit));
  issues.warnIf(route.gapObjective > limit, "the gap objective of " + text(route.gapObjective) +
                                                " is beyond the time limit of " + text(limit));
  issues.warnIf(route.kind != WorkKind::stream && route.gapObjective > Millis(0),
                "the gap objective has no effect: the route is no stream");
}

void checkRuns(const Route& route, EntryIssues& issues) {
  issues.errorIf(route.maxRuns < 1, "no upstream may run a request");
  issues.warnIf(
      route.maxRuns > 1 && !route.mayRepeat(),
      std::to_string(route.maxRuns) + " runs have no effect: the route's requests may not repeat");
  issues.warnIf(route.resumable && route.kind != WorkKind::stream,
                "resumable has no effect: the route is no stream");
  issues.warnIf(route.resumable && route.kind == WorkKind::stream && route.maxRuns == 1,
                "streams are resumable, but may run once only");
}

void checkRoutes(const GatewaySettings& settings, std::vector<SettingsIssue>& issues) {
  EntryIssues all("/routes", issues);
  all.errorIf(settings.routes.empty(), "there are no routes: every request is refused");
  std::map<std::pair<std::string, std::string>, std::string> matched;
  std::set<std::string> names;
  for (const Route& route : settings.routes) {
    EntryIssues entry("/routes/" + route.name, issues);
    entry.warnIf(route.name.empty(), "has no name");
    entry.warnIf(!names.insert(route.name).second, "another route has the same name");
    const auto [first, isNew] = matched.try_emplace({route.host, route.pathPrefix}, route.name);
    entry.warnIf(!isNew, "can never match: route " + first->second +
                             " before it has the same host and path prefix");
    checkMatch(route, entry);
    checkTargets(settings, route, entry);
    checkTimes(route, entry);
    checkRuns(route, entry);
    entry.warnIf(settings.organisations.empty() && !route.allowsAnonymous,
                 "is open to everyone: there are no organisations whose keys could be asked for");
  }
}

void checkReplicas(const GatewayService& service, EntryIssues& issues) {
  if (service.engine) issues.errorIf(service.engine->slots == 0, "replicas have no slots");
  if (!service.replicas) return;
  const ReplicaLimits& replicas = *service.replicas;
  issues.errorIf(replicas.least > replicas.most, "more replicas are required than allowed");
  issues.warnIf(replicas.most == 0, "no replicas are allowed");
  issues.warnIf(replicas.reclaimablePrice && *replicas.reclaimablePrice > 1,
                "reclaimable replicas cost more than others");
}

void checkServices(const GatewaySettings& settings, std::vector<SettingsIssue>& issues) {
  std::set<std::string> routed;
  for (const Route& route : settings.routes) {
    for (const RouteTarget& target : route.targets) routed.insert(target.service.str());
  }
  std::set<std::string> names;
  for (const GatewayService& service : settings.services) {
    const std::string& name = service.name.str();
    EntryIssues entry("/services/" + name, issues);
    entry.errorIf(name.empty(), "has no name");
    entry.errorIf(!names.insert(name).second, "another service has the same name");
    entry.warnIf(!routed.contains(name), "no route leads to it");
    entry.errorIf(service.maxConnections == 0, "upstreams may have no connections");
    checkReplicas(service, entry);
  }
}

void checkQuota(const GatewayOrganisation& organisation, EntryIssues& issues) {
  issues.errorIf(organisation.rate < 0, "the rate is below zero");
  issues.warnIf(organisation.rate == 0 && organisation.burst > 0,
                "the burst has no effect: without a rate there is no limit");
  if (organisation.rate <= 0) return;
  const double oneRequest =
      organisation.countsTokens ? static_cast<double>(organisation.defaultTokens) : 1;
  issues.errorIf(organisation.burst < oneRequest, "the burst is below one request");
}

void checkOrganisations(const GatewaySettings& settings, std::vector<SettingsIssue>& issues) {
  std::set<std::string> names;
  std::map<std::string, std::string> owners;
  for (const GatewayOrganisation& organisation : settings.organisations) {
    const std::string& name = organisation.name.str();
    EntryIssues entry("/tenants/" + name, issues);
    entry.errorIf(name.empty(), "has no name");
    entry.errorIf(!names.insert(name).second, "another tenant has the same name");
    entry.warnIf(organisation.keys.empty(), "has no keys: no request can be its own");
    for (const std::string& key : organisation.keys) {
      entry.errorIf(key.empty(), "has an empty key");
      const auto [owner, isNew] = owners.try_emplace(key, name);
      entry.errorIf(!isNew && owner->second != name, "shares a key with tenant " + owner->second);
      entry.warnIf(!isNew && owner->second == name, "lists a key twice");
    }
    checkQuota(organisation, entry);
  }
}

void checkLimits(const FrontLimits& limits, std::vector<SettingsIssue>& issues) {
  EntryIssues entry("/limits", issues);
  entry.errorIf(limits.headBytes == 0, "no request head is accepted");
  entry.warnIf(limits.bodyBytes == 0, "no request body is accepted");
  entry.errorIf(limits.headTimeout <= Millis(0), "the time for a request head is zero");
  entry.warnIf(limits.idleTimeout <= Millis(0), "idle connections are closed at once");
}

}  // namespace

std::vector<SettingsIssue> checkSettings(const GatewaySettings& settings) {
  std::vector<SettingsIssue> issues;
  checkRoutes(settings, issues);
  checkServices(settings, issues);
  checkOrganisations(settings, issues);
  checkLimits(settings.limits, issues);
  return issues;
}

}  // namespace Hallchute
