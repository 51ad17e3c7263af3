// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_UPSTREAMTABLE_H
#define HALLCHUTE_GATEWAY_UPSTREAMTABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "Hallchute/src/Gateway/DispatchForecast.h"
#include "Hallchute/src/Gateway/LimitLedger.h"
#include "Hallchute/src/Gateway/ObservedWork.h"
#include "Hallchute/src/Gateway/ServiceLimit.h"
#include "Hallchute/src/Gateway/UpstreamEstimate.h"
#include "Hallchute/src/Gateway/UpstreamEstimates.h"
#include "Hallchute/src/Gateway/UpstreamLoad.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"

namespace Hallchute {

struct GatewayService;

/// \brief Outcome of a dispatch to an upstream. \ingroup Gateway
enum class DispatchResult {
  /// A response was received, possibly an error caused by the request itself.
  answered,
  /// The upstream is full or shutting down.
  rejected,
  /// The connection could not be established.
  unreachable,
  /// The connection was closed or the response was malformed after the request was sent.
  broken,
  /// No response data within the expected time, reported by noteSilent(); another upstream
  /// answered.
  silent,
  /// The upstream responded with a server error.
  failed,
  /// The caller disconnected or its deadline passed; not attributable to the upstream.
  abandoned,
};

/// \brief The name of a result in logs. \ingroup Gateway
std::string_view describe(DispatchResult result);

/// \brief An upstream's record, health and load as seen by this daemon. \ingroup Gateway
struct UpstreamEntry {
  UpstreamRecord record;
  /// When the directory first listed this process; default if it was in the first listing.
  Instant listedSince{};
  /// When the directory stopped listing it.
  std::optional<Instant> unlistedSince;
  /// Gets no requests until then unless no other upstream is available.
  Instant ejectedUntil{};
  std::uint32_t consecutiveFailures = 0;
  /// This daemon sends it no requests until then, as it demanded when it rejected one.
  Instant backoffUntil{};
  /// When a request or a connection last failed in a way that the end of its process explains.
  std::optional<Instant> mayHaveEndedAt;
  /// The last incarnation that the directory or a peer reported as draining.
  std::optional<std::uint64_t> leaving;
  /// Load from this daemon.
  UpstreamLoad own;
  /// Load from the other daemons, as last reported.
  UpstreamLoad peerLoad;
  /// What this daemon observed of its speed.
  ObservedWork observed;
  UpstreamEstimate estimate;
  /// Warms up until then.
  Instant warmUntil{};
  /// Whether its work is counted in prompt tokens.
  bool readsPrompts = false;
  /// Tokens that its memory holds; 0 if unknown.
  std::uint64_t memoryTokens = 0;
  /// Requests in flight from which on it is expected to reject further ones; 0 if unknown.
  std::uint32_t room = 0;

  std::uint32_t load() const { return own.requests + peerLoad.requests; }
  std::uint64_t pendingPrefillTokens() const {
    return own.pendingPrefillTokens + peerLoad.pendingPrefillTokens;
  }
  std::uint64_t memoryInUse() const { return own.memoryTokens + peerLoad.memoryTokens; }
};

/// \brief The upstreams with their state, load and recent failures. Not thread-safe; no I/O, no
/// clock.
/// \ingroup Gateway
class UpstreamTable {
 public:
  /// \brief Replaces the records by a complete listing of the directory.
  /// \returns the upstreams that are no longer listed, and those that restarted under the same id:
  /// state kept for the previous process does not apply to the new one.
  std::vector<UpstreamId> replace(std::span<const UpstreamRecord> records, Instant now);
  /// \brief Records a peer's report that an upstream accepts no new requests.
  /// \param incarnation the process that is draining; 0 if its start time is not reported.
  void noteDraining(const UpstreamId& upstream, std::uint64_t incarnation = 0);
  /// \param promptTokens tokens that the upstream processes before it responds; 0 if unknown.
  void noteDispatched(const UpstreamId& upstream, std::uint64_t promptTokens = 0);
  /// \brief Records that a prompt has been processed, or will not be.
  /// \param incarnation the process the request was sent to; the current one if omitted.
  void notePromptDone(const UpstreamId& upstream, std::uint64_t promptTokens,
                      std::optional<std::uint64_t> incarnation = {});
  /// \param incarnation as above.
  void noteEnded(const UpstreamId& upstream, DispatchResult result, Instant now,
                 std::optional<std::uint64_t> incarnation = {});
  /// \brief Records that an upstream at work on a request sends no data within the expected time.
  void noteSilent(const UpstreamIncarnation& upstream, Instant now);
  /// \brief Records that this daemon must not send the upstream requests for some time.
  void noteBackoff(const UpstreamIncarnation& upstream, Millis time, Instant now);
  /// \brief The time until this daemon may send requests to an upstream of the service again;
  /// nothing if it backs off from none, or not from all.
  std::optional<Millis> backoffLeft(const ServiceName& service, Instant now) const;
  /// \brief Records that the upstream's address now belongs to another upstream.
  void noteAddressReused(const UpstreamId& upstream, Instant now);
  /// \brief Sets whether speeds are estimated and used for placement. Without it nothing is
  /// observed, and the predicted times are zero.
  void setUsesEstimates(bool uses) { usesEstimates_ = uses; }
  bool usesEstimates() const { return usesEstimates_; }
  /// \brief Sets the memory of the services' upstreams, from the settings.
  void setServices(std::span<const GatewayService> services);
  /// \brief Sets the age of the oldest report among the other daemons' loads.
  void setReportAge(Millis age) { reportAge_ = age; }
  /// \brief Records the memory that a request needs while it is in flight, in tokens.
  void noteMemoryTaken(const UpstreamIncarnation& upstream, std::uint64_t tokens);
  void noteMemoryFreed(const UpstreamIncarnation& upstream, std::uint64_t tokens);
  /// \brief What is expected of a request that is dispatched now.
  DispatchForecast forecast(const UpstreamEntry& entry, std::uint64_t promptTokens) const;
  /// \brief Records the work that was ahead of a response, its own included, and the time from
  /// dispatch to its first event; for a plain response, to its end.
  /// \param work from workUntilResponse(), at the dispatch.
  void noteProcessed(const UpstreamIncarnation& upstream, double work, Millis time, Instant now);
  /// \brief Records the pauses between the events of a stream.
  void notePauses(const UpstreamIncarnation& upstream, std::uint64_t pauses, Millis time,
                  Instant now);
  /// \brief The work that an upstream does until it responds to a request dispatched now, in the
  /// units of UpstreamLoad.
  static double workUntilResponse(const UpstreamEntry& entry, std::uint64_t promptTokens);
  /// \brief Sets the other daemons' loads, to be called once a report period.
  void setPeerLoads(const UpstreamLoads& loads, Instant now);
  /// \brief Records what an answer says of the limit on rejections. Processes of the service that
  /// have named none are taken to have the same.
  /// \param perSecond rejections that daemons may cause; nothing if it names none.
  /// \returns whether that differs from what was known.
  bool noteRejectionLimit(const UpstreamIncarnation& upstream, std::optional<double> perSecond,
                          Instant now);
  /// \brief Sets the limits on rejections that services had before this daemon started.
  void noteEarlierRejectionLimits(std::span<const ServiceLimit> limits, Instant now);
  /// \brief The lowest limit on rejections that upstreams of each service name, in order.
  std::vector<ServiceLimit> serviceRejectionLimits() const;
  /// \brief Removes upstreams that have been unlisted for some time and have no requests in flight.
  void sweep(Instant now);

  /// \brief Whether a failure domain appears to be unreachable as a whole.
  bool domainUnreachable(const FailureDomainName& domain, Instant now) const;
  const std::map<UpstreamId, UpstreamEntry>& entries() const { return entries_; }
  /// \brief Whether the directory lists it as an upstream of the service that isn't draining.
  static bool takesRequests(const UpstreamEntry& entry, const ServiceName& service);
  const UpstreamEntry* find(const UpstreamId& upstream) const;
  UpstreamLoads ownLoads() const;
  /// \brief The upstreams of a service that the directory lists and that aren't draining.
  std::size_t listedCount(const ServiceName& service) const;
  /// \brief The limits that upstreams name.
  const LimitLedger& limits() const { return limits_; }
  LimitLedger& limits() { return limits_; }
  /// \brief The limits that upstreams name on the requests that they reject for want of room.
  const LimitLedger& rejectionLimits() const { return rejectionLimits_; }
  LimitLedger& rejectionLimits() { return rejectionLimits_; }
  /// \brief Whether the upstream certainly runs that version of its software.
  bool runsVersion(const UpstreamEntry& entry, const SoftwareVersion& version, Instant now) const;
  /// \brief Time until an upstream would begin to process a prompt, by its backlog and estimated
  /// speed; zero if nothing is known of its service.
  Millis predictedQueueDelay(const UpstreamEntry& entry) const;
  /// \brief Time until the first event of a response, queue included.
  Millis predictedFirstEvent(const UpstreamEntry& entry, std::uint64_t promptTokens) const;
  /// \brief Counts a request that is sent against the limits.
  void noteSent(const UpstreamId& upstream, Instant now) { limits_.noteSent(upstream, now); }

 private:
  /// The last unreachable upstream of a domain, and until when the whole domain is ejected.
  struct DomainOutage {
    UpstreamId last;
    Instant at{};
    Instant until{};
  };

  void assumeRejectionLimits(Instant now);
  /// Null if the upstream is unknown or its current incarnation differs.
  UpstreamEntry* findIncarnation(const UpstreamId& upstream,
                                 std::optional<std::uint64_t> incarnation);
  void estimateSpeeds(Instant now);
  /// Learns from a rejected request how many an upstream queues.
  void noteFull(const UpstreamEntry& entry);
  /// Learns from a response with how many others it was in flight.
  void noteAccepted(const UpstreamEntry& entry);
  void noteFailure(UpstreamEntry& entry, Instant now);
  void noteUnreachable(const UpstreamEntry& entry, Instant now);

  std::map<UpstreamId, UpstreamEntry> entries_;
  std::map<FailureDomainName, DomainOutage> outages_;
  bool usesEstimates_ = false;
  Millis reportAge_{0};
  UpstreamEstimates estimates_;
  /// Memory of the services' upstreams, in tokens.
  std::map<ServiceName, std::uint64_t> serviceMemory_;
  /// Requests that upstreams of a service are known to queue, as a multiple of their slots.
  std::map<ServiceName, double> queueRatios_;
  LimitLedger limits_;
  LimitLedger rejectionLimits_;
  /// Limits on rejections that services had before this daemon started, until an upstream answers.
  std::map<ServiceName, double> earlierRejectionLimits_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_UPSTREAMTABLE_H
