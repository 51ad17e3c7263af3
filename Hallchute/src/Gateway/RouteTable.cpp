// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RouteTable.h"

#include <absl/strings/ascii.h>
#include <optional>
#include <set>

#include <algorithm>
#include <numeric>
#include <utility>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

std::string normaliseHost(std::string_view host) {
  const std::string_view name = host.substr(0, host.find(':'));
  return absl::AsciiStrToLower(absl::string_view(name.data(), name.size()));
}

}  // namespace

RouteTable::RouteTable(GatewaySettings settings) : settings_(std::move(settings)) {
  for (const Route& route : settings_.routes) byHost_[route.host].push_back(&route);
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->pathPrefix.size() > right->pathPrefix.size();
    });
  }
  for (const GatewayOrganisation& organisation : settings_.organisations) {
    for (const std::string& key : organisation.keys) byKey_[key] = &organisation;
  }
  for (const GatewayService& service : settings_.services) {
    byService_[service.name.str()] = &service;
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const auto it = byHost_.find(normaliseHost(host));
  if (it == byHost_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : it->second) {
    if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix) return route;
  }
  return nullptr;
}

const GatewayOrganisation* RouteTable::organisationOf(std::string_view key) const {
  const auto it = byKey_.find(std::string(key));
  return it == byKey_.end() ? nullptr : it->second;
}

const GatewayService* RouteTable::service(const ServiceName& name) const {
  const auto it = byService_.find(name.str());
  return it == byService_.end() ? nullptr : it->second;
}

RouteUrgency RouteTable::urgencyOf(const ServiceName& service, int priority) const {
  RouteUrgency urgency;
  std::set<int> moreUrgent;
  std::optional<Millis> shortest;
  for (const Route& route : settings_.routes) {
    const bool reaches = std::any_of(
        route.targets.begin(), route.targets.end(),
        [&](const RouteTarget& target) { return target.service == service && target.weight > 0; });
    if (!reaches) continue;
    urgency.overtakes |= route.priority > priority;
    if (route.priority > priority) continue;
    if (route.priority < priority) moreUrgent.insert(route.priority);
    shortest = std::min(shortest.value_or(route.latencyObjective), route.latencyObjective);
  }
  urgency.rank = static_cast<std::uint32_t>(moreUrgent.size());
  urgency.objective = shortest.value_or(Millis::max());
  return urgency;
}

const ServiceName& RouteTable::pickTarget(const Route& route, std::string_view requestId) {
  const std::uint64_t total = std::accumulate(
      route.targets.begin(), route.targets.end(), std::uint64_t{0},
      [](std::uint64_t sum, const RouteTarget& target) { return sum + target.weight; });
  if (total == 0) return route.targets.front().service;
  std::uint64_t position = stableHash(requestId) % total;
  for (const RouteTarget& target : route.targets) {
    if (position < target.weight) return target.service;
    position -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace Hallchute
