// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMTABLE_H
#define HALLCHUTE_GATEWAY_UPSTREAMTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "Hallchute/src/Gateway/UpstreamLoad.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

/// \brief How a dispatch to an upstream went. \ingroup Gateway
enum class DispatchResult {
  /// An answer came, be it a failure of the request's own.
  answered,
  /// Full, or on its way out.
  rejected,
  /// The connection didn't come up.
  unreachable,
  /// The connection ended or its bytes were faulty after the request was sent.
  broken,
  /// No sign of work for longer than there should be.
  silent,
  /// The upstream itself answered that it failed.
  failed,
  /// The caller left or its time was up: says nothing of the upstream.
  abandoned,
};

/// \brief A result's name for the log. \ingroup Gateway
std::string_view describe(DispatchResult result);

/// \brief What this daemon knows of an upstream. \ingroup Gateway
struct UpstreamEntry {
  UpstreamRecord record;
  /// When the directory first listed it; the start of this daemon for those that were there.
  Instant listedSince{};
  /// Set when the directory stopped listing it.
  std::optional<Instant> unlistedSince;
  /// No work goes there until then, unless there is nobody else.
  Instant ejectedUntil{};
  std::uint32_t consecutiveFailures = 0;
  /// The last incarnation that is known to take no new work, by the directory or a peer.
  std::optional<std::uint64_t> leaving;
  /// What it has to do for this daemon.
  UpstreamLoad own;
  /// For the others, as last heard.
  UpstreamLoad peerLoad;

  std::uint32_t load() const { return own.requests + peerLoad.requests; }
  std::uint64_t pendingPrefillTokens() const {
    return own.pendingPrefillTokens + peerLoad.pendingPrefillTokens;
  }
};

/// \brief The upstreams with their state, load and recent failures. One thread; no I/O, no clock.
/// \ingroup Gateway
class UpstreamTable {
 public:
  /// \brief Takes the whole directory.
  /// \returns the upstreams that it no longer lists, and those that started anew under their name:
  /// nothing that was known of the process before holds for the new one.
  std::vector<UpstreamId> replace(std::span<const UpstreamRecord> records, Instant now);
  /// \brief Another daemon learned that an upstream takes no new work.
  /// \param incarnation of which it is true; 0 if it doesn't tell its start.
  void noteDraining(const UpstreamId& upstream, std::uint64_t incarnation = 0);
  /// \param promptTokens what the upstream reads before it answers; 0 if unknown.
  void noteDispatched(const UpstreamId& upstream, std::uint64_t promptTokens = 0);
  /// \brief A prompt was read, or is not going to be.
  /// \param incarnation to which the request was sent; the present one if left out.
  void notePromptDone(const UpstreamId& upstream, std::uint64_t promptTokens,
                      std::optional<std::uint64_t> incarnation = {});
  /// \param incarnation as above.
  void noteEnded(const UpstreamId& upstream, DispatchResult result, Instant now,
                 std::optional<std::uint64_t> incarnation = {});
  /// \brief The address belongs to another upstream now.
  void noteAddressReused(const UpstreamId& upstream, Instant now);
  void setPeerLoads(const UpstreamLoads& loads);
  /// \brief Forgets upstreams that are gone and have no work left.
  void sweep(Instant now);

  /// \brief Whether a failure domain seems to be out of reach as a whole.
  bool domainUnreachable(const DomainName& domain, Instant now) const;
  const std::map<UpstreamId, UpstreamEntry>& entries() const { return entries_; }
  const UpstreamEntry* find(const UpstreamId& upstream) const;
  UpstreamLoads ownLoads() const;

 private:
  /// Which upstream of a domain couldn't be reached last, and until when all of them are shunned.
  struct DomainTrouble {
    UpstreamId last;
    Instant at{};
    Instant until{};
  };

  /// Null if it is not known, or runs as another incarnation now.
  UpstreamEntry* findIncarnation(const UpstreamId& upstream,
                                 std::optional<std::uint64_t> incarnation);
  void noteFailure(UpstreamEntry& entry, Instant now);
  void noteUnreachable(const UpstreamEntry& entry, Instant now);

  std::map<UpstreamId, UpstreamEntry> entries_;
  std::map<DomainName, DomainTrouble> troubles_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMTABLE_H
