// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DUTY_EVIDENCETRACKER_H
#define HALLCHUTE_DUTY_EVIDENCETRACKER_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Duty/RolloutVerdict.h"
#include "Hallchute/src/Gateway/VersionEvidence.h"

namespace Hallchute {

/// \brief A fault of a version and where it shows. \ingroup Duty
struct FaultFinding {
  VersionFault fault = VersionFault::none;
  /// The route; empty if it shows over all routes.
  std::string route;
};

/// \brief Compares the evidence of a rollout's target version with that of the other versions, over
/// all routes and for each, since the order and over the last seconds. No I/O, no clock.
/// \ingroup Duty
///
/// The sums of the fleet fall when a daemon is lost; such a change counts nothing. Cost of a fold
/// or a finding: linear in the routes and the buckets.
class EvidenceTracker {
 public:
  EvidenceTracker(ServiceName service, std::uint64_t order, SoftwareVersion target)
      : service_(std::move(service)), order_(order), target_(std::move(target)) {}

  /// \brief Takes the fleet's sums at a time.
  void fold(const VersionEvidences& sums, Millis wallClock);
  /// \brief Excludes the target's first events so far from the search for slowness: its caches were
  /// cold.
  void markWarm();
  /// \brief The first fault found.
  /// \param canary few upstreams serve the target: failures that come all at once may be the crash
  /// of one of them and are discounted, and the load is the usual one.
  FaultFinding fault(bool canary) const;
  /// \brief Whether the target has answered often enough, on each route with traffic, to grow.
  bool enough() const;
  /// \brief Whether the service has traffic of which the target has hardly answered any.
  bool unanswered() const;
  const VersionEvidence& target() const { return all_.target; }
  const VersionEvidence& previous() const { return all_.previous; }

 private:
  struct Sample {
    Millis wallClock{0};
    VersionEvidence target;
    VersionEvidence previous;
  };
  struct Scope {
    VersionEvidence target;
    VersionEvidence previous;
    /// The target's evidence when its caches were warm.
    VersionEvidence atWarm;
    std::deque<Sample> samples;
    /// The target's failures by second.
    std::map<std::int64_t, std::uint64_t> failures;

    void add(const VersionEvidence& more, bool isTarget, Millis wallClock);
    void sample(Millis wallClock);
    std::uint64_t burst() const;
    VersionFault fault(bool canary, bool warm) const;
  };

  ServiceName service_;
  std::uint64_t order_;
  SoftwareVersion target_;
  bool warm_ = false;
  /// The sums of the last fold.
  VersionEvidences last_;
  Scope all_;
  std::map<std::string, Scope> routes_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DUTY_EVIDENCETRACKER_H
