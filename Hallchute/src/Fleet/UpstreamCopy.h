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

/// \brief A daemon's list of the upstreams, from the store or a peer; its version only increases.
/// Does no I/O and reads no clock. \ingroup Fleet
///
/// Right after a store outage, entries of running upstreams may be missing from the store's list.
/// Each daemon retains those that it knew, but doesn't pass them on: a daemon that was merely cut
/// off assumes an outage of the store, and peers that were not cut off must not receive entries
/// from it that they know to be gone.
class UpstreamCopy {
 public:
  /// \brief Starts retaining entries that the store lacks after an outage.
  /// \returns false if there are no entries to retain.
  bool noteStoreRecovery(Instant now);
  /// \brief Applies a list that the store returned to this daemon or to a peer.
  /// \param version the store revision up to which the list is complete.
  /// \returns whether upstreams() changed.
  bool update(std::vector<UpstreamRecord> listed, std::uint64_t version, Instant now);
  /// \brief Drops retained entries whose time has expired. \returns whether upstreams() changed.
  bool dropLapsed(Instant now);
  /// \brief The revision of listed(); 0 if there is no list.
  std::uint64_t version() const { return version_; }
  /// \brief The list as the store returned it; this is what peers receive.
  const std::vector<UpstreamRecord>& listed() const { return listed_; }
  /// \brief The list and the retained entries; to be used for routing.
  const std::vector<UpstreamRecord>& upstreams() const { return upstreams_; }

 private:
  bool setUpstreams(std::vector<UpstreamRecord> upstreams);

  std::uint64_t version_ = 0;
  LapsedUpstreams lapsed_;
  std::vector<UpstreamRecord> listed_;
  std::vector<UpstreamRecord> upstreams_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_UPSTREAMCOPY_H
