// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_GATEWAYSETTINGS_H
#define HALLCHUTE_GATEWAY_GATEWAYSETTINGS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Front/FrontLimits.h"

namespace Hallchute {

/// \brief Whether a route's requests may be retried, and the form of the response. \ingroup Gateway
enum class WorkKind {
  /// May run more than once; the response is not streamed.
  repeatable,
  /// Runs at most once; the response is not streamed.
  once,
  /// The response is an event stream; runs at most once unless the route is resumable.
  stream,
};

/// \brief A service of a route and its weight in the traffic split. \ingroup Gateway
struct RouteTarget {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// \brief Maps requests to services and sets their limits and objectives. \ingroup Gateway
struct Route {
  std::string name;
  /// Lower case, without a port.
  std::string host;
  /// Starts and ends with a slash.
  std::string pathPrefix;
  WorkKind kind = WorkKind::once;
  std::vector<RouteTarget> targets;
  /// Maximum duration of a request, retries included.
  Millis timeLimit{60'000};
  /// Target time to the response or, for a stream, to its first event.
  Millis latencyObjective{1'000};
  /// Target for the longest gap between events of a stream; zero for other kinds.
  Millis gapObjective{0};
  /// 0 is the highest priority.
  int priority = 0;
  /// Maximum number of upstreams that may run the same request.
  int maxRuns = 1;
  /// Requests need no API key.
  bool allowsAnonymous = false;
  /// An interrupted stream may be continued by another upstream.
  bool resumable = false;
  /// Requests share prompt prefixes that engines cache.
  bool sharesPrompts = false;

  /// \brief Whether a request may run more than once.
  bool mayRepeat() const {
    return kind == WorkKind::repeatable || (kind == WorkKind::stream && resumable);
  }
};

/// \brief Capacity of one replica of an engine. \ingroup Gateway
struct EngineTraits {
  std::uint32_t slots = 1;
  /// Cache capacity in tokens, shared by running requests and cached prompt prefixes.
  std::uint64_t cacheTokens = 0;
};

/// \brief Autoscaling bounds, startup time and prices of replicas. \ingroup Gateway
struct ReplicaLimits {
  /// Per failure domain.
  std::uint32_t least = 1;
  std::uint32_t most = 1;
  Millis boot{0};
  /// Price of a reclaimable replica as a fraction of the on-demand price; absent if reclaimable
  /// replicas are not offered.
  std::optional<double> reclaimablePrice;
  std::map<FailureDomainName, double> domainPrices;
};

/// \brief A target service of routes. \ingroup Gateway
struct GatewayService {
  ServiceName name;
  /// Connection limit of one upstream, over all daemons.
  std::uint32_t maxConnections = 64;
  std::optional<EngineTraits> engine;
  std::optional<ReplicaLimits> replicas;
};

/// \brief An organisation's API keys, priority and rate limit. \ingroup Gateway
struct GatewayOrganisation {
  OrganisationName name;
  std::vector<std::string> keys;
  /// Overrides the route's priority.
  std::optional<int> priority;
  /// Whether rate and burst count tokens rather than requests.
  bool countsTokens = false;
  /// Tokens charged for a request that does not state its token count.
  std::uint64_t defaultTokens = 1;
  /// Per second over all daemons; 0 means unlimited.
  double rate = 0;
  double burst = 0;
};

/// \brief Settings for proxied requests. \ingroup Gateway
struct GatewaySettings {
  /// Increases with every change, not necessarily by one.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<GatewayService> services;
  std::vector<GatewayOrganisation> organisations;
  FrontLimits limits;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_GATEWAYSETTINGS_H
