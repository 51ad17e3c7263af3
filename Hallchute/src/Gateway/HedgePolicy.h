// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_HEDGEPOLICY_H
#define HALLCHUTE_GATEWAY_HEDGEPOLICY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/LatencyQuantile.h"
#include "Hallchute/src/Gateway/SlidingCount.h"

namespace Hallchute {

/// \brief The operator's limits on hedged requests. \ingroup Gateway
struct HedgeLimits {
  /// Hedges per hundred requests of a route within a minute; 0 turns hedging off.
  double percent = 0;
  /// Least time without data before a request is hedged.
  Millis minDelay{50};
};

/// \brief What a hedge depends on besides the traffic of its route. \ingroup Gateway
struct HedgeConditions {
  /// A healthy upstream other than the first is available.
  bool hasUpstream = false;
  /// It limits its rejections, so that a slot has to be taken from its coordinator.
  bool needsSlot = false;
  /// Requests of the service wait to be dispatched.
  bool requestsWait = false;
  /// Predicted time to the first event at the second upstream; 0 if unknown.
  Millis predictedFirstEvent{0};
  /// The route's latency objective.
  Millis objective{0};
};

/// \brief Whether a request is hedged, or why it isn't. \ingroup Gateway
enum class HedgeVerdict { hedge, noUpstream, needsSlot, requestsWait, overloaded, percent };

/// \brief The name of a verdict in logs. \ingroup Gateway
std::string_view describe(HedgeVerdict verdict);

/// \brief Decides when a request is also sent to a second upstream, and whether it may be. Not
/// thread-safe; no I/O, no clock. \ingroup Gateway
///
/// The delay is a high quantile of the time to first data of the route at this daemon. In the last
/// minute, at most `percent` of the requests of the route were hedged. Memory: about 600 bytes per
/// route, 256 routes at most. Cost: one look-up by route and one pass over 100 buckets.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeLimits limits) : limits_(limits) {}

  bool enabled() const { return limits_.percent > 0; }
  /// \brief Counts a request of the route, hedged or not.
  void noteRequest(std::string_view route, Instant now);
  /// \brief Records how long a request's first upstream took to send data. If it was cancelled as
  /// the second one sent data first, the time until then: it would have taken longer.
  void noteFirstData(std::string_view route, Millis time, Instant now);
  /// \brief Time without data after which a request is hedged; nothing if too few requests were
  /// measured, or hedging is off.
  std::optional<Millis> delay(std::string_view route, Instant now);
  HedgeVerdict decide(std::string_view route, const HedgeConditions& conditions, Instant now);
  /// \brief Records that a request of the route was hedged.
  void noteHedge(std::string_view route, Instant now);
  /// \brief Requests and hedges of the route in the last minute, for logs.
  std::uint64_t requestCount(std::string_view route, Instant now);
  std::uint64_t hedgeCount(std::string_view route, Instant now);

  static constexpr std::size_t kMaxRoutes = 256;

 private:
  struct RouteTraffic {
    LatencyQuantile firstData;
    SlidingCount requests;
    SlidingCount hedges;
  };

  RouteTraffic& traffic(std::string_view route, Instant now);

  HedgeLimits limits_;
  std::map<std::string, RouteTraffic, std::less<>> routes_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_HEDGEPOLICY_H
