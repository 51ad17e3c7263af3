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

/// \brief An upstream as one daemon knows it.
/// \ingroup Membership
struct UpstreamInfo {
  UpstreamId id;
  HostListEntry host;
  /// Set once it is known to leave.
  std::optional<Instant> leavesAt;
};

/// \brief The upstreams of the fleet: the lagging host list, corrected by news.
/// \ingroup Membership
///
/// A leave is never taken back. A list older than one already seen is ignored. One thread.
class UpstreamDirectory {
 public:
  /// \brief Takes a host list.
  /// \returns the leaves that only this list tells of.
  std::vector<LeaveAnnouncement> applyHostList(std::uint64_t version,
                                               std::span<const HostListEntry> hosts, Instant now);
  /// \brief Notes a leave.
  /// \returns whether it was news.
  bool noteLeave(const UpstreamId& upstream, Millis remaining, Instant now);
  /// \brief Upstreams of \p service in \p domain that are not leaving.
  std::vector<UpstreamId> live(const ServiceName& service, const DomainName& domain) const;
  /// \brief Domains that have a live upstream of \p service.
  std::vector<DomainName> domainsOf(const ServiceName& service) const;
  const UpstreamInfo* find(const UpstreamId& upstream) const;
  std::vector<UpstreamInfo> all() const;
  std::uint64_t version() const { return version_; }

 private:
  std::uint64_t version_ = 0;
  std::map<UpstreamId, UpstreamInfo> upstreams_;
  /// Leaves heard before the list named the upstream.
  std::map<UpstreamId, Instant> early_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_MEMBERSHIP_UPSTREAMDIRECTORY_H
