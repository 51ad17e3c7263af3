// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ADMISSION_SHARDOWNER_H
#define HALLCHUTE_ADMISSION_SHARDOWNER_H

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Hallchute/src/Admission/FairShare.h"
#include "Hallchute/src/Admission/GrantAction.h"
#include "Hallchute/src/Admission/GrantRequest.h"
#include "Hallchute/src/Admission/OwnedUpstream.h"
#include "Hallchute/src/Admission/ShardPolicy.h"
#include "Hallchute/src/Admission/TokenBucket.h"

namespace Hallchute {

/// \brief Grants slots at the upstreams of one shard.
/// \ingroup Admission
///
/// Takes events with their time and returns actions; no I/O, no clock, not thread-safe. Every
/// request gets exactly one final action (Granted or GrantRefused), unless it is released before.
///
/// Order of the queue: resumptions first, then by class priority plus aging, which grows with the
/// time since the organisation's last grant in that class, then the organisation with the least of
/// its weighted share, then by age. Cost: a grant from the queue takes one pass over the queued
/// requests and one over the upstreams.
class ShardOwner {
 public:
  explicit ShardOwner(const ShardPolicy& policy);

  void setPolicy(const ShardPolicy& policy);
  /// \brief Sets the live upstreams. Others drain, and are removed once their requests have ended.
  std::vector<GrantAction> setUpstreams(std::span<const UpstreamId> live, Instant now);
  /// \brief Stops new grants at \p upstream. Idempotent.
  std::vector<GrantAction> markDraining(const UpstreamId& upstream, Instant now);
  std::vector<GrantAction> requestGrant(GrantRequest wanted, Instant now);
  /// \brief Restores a grant that a previous owner made.
  void hold(const ExistingGrant& held);
  /// \brief Ends the request's prefill, so that its upstream can be granted another one.
  std::vector<GrantAction> noteFirstToken(GrantId id, Instant now);
  /// \brief Frees the grant's slot or removes the request from the queue. Ignores unknown ids.
  std::vector<GrantAction> release(GrantId id, GrantEnd end, Instant now);
  /// \brief Refuses queued requests whose deadline has passed. Call it every few tens of ms.
  std::vector<GrantAction> tick(Instant now);

  std::size_t queued() const { return queue_.size(); }
  std::size_t inFlight() const { return grants_.size(); }
  std::size_t inFlightAt(const UpstreamId& upstream) const;
  /// \brief Free slots, over all usable upstreams.
  std::size_t freeSlots(Instant now) const;
  std::size_t usableUpstreams(Instant now) const;

 private:
  struct QueuedRequest {
    GrantRequest wanted;
    Instant since;
  };
  struct ActiveGrant {
    std::size_t upstreamIndex;
    OrganisationName organisation;
    std::size_t tokens;
    std::size_t prefillTokens;
    Instant since;
  };

  /// A request's sort key in the queue: lower goes first.
  struct Rank {
    std::int64_t urgencyRank;
    double share;
    Instant since;
    std::size_t index;
    auto operator<=>(const Rank&) const = default;
  };

  std::optional<Refusal> limitRefusal(const GrantRequest& wanted, Instant now);
  GrantRefused evictLowestRanked(const GrantRequest& wanted, Instant now);
  std::optional<Granted> tryGrant(const GrantRequest& wanted, Instant now);
  std::vector<double> computeCosts(const GrantRequest& wanted) const;
  Granted grantAt(const GrantRequest& wanted, std::size_t upstreamIndex, std::size_t cached,
                  Instant now);
  void grantQueued(Instant now, std::vector<GrantAction>& actions);
  std::vector<std::size_t> queueOrder(Instant now) const;
  Rank rankOf(const QueuedRequest& entry, std::size_t index, Instant now) const;
  bool usable(const OwnedUpstream& upstream, Instant now) const;
  std::size_t concurrencyLimit(const OwnedUpstream& upstream) const;
  bool hasFreeSlot(const OwnedUpstream& upstream) const;
  void updateHealth(OwnedUpstream& upstream, GrantEnd end, Instant now);
  std::optional<std::size_t> indexOf(const UpstreamId& upstream) const;
  Millis expectedWait(Instant now) const;
  void updateReleaseGap(Instant now);

  ShardPolicy policy_;
  std::vector<OwnedUpstream> upstreams_;
  std::vector<QueuedRequest> queue_;
  std::map<GrantId, ActiveGrant> grants_;
  std::map<OrganisationName, std::size_t> inFlightOf_;
  std::map<OrganisationName, TokenBucket> buckets_;
  FairShare fairShare_;
  /// Time of an organisation's last grant, by class priority.
  std::map<std::pair<OrganisationName, std::int64_t>, Instant> lastGrant_;
  /// Number of prompts granted: the logical clock of the prefix indices.
  std::uint64_t prefixClock_ = 0;
  /// Smoothed time between releases, from which Retry-After is estimated.
  double releaseGapMs_ = 0;
  Instant lastReleaseAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_SHARDOWNER_H
