// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_UPSTREAMCOPY_H
#define HALLCHUTE_FLEET_UPSTREAMCOPY_H

#include <cstdint>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Fleet/LapsedUpstreams.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief A daemon's list of the upstreams, from the store or a peer, that only ever gets newer.
/// No I/O, no clock. \ingroup Fleet
///
/// Soon after an outage of the store entries of living upstreams may be missing from its list. Each
/// daemon holds those that it knew, by what itself has received of the store: one that was merely
/// cut off takes the store for having been away, and peers that were not must not learn entries
/// from it that they know to be gone.
class UpstreamCopy {
 public:
  /// \brief The store answers again after an outage: entries that it lacks are held for a while.
  /// \returns false if there are none to hold.
  bool noteStoreRecovery(Instant now);
  /// \brief Takes a list that the store gave, to this daemon or to a peer.
  /// \param version the store's revision that it is complete to.
  /// \returns whether upstreams() changed.
  bool update(std::vector<UpstreamRecord> listed, std::uint64_t version, Instant now);
  /// \brief Gives up held entries whose time is over. \returns whether upstreams() changed.
  bool dropLapsed(Instant now);
  /// \brief The revision of listed(); 0 if there is no list.
  std::uint64_t version() const { return version_; }
  /// \brief The list as the store gave it: what a peer is told.
  const std::vector<UpstreamRecord>& listed() const { return listed_; }
  /// \brief What to use: the list and the entries that are held.
  const std::vector<UpstreamRecord>& upstreams() const { return upstreams_; }

 private:
  bool use(std::vector<UpstreamRecord> upstreams);

  std::uint64_t version_ = 0;
  LapsedUpstreams lapsed_;
  std::vector<UpstreamRecord> listed_;
  std::vector<UpstreamRecord> upstreams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_UPSTREAMCOPY_H
