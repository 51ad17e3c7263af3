// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_VERSIONSHARES_H
#define HALLCHUTE_GATEWAY_VERSIONSHARES_H

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/RolloutStage.h"
#include "Hallchute/src/Gateway/VersionEvidence.h"

namespace Hallchute {

struct UpstreamCriteria;
struct UpstreamRecord;

/// \brief The upstreams that a request may not use. \ingroup Gateway
struct VersionExclusion {
  std::set<SoftwareVersion> versions;
  std::set<UpstreamId> upstreams;

  void apply(UpstreamCriteria& criteria) const;
  bool operator==(const VersionExclusion&) const = default;
};

/// \brief The version drawn for a request. \ingroup Gateway
struct VersionChoice {
  VersionExclusion exclusion;
  /// Used if no upstream is left under `exclusion`; nothing if there is no other choice.
  std::optional<VersionExclusion> fallback;
};

/// \brief A request to draw a version for. \ingroup Gateway
struct VersionDraw {
  const ServiceName& service;
  std::string_view requestId;
  /// Whether the request has been dispatched before.
  bool repeated = false;
};

/// \brief A response, or the lack of one, that counts as evidence. \ingroup Gateway
struct VersionOutcome {
  const ServiceName& service;
  const SoftwareVersion& version;
  const std::string& route;
  /// Time to the first event; nothing if there was none or it was counted before.
  std::optional<Millis> firstEvent;
  bool ended = false;
  bool failed = false;
};

/// \brief The share of each service's requests that each software version gets, by the stages of
/// rollouts that are in force at this daemon. Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// A stage that the holder of the duties hasn't confirmed for some time counts as share 0, except
/// where no upstream of a previous version is listed. A rolled back order stays rolled back,
/// whatever other holders report. A version that appears without a rollout gets no requests for a
/// settling time, unless it is the only one. Where it is disabled, nothing is ever excluded. Cost
/// of a draw: linear in the versions of the service, and for requests of the canary in its
/// upstreams.
class VersionShares {
 public:
  /// How long an unconfirmed stage stays in force: less than the time allowed to stop exposing a
  /// bad version (5 s) minus the lag of reports.
  static constexpr Millis kStageExpiry{3'500};
  /// The same while the previous versions drain: longer than a successor needs to take over, 4.5 s,
  /// as requests that go back to them would be in flight when they stop.
  static constexpr Millis kDrainExpiry{6'000};
  /// Settling time of a version without a rollout: reports reach all daemons within 1 s, and the
  /// directory's listings are up to 0.5 s apart.
  static constexpr Millis kSettling{2'500};
  /// How long the previous versions stay excluded after a rollout is done: they stop within it.
  static constexpr Millis kDoneHold{10'000};
  /// How long a rolled back version stays excluded after the holder last confirmed it: operators
  /// may use it later in another way.
  static constexpr Millis kRolledBackHold{600'000};

  explicit VersionShares(bool enabled) : enabled_(enabled) {}

  bool enabled() const { return enabled_; }
  /// \brief Records a complete listing of the directory.
  void noteListed(std::span<const UpstreamRecord> records, Instant now);
  /// \brief Adopts the stages that are newer than the known ones.
  /// \returns the adopted ones.
  std::vector<RolloutStage> merge(std::span<const RolloutStage> stages, Instant now);
  /// \brief The stages in force, for other daemons.
  std::vector<RolloutStage> report(Instant now) const;
  /// \brief Draws the version for a request by a hash of its id.
  VersionChoice choose(const VersionDraw& draw, Instant now) const;
  /// \brief Counts a response if a rollout of the service is running.
  void noteOutcome(const VersionOutcome& outcome);
  /// \brief This daemon's counts of the rollouts that are running.
  const VersionEvidences& evidence() const { return evidence_; }

 private:
  struct ListedUpstream {
    std::uint64_t incarnation = 0;
    SoftwareVersion version;
    bool takesRequests = false;
    /// When its warm-up ends.
    Instant readyAt{};
  };
  struct ListedService {
    std::map<UpstreamId, ListedUpstream> upstreams;
    /// When each version may be used without a rollout.
    std::map<SoftwareVersion, Instant> settledAt;
  };
  struct KnownStage {
    RolloutStage stage;
    Instant confirmedAt{};
    /// When this daemon adopted the phase.
    Instant since{};
  };

  static void noteVersions(ListedService& service, std::span<const UpstreamRecord* const> records,
                           Instant now);
  static std::set<SoftwareVersion> versionsOf(const ListedService& service);
  static VersionExclusion excludeUnsettled(const ListedService& service, Instant now);
  static VersionExclusion excludeAllBut(const std::set<SoftwareVersion>& listed,
                                        const std::set<SoftwareVersion>& kept);
  static std::set<SoftwareVersion> previousVersions(const RolloutStage& stage,
                                                    const std::set<SoftwareVersion>& listed);
  const KnownStage* stageInForce(const ServiceName& service, Instant now) const;
  static double shareInForce(const KnownStage& known, bool hasPrevious, Instant now);
  static std::optional<std::set<UpstreamId>> outsideCanary(const ListedService& service,
                                                           const KnownStage& known, Instant now);

  bool enabled_;
  std::map<ServiceName, ListedService> services_;
  std::map<ServiceName, KnownStage> stages_;
  VersionEvidences evidence_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_VERSIONSHARES_H
