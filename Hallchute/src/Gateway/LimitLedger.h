// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_LIMITLEDGER_H
#define HALLCHUTE_GATEWAY_LIMITLEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/LimitFleet.h"
#include "Hallchute/src/Gateway/NamedLimit.h"

namespace Hallchute {

/// \brief Keeps the limits that upstreams name on requests from all daemons together. Not
/// thread-safe; no I/O, no clock. \ingroup Gateway
///
/// Daemons report limits to each other. The requests that a limit allows in half a second of the
/// fleet's shared clock are divided among the daemons by a hash of upstream and time, so that each
/// knows its share without a message and the shares add up to the limit however many daemons there
/// are. What a daemon has no use for is lost: the request goes to another upstream. Cost: two
/// lookups per upstream that a request may go to, none while no limit is known.
class LimitLedger {
 public:
  /// \brief Updates the fleet among which limits are divided.
  void setFleet(LimitFleet fleet) { fleet_ = std::move(fleet); }
  /// \brief Records what an answer says of the limit.
  /// \param perSecond nothing if it names none.
  /// \returns whether that differs from what was known.
  bool noteAnswer(const UpstreamIncarnation& upstream, std::optional<double> perSecond,
                  Instant now);
  /// \brief Takes a limit for that of a process that has named none yet; what it names replaces it.
  void assume(const UpstreamIncarnation& upstream, double perSecond, Instant now);
  /// \brief Merges what other daemons know.
  void merge(std::span<const NamedLimit> limits, Instant now);
  /// \brief What to report now: what changed recently and, once a second, all, for daemons that
  /// start or were silent. \param forwards whether this daemon also passes on what others reported
  /// to it.
  std::vector<NamedLimit> report(bool forwards, Instant now);
  /// \brief Whether the upstream names a limit.
  bool limited(const UpstreamId& upstream) const { return limitOf(upstream).has_value(); }
  /// \brief The limit that the upstream names, per second; nothing if it names none.
  std::optional<double> limitOf(const UpstreamId& upstream) const;
  /// \brief Whether this process, or a later one under its id, has been answered for: with a limit
  /// or with none.
  bool knows(const UpstreamIncarnation& upstream) const;
  bool empty() const { return entries_.empty(); }
  /// \brief Whether this daemon may send a request to the upstream now.
  bool maySend(const UpstreamId& upstream, Instant now) const;
  /// \brief Whether a request should go to the upstream to learn whether its limit still holds: no
  /// answer has named it for some time, this daemon may send a request there now, and has sent none
  /// for that time.
  bool needsConfirmation(const UpstreamId& upstream, Instant now) const;
  void noteSent(const UpstreamId& upstream, Instant now);
  /// \brief Requests that this daemon may send to the upstream in the half second of \p now;
  /// nothing if it names no limit.
  std::optional<std::uint64_t> share(const UpstreamId& upstream, Instant now) const;
  /// \brief Forgets upstreams of which nothing was heard for long.
  void sweep(Instant now);

 private:
  struct Entry {
    NamedLimit limit;
    /// When this daemon last learned of a change, and when it last observed one itself.
    Instant changedAt{};
    Instant observedAt{};
    /// When an answer or a report last mentioned it.
    Instant heardAt{};
    /// Requests sent in the period `sentIn` of the shared clock.
    std::uint64_t sent = 0;
    std::int64_t sentIn = 0;
    /// When this daemon last sent a request, answered or not.
    Instant sentAt{};
  };

  Millis sharedClock(Instant now) const;
  std::int64_t periodAt(Instant now) const;
  std::uint64_t shareOf(const Entry& entry, std::int64_t period) const;

  LimitFleet fleet_;
  std::map<UpstreamId, Entry> entries_;
  Instant listedAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_LIMITLEDGER_H
