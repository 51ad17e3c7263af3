// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamTable.h"

#include <algorithm>
#include <set>

namespace Hallchute {
namespace {

/// Consecutive failures before an upstream is ejected: a single failure is often transient.
constexpr std::uint32_t kFailuresToEject = 2;
/// Duration of the first ejection; it doubles with each further failure.
constexpr Millis kBaseEjection{400};
constexpr Millis kMaxEjection{3'200};
/// Ejection after a failed connection attempt: the process is probably restarting.
constexpr Millis kUnreachableEjection{600};
/// A domain counts as unreachable if two of its upstreams are unreachable within this time.
constexpr Millis kDomainOutageWindow{1'000};
/// Time for which an unreachable domain is skipped before it is tried again.
constexpr Millis kDomainEjection{600};
/// Ejection after a rejected request, as the upstream is full or shutting down.
constexpr Millis kRejectedEjection{50};
/// Time after a rejection for which an upstream is taken for full.
constexpr Millis kFullAfterRejection{1'000};
/// Fraction of its slots that an upstream with a limit on rejections should have taken: requests
/// come at random, and with more it would often be full.
constexpr double kRejectionLimitedOccupancy = 0.8;
/// Bounds of the change of the admitted fraction in a report period.
constexpr double kMinAdmissionChange = 0.8;
constexpr double kMaxAdmissionChange = 1.03;
/// The same while there is some load, but less than half of what it should be.
constexpr double kMaxAdmissionRecovery = 1.1;
/// Admitted fraction where this daemon has never known the upstreams without a limit, as after a
/// restart, and can't tell how much the fleet together may send.
constexpr double kUnknownAdmission = 0.25;
/// Factor of the admitted fraction after a rejection, which is known before the reported loads.
constexpr double kAdmissionAfterRejection = 0.7;
/// Fraction of all its slots below which a service counts as idle.
constexpr double kIdleOccupancy = 0.1;
/// Some requests go there always, so that the load shows when there is room.
constexpr double kMinAdmittedFraction = 0.02;
/// Time in which a process that has replaced another one under its id is listed.
constexpr Millis kRestartListingTime{5'000};
/// Time for which an upstream is kept after the directory stopped listing it.
constexpr Millis kUnlistedRetention{10'000};

}  // namespace

std::string_view describe(DispatchResult result) {
  switch (result) {
    case DispatchResult::answered:
      return "answered";
    case DispatchResult::rejected:
      return "rejected";
    case DispatchResult::unreachable:
      return "unreachable";
    case DispatchResult::broken:
      return "broken";
    case DispatchResult::silent:
      return "silent";
    case DispatchResult::failed:
      return "failed";
    case DispatchResult::abandoned:
      return "abandoned";
  }
  return "";
}

std::vector<UpstreamId> UpstreamTable::replace(std::span<const UpstreamRecord> records,
                                               Instant now) {
  std::set<UpstreamId> listed;
  std::vector<UpstreamId> removed;
  const bool initial = entries_.empty();
  for (const UpstreamRecord& record : records) {
    listed.insert(record.id);
    UpstreamEntry& entry = entries_[record.id];
    const bool known = !entry.record.id.empty();
    const std::uint64_t before = entry.record.incarnation;
    const bool restarted = known && record.incarnation > 0 && record.incarnation != before;
    if (restarted) {
      removed.push_back(record.id);
      UpstreamEntry fresh;
      fresh.leaving = entry.leaving;
      entry = std::move(fresh);
    }
    if ((!known && !initial) || restarted) entry.listedSince = now;
    entry.record = record;
    if (!restarted && record.incarnation == 0) entry.record.incarnation = before;
    entry.unlistedSince.reset();
    // A draining process never becomes ready again; only a new incarnation does.
    const bool alreadyDraining = entry.leaving == entry.record.incarnation;
    if (alreadyDraining) entry.record.state = UpstreamState::draining;
    if (entry.record.state == UpstreamState::draining) entry.leaving = entry.record.incarnation;
  }
  for (auto& [id, entry] : entries_) {
    if (listed.contains(id) || entry.unlistedSince) continue;
    entry.unlistedSince = now;
    removed.push_back(id);
  }
  assumeRejectionLimits(now);
  return removed;
}

std::map<ServiceName, UpstreamTable::ServiceAdmission> UpstreamTable::serviceAdmissions() const {
  std::map<ServiceName, ServiceAdmission> services;
  for (const auto& [id, entry] : entries_) {
    const std::optional<double> limit = rejectionLimits_.limitOf(id);
    if (!limit) continue;
    ServiceAdmission& service =
        services.try_emplace(entry.record.service, ServiceAdmission{*limit}).first->second;
    service.rejectionsPerSecond = std::min(service.rejectionsPerSecond, *limit);
    service.load += entry.load();
    service.slots += entry.record.slots;
    if (!entry.admissionLimited) continue;
    service.admittedFraction = std::min(service.admittedFraction, entry.admittedFraction);
    ++service.upstreams;
  }
  return services;
}

/// A process that has named no limit yet is taken to have that of the others of its service.
void UpstreamTable::assumeRejectionLimits(Instant now) {
  if (rejectionLimits_.empty()) return;
  const std::map<ServiceName, ServiceAdmission> services = serviceAdmissions();
  for (auto& [id, entry] : entries_) {
    const auto service = services.find(entry.record.service);
    if (service == services.end()) continue;
    const UpstreamIncarnation process{id, entry.record.incarnation};
    if (!rejectionLimits_.knows(process))
      rejectionLimits_.assume(process, service->second.rejectionsPerSecond, now);
    if (entry.admissionLimited || !rejectionLimits_.limited(id)) continue;
    entry.admittedFraction = initialAdmission(entry, service->second);
    entry.admissionLimited = true;
  }
}

/// An upstream without load would draw requests from all daemons until they learn of it: it begins
/// with its share of what the others admit.
double UpstreamTable::initialAdmission(const UpstreamEntry& entry,
                                       const ServiceAdmission& service) const {
  if (service.upstreams > 0) {
    return service.admittedFraction / static_cast<double>(service.upstreams);
  }
  return unlimitedServices_.contains(entry.record.service) ? 1 : kUnknownAdmission;
}

void UpstreamTable::noteDraining(const UpstreamId& upstream, std::uint64_t incarnation) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  UpstreamEntry& entry = it->second;
  const std::uint64_t current = entry.record.incarnation;
  // Ignores a late report about an earlier process. A report about a later one implies that the
  // current process has ended.
  if (incarnation > 0 && incarnation < current) return;
  entry.leaving = incarnation > 0 ? incarnation : current;
  entry.record.state = UpstreamState::draining;
}

UpstreamEntry* UpstreamTable::findIncarnation(const UpstreamId& upstream,
                                              std::optional<std::uint64_t> incarnation) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return nullptr;
  const bool current = !incarnation || *incarnation == it->second.record.incarnation;
  return current ? &it->second : nullptr;
}

void UpstreamTable::noteDispatched(const UpstreamId& upstream, std::uint64_t promptTokens) {
  const auto it = entries_.find(upstream);
  if (it != entries_.end()) it->second.own += {1, promptTokens};
}

void UpstreamTable::notePromptDone(const UpstreamId& upstream, std::uint64_t promptTokens,
                                   std::optional<std::uint64_t> incarnation) {
  UpstreamEntry* const entry = findIncarnation(upstream, incarnation);
  if (entry == nullptr) return;
  std::uint64_t& unread = entry->own.pendingPrefillTokens;
  unread -= std::min(unread, promptTokens);
}

void UpstreamTable::noteFailure(UpstreamEntry& entry, Instant now) {
  ++entry.consecutiveFailures;
  if (entry.consecutiveFailures < kFailuresToEject) return;
  Millis ejection = kBaseEjection;
  for (std::uint32_t i = kFailuresToEject; i < entry.consecutiveFailures && ejection < kMaxEjection;
       ++i) {
    ejection *= 2;
  }
  entry.ejectedUntil = now + std::min(ejection, kMaxEjection);
}

void UpstreamTable::noteEnded(const UpstreamId& upstream, DispatchResult result, Instant now,
                              std::optional<std::uint64_t> incarnation) {
  UpstreamEntry* const found = findIncarnation(upstream, incarnation);
  if (found == nullptr) return;
  UpstreamEntry& entry = *found;
  if (entry.own.requests > 0) --entry.own.requests;
  switch (result) {
    case DispatchResult::answered:
      if (!rejectionLimits_.limited(upstream)) unlimitedServices_.insert(entry.record.service);
      outages_.erase(entry.record.domain);
      entry.consecutiveFailures = 0;
      entry.ejectedUntil = {};
      return;
    case DispatchResult::rejected:
      entry.rejectedAt = now;
      if (rejectionLimits_.limited(upstream)) entry.admittedFraction *= kAdmissionAfterRejection;
      entry.ejectedUntil = std::max(entry.ejectedUntil, now + kRejectedEjection);
      return;
    case DispatchResult::unreachable:
      entry.mayHaveEndedAt = now;
      entry.ejectedUntil = std::max(entry.ejectedUntil, now + kUnreachableEjection);
      noteFailure(entry, now);
      noteUnreachable(entry, now);
      return;
    case DispatchResult::broken:
      entry.mayHaveEndedAt = now;
      noteFailure(entry, now);
      return;
    case DispatchResult::silent:
    case DispatchResult::failed:
      noteFailure(entry, now);
      return;
    case DispatchResult::abandoned:
      return;
  }
}

void UpstreamTable::noteUnreachable(const UpstreamEntry& entry, Instant now) {
  DomainOutage& outage = outages_[entry.record.domain];
  const bool different = !outage.last.empty() && outage.last != entry.record.id;
  if (different && now - outage.at <= kDomainOutageWindow) outage.until = now + kDomainEjection;
  outage.last = entry.record.id;
  outage.at = now;
}

bool UpstreamTable::domainUnreachable(const FailureDomainName& domain, Instant now) const {
  const auto it = outages_.find(domain);
  return it != outages_.end() && now < it->second.until;
}

void UpstreamTable::noteAddressReused(const UpstreamId& upstream, Instant now) {
  const auto it = entries_.find(upstream);
  if (it != entries_.end() && !it->second.unlistedSince)
    it->second.unlistedSince = now - kUnlistedRetention;
}

void UpstreamTable::setPeerLoads(const UpstreamLoads& loads, Instant now) {
  assumeRejectionLimits(now);
  for (auto& [id, entry] : entries_) {
    const auto it = loads.find(id);
    entry.peerLoad = it == loads.end() ? UpstreamLoad{} : it->second;
  }
  const std::map<ServiceName, ServiceAdmission> services = serviceAdmissions();
  for (auto& [id, entry] : entries_) {
    if (rejectionLimits_.limited(id)) {
      adjustAdmission(entry, services.at(entry.record.service));
    } else {
      entry.admittedFraction = 1;
      entry.admissionLimited = false;
    }
  }
}

/// Approaches the fraction of the requests with which an upstream that must not reject many has
/// free slots most of the time. Loads of peers are late, so it changes little at a time.
void UpstreamTable::adjustAdmission(UpstreamEntry& entry, const ServiceAdmission& service) {
  // An idle one among busy ones may have failed; when it is back, all would return to it at once.
  const bool othersBusy = service.load >= kIdleOccupancy * service.slots;
  if (entry.load() == 0 && othersBusy) return;
  double& fraction = entry.admittedFraction;
  const double target = kRejectionLimitedOccupancy * entry.record.slots;
  const double change = target / std::max(1.0, static_cast<double>(entry.load()));
  const bool recovers = entry.load() > 0 && change > 2;
  const double most = recovers ? kMaxAdmissionRecovery : kMaxAdmissionChange;
  fraction *= std::clamp(change, kMinAdmissionChange, most);
  fraction = std::clamp(fraction, kMinAdmittedFraction, 1.0);
}

void UpstreamTable::sweep(Instant now) {
  limits_.sweep(now);
  rejectionLimits_.sweep(now);
  std::erase_if(entries_, [&](const auto& item) {
    const UpstreamEntry& entry = item.second;
    return entry.unlistedSince && entry.own.requests == 0 &&
           now - *entry.unlistedSince > kUnlistedRetention;
  });
}

const UpstreamEntry* UpstreamTable::find(const UpstreamId& upstream) const {
  const auto it = entries_.find(upstream);
  return it == entries_.end() ? nullptr : &it->second;
}

bool UpstreamTable::takesRequests(const UpstreamEntry& entry, const ServiceName& service) {
  return entry.record.service == service && !entry.unlistedSince &&
         entry.record.state == UpstreamState::ready;
}

std::size_t UpstreamTable::listedCount(const ServiceName& service) const {
  const auto listed = [&](const auto& item) { return takesRequests(item.second, service); };
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), listed));
}

void UpstreamTable::noteBackoff(const UpstreamIncarnation& upstream, Millis time, Instant now) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry != nullptr) entry->backoffUntil = std::max(entry->backoffUntil, now + time);
}

std::optional<Millis> UpstreamTable::backoffLeft(const ServiceName& service, Instant now) const {
  std::optional<Millis> least;
  for (const auto& [id, entry] : entries_) {
    if (!takesRequests(entry, service)) continue;
    if (entry.backoffUntil <= now) return std::nullopt;
    const Millis left = std::chrono::ceil<Millis>(entry.backoffUntil - now);
    least = std::min(least.value_or(left), left);
  }
  return least;
}

/// Whether an upstream may have to reject the next request: some wait there, or it rejected one.
bool UpstreamTable::mayBeFull(const UpstreamEntry& entry, Instant now) {
  const bool rejectedLately =
      entry.rejectedAt != Instant{} && now - entry.rejectedAt < kFullAfterRejection;
  return rejectedLately || entry.load() >= entry.record.slots;
}

bool UpstreamTable::withinLimits(const UpstreamEntry& entry, Instant now) const {
  const UpstreamId& id = entry.record.id;
  if (!limits_.maySend(id, now)) return false;
  return rejectionLimits_.maySend(id, now) || !mayBeFull(entry, now);
}

/// A process that reports its start may be replaced by one of another version under the same id,
/// and the listing shows it late.
bool UpstreamTable::runsVersion(const UpstreamEntry& entry, const SoftwareVersion& version,
                                Instant now) const {
  if (version.empty() || entry.record.version != version) return false;
  const bool keepsId = entry.record.incarnation != 0;
  return !keepsId || !entry.mayHaveEndedAt || now - *entry.mayHaveEndedAt >= kRestartListingTime;
}

void UpstreamTable::noteSent(const UpstreamId& upstream, Instant now) {
  limits_.noteSent(upstream, now);
  const UpstreamEntry* entry = find(upstream);
  if (entry != nullptr && mayBeFull(*entry, now)) rejectionLimits_.noteSent(upstream, now);
}

UpstreamLoads UpstreamTable::ownLoads() const {
  UpstreamLoads loads;
  for (const auto& [id, entry] : entries_) {
    if (entry.own.requests > 0) loads[id] = entry.own;
  }
  return loads;
}

}  // namespace Hallchute
