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

/// \brief Hands out the places of one shard's upstreams.
/// \ingroup Admission
///
/// Events and the time go in, actions come out; no I/O, no clock, one thread. Every wish gets
/// exactly one final action (Granted or GrantRefused), unless it is released before.
///
/// Order of the queue: resumptions first, then class priority raised by the time for which the
/// organisation got nothing in that class, then the organisation that had least of its weighted
/// share, then age. Cost: a grant from the queue is
/// one pass over the wishes and one over the upstreams.
class ShardOwner {
 public:
  explicit ShardOwner(const ShardPolicy& policy);

  void setPolicy(const ShardPolicy& policy);
  /// \brief Sets the upstreams that live. Those not named are forgotten once their work ends.
  std::vector<GrantAction> setUpstreams(std::span<const UpstreamId> live, Instant now);
  /// \brief From now on nothing is granted at \p upstream. Idempotent.
  std::vector<GrantAction> markDraining(const UpstreamId& upstream, Instant now);
  std::vector<GrantAction> requestGrant(GrantRequest wanted, Instant now);
  /// \brief Counts work that an earlier owner granted.
  void hold(const ExistingGrant& held);
  /// \brief The work's prompt is computed: its upstream can take the next one.
  std::vector<GrantAction> noteFirstToken(GrantId id, Instant now);
  /// \brief Frees the place or leaves the queue. Unknown ids are ignored.
  std::vector<GrantAction> release(GrantId id, GrantEnd end, Instant now);
  /// \brief Refuses wishes whose deadline passed; call it every few tens of ms.
  std::vector<GrantAction> tick(Instant now);

  std::size_t queued() const { return queue_.size(); }
  std::size_t inFlight() const { return grants_.size(); }
  std::size_t inFlightAt(const UpstreamId& upstream) const;
  /// \brief Places not taken, over all usable upstreams.
  std::size_t freePlaces(Instant now) const;
  std::size_t usableUpstreams(Instant now) const;

 private:
  struct Waiting {
    GrantRequest wanted;
    Instant since;
  };
  struct Running {
    std::size_t slot;
    OrganisationName organisation;
    std::size_t tokens;
    std::size_t prefillTokens;
    Instant since;
  };

  /// A wish's place in the queue: lower goes first.
  struct Rank {
    std::int64_t step;
    double share;
    Instant since;
    std::size_t index;
    auto operator<=>(const Rank&) const = default;
  };

  std::optional<Refusal> limitRefusal(const GrantRequest& wanted, Instant now);
  GrantRefused makeRoom(const GrantRequest& wanted, Instant now);
  std::optional<Granted> tryGrant(const GrantRequest& wanted, Instant now);
  std::vector<double> computeCosts(const GrantRequest& wanted) const;
  Granted place(const GrantRequest& wanted, std::size_t slot, std::size_t cached, Instant now);
  void grantWaiting(Instant now, std::vector<GrantAction>& actions);
  std::vector<std::size_t> queueOrder(Instant now) const;
  Rank rankOf(const Waiting& waiting, std::size_t index, Instant now) const;
  bool usable(const OwnedUpstream& upstream, Instant now) const;
  std::size_t limitOf(const OwnedUpstream& upstream) const;
  bool hasRoom(const OwnedUpstream& upstream) const;
  void noteEnd(OwnedUpstream& upstream, GrantEnd end, Instant now);
  std::optional<std::size_t> slotOf(const UpstreamId& upstream) const;
  Millis expectedWait(Instant now) const;
  void noteRelease(Instant now);

  ShardPolicy policy_;
  std::vector<OwnedUpstream> upstreams_;
  std::vector<Waiting> queue_;
  std::map<GrantId, Running> grants_;
  std::map<OrganisationName, std::size_t> inFlightOf_;
  std::map<OrganisationName, TokenBucket> buckets_;
  FairShare shares_;
  /// When an organisation was last granted something, by class priority.
  std::map<std::pair<OrganisationName, std::int64_t>, Instant> lastGrant_;
  /// Counts prompts sent; the clock of the prefix indices.
  std::uint64_t stamp_ = 0;
  /// Smoothed time between releases, for an honest Retry-After.
  double releaseGapMs_ = 0;
  Instant lastRelease_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ADMISSION_SHARDOWNER_H
