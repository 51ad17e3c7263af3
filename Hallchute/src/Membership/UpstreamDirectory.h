// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_MEMBERSHIP_UPSTREAMDIRECTORY_H
#define HALLCHUTE_MEMBERSHIP_UPSTREAMDIRECTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Membership/GossipMessage.h"
#include "Hallchute/src/Membership/HostListEntry.h"

namespace Hallchute {

/// \brief An upstream in this daemon's directory.
/// \ingroup Membership
struct UpstreamInfo {
  UpstreamId id;
  HostListEntry host;
  /// When the upstream leaves; set once its leave is known.
  std::optional<Instant> leavesAt;
};

/// \brief The upstreams of the fleet: the host list, which lags, corrected by reported leaves.
/// \ingroup Membership
///
/// A leave is never revoked. A host list older than the current one is ignored. Not thread-safe.
class UpstreamDirectory {
 public:
  /// \brief Applies a host list.
  /// \returns the leaves that were not known before this list.
  std::vector<LeaveAnnouncement> applyHostList(std::uint64_t version,
                                               std::span<const HostListEntry> hosts, Instant now);
  /// \brief Records a reported leave.
  /// \returns whether the leave was not known before.
  bool noteLeave(const UpstreamId& upstream, Millis remaining, Instant now);
  /// \brief Upstreams of \p service in \p domain that are not leaving.
  std::vector<UpstreamId> live(const ServiceName& service, const FailureDomainName& domain) const;
  /// \brief Failure domains that have an upstream of \p service that is not leaving.
  std::vector<FailureDomainName> domainsOf(const ServiceName& service) const;
  const UpstreamInfo* find(const UpstreamId& upstream) const;
  std::vector<UpstreamInfo> all() const;
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  std::map<UpstreamId, UpstreamInfo> upstreams_;
  /// Reported leaves, including those of upstreams that the host list does not name yet.
  std::map<UpstreamId, Instant> reportedLeaves_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_UPSTREAMDIRECTORY_H
