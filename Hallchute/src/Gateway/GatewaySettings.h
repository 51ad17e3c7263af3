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

/// \brief How often a request of a route may run, and how its answer comes. \ingroup Gateway
enum class WorkKind {
  /// May run more than once; the answer comes whole.
  repeatable,
  /// Runs at most once; the answer comes whole.
  once,
  /// The answer comes as a stream of events; runs at most once unless the route resumes.
  stream,
};

/// \brief One service of a route and its part of the requests. \ingroup Gateway
struct RouteTarget {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// \brief Which requests go where, and what they may take. \ingroup Gateway
struct Route {
  std::string name;
  /// Lower case, without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  WorkKind kind = WorkKind::once;
  std::vector<RouteTarget> targets;
  /// The longest time a request is held.
  Millis timeLimit{60'000};
  /// Within it an answer, or a stream's first event, is in time.
  Millis latencyObjective{1'000};
  /// The longest pause between events that keeps a stream in time; zero for other kinds.
  Millis gapObjective{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Upstreams at which one request may run.
  int maxRuns = 1;
  /// Needs no key.
  bool allowsAnonymous = false;
  /// A broken stream may go on at another upstream.
  bool resumable = false;
  /// Requests share prompt parts that engines keep.
  bool sharesPrompts = false;

  /// \brief Whether a request may run more than once.
  bool mayRepeat() const {
    return kind == WorkKind::repeatable || (kind == WorkKind::stream && resumable);
  }
};

/// \brief What an engine's replicas can do at once. \ingroup Gateway
struct EngineTraits {
  std::uint32_t slots = 1;
  /// Tokens of running requests and kept prompt parts together.
  std::uint64_t cacheTokens = 0;
};

/// \brief Between which numbers replicas may be ordered, and what they cost. \ingroup Gateway
struct ReplicaLimits {
  /// In each failure domain.
  std::uint32_t least = 1;
  std::uint32_t most = 1;
  Millis boot{0};
  /// The price of a reclaimable replica as a part of an on-demand one's; absent where there are
  /// none to be had.
  std::optional<double> reclaimablePrice;
  std::map<DomainName, double> domainPrices;
};

/// \brief A service that requests are routed to. \ingroup Gateway
struct GatewayService {
  ServiceName name;
  /// Connections that one upstream takes from all daemons together.
  std::uint32_t maxConnections = 64;
  std::optional<EngineTraits> engine;
  std::optional<ReplicaLimits> replicas;
};

/// \brief An organisation's keys and limits. \ingroup Gateway
struct GatewayOrganisation {
  OrganisationName name;
  std::vector<std::string> keys;
  /// Goes before the route's priority.
  std::optional<int> priority;
  /// Whether rate and burst count tokens rather than requests.
  bool countsTokens = false;
  /// What a request counts that tells no tokens.
  std::uint64_t defaultTokens = 1;
  /// Per second over all daemons; 0 is no limit.
  double rate = 0;
  double burst = 0;
};

/// \brief Everything that decides the course of passed-through requests. \ingroup Gateway
struct GatewaySettings {
  /// Rises with each change, not always by one.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<GatewayService> services;
  std::vector<GatewayOrganisation> organisations;
  FrontLimits limits;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_GATEWAYSETTINGS_H
