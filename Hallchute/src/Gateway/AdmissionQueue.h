// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ADMISSIONQUEUE_H
#define HALLCHUTE_GATEWAY_ADMISSIONQUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/AdmissionDecision.h"
#include "Hallchute/src/Gateway/AdmissionLimits.h"
#include "Hallchute/src/Gateway/AdmissionRequest.h"
#include "Hallchute/src/Gateway/FleetWaiting.h"
#include "Hallchute/src/Gateway/WaitingLoad.h"

namespace Hallchute {

struct AdmissionOutlook;

/// \brief A decision on a request that waited. \ingroup Gateway
struct AdmissionRelease {
  std::uint64_t session = 0;
  AdmissionDecision decision;
  Millis waited{0};
};

/// \brief The requests of this daemon that wait for admission. Not thread-safe; no I/O, no clock.
/// \ingroup Gateway
///
/// Order of release: those that can be on time, by rank, then by the end of their objective in
/// steps, then by how many requests of their organisation wait; late ones last. Between
/// two reports, at most this daemon's share of the room at the upstreams is released: its part of
/// all that waits in the fleet. Bounds: AdmissionLimits; less urgent ranks, and each organisation,
/// may use a part of them only.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionLimits limits) : limits_(limits) {}

  /// \brief Decides on a fresh request and keeps it if it is to wait. It waits behind requests that
  /// are to be released before it. Cost: one choice of an upstream, and two passes over the
  /// upstreams if it is to wait.
  AdmissionDecision enter(const AdmissionRequest& request, const AdmissionOutlook& outlook,
                          Instant now);
  /// \brief Decides again on the requests that wait; those with a verdict other than Wait are
  /// removed. The caller must dispatch them before it calls this again, so that they count as load.
  /// At most one request is dispatched by each call, to be repeated until it returns none; others
  /// may be refused. Cost: a pass over the waiting requests and a few choices of an upstream.
  std::vector<AdmissionRelease> reconsider(const AdmissionOutlook& outlook, Instant now);
  /// \brief Removes a request, e.g. because its caller left; does nothing if it doesn't wait.
  void remove(std::uint64_t session);
  /// \brief Sets what waits at the other daemons, once a report period; begins a new share of room.
  void noteReports(FleetWaiting elsewhere);
  /// \brief All requests that wait, removed; for the stop of the daemon.
  std::vector<std::uint64_t> drain();

  bool empty() const { return waiting_.empty(); }
  /// \brief The number of requests for a service that wait at this daemon.
  std::size_t waiting(const ServiceName& service) const;
  /// \brief What waits at this daemon, for its reports.
  const WaitingLoads& loads() const { return loads_; }
  /// \brief What waits at the other daemons, as last reported.
  const WaitingLoads& loadsElsewhere() const { return elsewhere_.loads; }

 private:
  struct Entry {
    AdmissionRequest request;
    Instant since{};
    bool late = false;
  };
  /// Position in the order of release.
  struct Turn {
    const Entry* entry = nullptr;
    std::size_t ofOrganisation = 0;
  };

  /// Work that may be released until the next report: in all, and of late requests.
  struct Room {
    double forOnTime = 0;
    double forLate = 0;
  };

  static bool before(const Turn& a, const Turn& b);
  std::vector<Turn> ordered() const;
  bool exceedsBounds(const AdmissionRequest& request) const;
  bool mustQueue(const AdmissionRequest& request, bool late) const;
  /// Whether a fresh request that may be dispatched goes at once.
  bool mayPass(const AdmissionRequest& request, const AdmissionDecision& decision,
               const AdmissionOutlook& outlook);
  Millis drainTime(const AdmissionRequest& request, const AdmissionOutlook& outlook) const;
  /// This daemon's share of the room of the request's service and rank.
  Room ownRoom(const AdmissionRequest& request, const AdmissionOutlook& outlook) const;
  /// Takes the request's work from this daemon's share of the room.
  bool takeRoom(const AdmissionRequest& request, bool late, const AdmissionOutlook& outlook);
  double ownShare(const ServiceName& service) const;
  AdmissionDecision decideAgain(Entry& entry, const AdmissionOutlook& outlook, Instant now);
  std::optional<AdmissionRelease> releaseOverdue(const AdmissionOutlook& outlook, Instant now);

  AdmissionLimits limits_;
  /// By session, thus in order of arrival.
  std::map<std::uint64_t, Entry> waiting_;
  std::size_t bytes_ = 0;
  std::map<OrganisationName, std::size_t> byOrganisation_;
  WaitingLoads loads_;
  FleetWaiting elsewhere_;
  /// Number of reports, so that each rounds fractions of requests anew.
  std::uint64_t reports_ = 0;
  /// What is left of this daemon's share of the room until the next report.
  std::map<ServiceName, Room> room_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ADMISSIONQUEUE_H
