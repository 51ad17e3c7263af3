// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ADMISSIONGATE_H
#define HALLCHUTE_TRAFFIC_ADMISSIONGATE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionLimits.h"
#include "Hallchute/src/Gateway/AdmissionQueue.h"
#include "Hallchute/src/Gateway/AdmissionRequest.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class UpstreamTable;

/// \brief Holds back the first dispatch of requests as AdmissionQueue decides, logs and counts its
/// decisions. Traffic thread only. \ingroup Traffic
class AdmissionGate {
 public:
  /// Called once, with a dispatch or a refusal.
  using Sink = std::function<void(const AdmissionVerdict& verdict)>;

  AdmissionGate(EventLoop& loop, const UpstreamTable& upstreams, Metrics& metrics,
                const AdmissionLimits& limits);
  ~AdmissionGate();
  AdmissionGate(const AdmissionGate&) = delete;
  AdmissionGate& operator=(const AdmissionGate&) = delete;

  bool enabled() const { return limits_.enabled; }
  /// \brief Calls \p sink with a dispatch or a refusal: at once, or from the loop if the request
  /// has to wait. Never called after remove().
  void enter(const AdmissionRequest& request, Sink sink);
  /// \brief Forgets a request that ended; does nothing if it doesn't wait.
  void remove(std::uint64_t session);
  /// \brief Sets what waits at other daemons and decides again on what waits here.
  void noteReports(const FleetWaiting& elsewhere);
  /// \brief Refuses what waits and, from now on, what would have to: the daemon stops, and another
  /// one can serve the request.
  void stop();
  const AdmissionQueue& queue() const { return queue_; }

 private:
  void reconsider();
  void scheduleReconsideration();
  void resolve(const AdmissionRelease& release);
  void refuseForStop(std::uint64_t session);
  void log(std::string_view event, const AdmissionRequest& request,
           const AdmissionDecision& decision, Millis waited) const;
  void count(std::string_view decision);

  /// A request that waits and how to go on with it.
  struct Held {
    AdmissionRequest request;
    Sink sink;
  };

  EventLoop& loop_;
  const UpstreamTable& upstreams_;
  Metrics& metrics_;
  AdmissionLimits limits_;
  AdmissionQueue queue_;
  std::map<std::uint64_t, Held> held_;
  Instant reportedAt_{};
  std::uint64_t timer_ = 0;
  bool stopping_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ADMISSIONGATE_H
