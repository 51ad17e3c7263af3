// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/UpstreamTable.h"

#include <algorithm>
#include <set>

#include "Hallchute/src/Gateway/GatewaySettings.h"

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
/// Time in which a process that has replaced another one under its id is listed.
constexpr Millis kRestartListingTime{5'000};
/// Time for which an upstream is kept after the directory stopped listing it.
constexpr Millis kUnlistedRetention{10'000};
/// Work of a request without a prompt.
constexpr double kRequestWork = 1'000;
/// Least fraction of a time to the first event that counts as processing, the rest being the pause
/// before the first event.
constexpr double kMinProcessingFraction = 0.25;

/// Requests that an upstream is taken to queue, as a multiple of its slots, until it rejects one or
/// holds more: with as many, responses are late at any deployment known.
constexpr double kAssumedQueueRatio = 1;
/// Fraction of the known queue that is used: reports are half a second old.
constexpr double kUsedQueueFraction = 0.9;
/// Step by which the known queue grows towards a longer one that was seen.
constexpr double kQueueGrowth = 0.2;

Millis toMillis(double ms) {
  return Millis(static_cast<Millis::rep>(ms));
}

double slotsOf(const UpstreamEntry& entry) {
  return std::max<std::uint32_t>(1, entry.record.slots);
}

/// Requests in flight beyond the upstream's slots, as a multiple of these.
double queueRatio(const UpstreamEntry& entry) {
  return entry.load() / slotsOf(entry) - 1;
}

/// Work that an upstream does before it begins to process a request dispatched now.
double workAhead(const UpstreamEntry& entry) {
  if (entry.readsPrompts) return static_cast<double>(entry.pendingPrefillTokens());
  const double slots = slotsOf(entry);
  return std::max(0.0, entry.load() + 1 - slots) / slots * kRequestWork;
}

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
    if (record.warmupRemaining != entry.record.warmupRemaining)
      entry.warmUntil = now + record.warmupRemaining;
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

std::vector<ServiceLimit> UpstreamTable::serviceRejectionLimits() const {
  std::map<ServiceName, double> lowest = earlierRejectionLimits_;
  for (const auto& [id, entry] : entries_) {
    const std::optional<double> limit = rejectionLimits_.limitOf(id);
    if (!limit) continue;
    double& service = lowest.try_emplace(entry.record.service, *limit).first->second;
    service = std::min(service, *limit);
  }
  std::vector<ServiceLimit> limits;
  limits.reserve(lowest.size());
  for (const auto& [service, limit] : lowest) limits.push_back({service, limit});
  return limits;
}

/// A process that has named no limit yet is taken to have that of the others of its service.
void UpstreamTable::assumeRejectionLimits(Instant now) {
  if (rejectionLimits_.empty() && earlierRejectionLimits_.empty()) return;
  const std::vector<ServiceLimit> services = serviceRejectionLimits();
  for (const auto& [id, entry] : entries_) {
    const UpstreamIncarnation process{id, entry.record.incarnation};
    if (rejectionLimits_.knows(process)) continue;
    const ServiceName& name = entry.record.service;
    const auto service = std::find_if(services.begin(), services.end(),
                                      [&](const auto& limit) { return limit.service == name; });
    if (service != services.end())
      rejectionLimits_.assume(process, service->rejectionsPerSecond, now);
  }
}

bool UpstreamTable::noteRejectionLimit(const UpstreamIncarnation& upstream,
                                       std::optional<double> perSecond, Instant now) {
  if (const UpstreamEntry* entry = find(upstream.id))
    earlierRejectionLimits_.erase(entry->record.service);
  const bool changed = rejectionLimits_.noteAnswer(upstream, perSecond, now);
  if (changed) assumeRejectionLimits(now);
  return changed;
}

void UpstreamTable::noteEarlierRejectionLimits(std::span<const ServiceLimit> limits, Instant now) {
  for (const ServiceLimit& limit : limits)
    earlierRejectionLimits_[limit.service] = limit.rejectionsPerSecond;
  assumeRejectionLimits(now);
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
  if (it == entries_.end()) return;
  it->second.own += {1, promptTokens};
  if (promptTokens > 0) it->second.readsPrompts = true;
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
  if (result == DispatchResult::rejected) noteFull(entry);
  if (entry.own.requests > 0) --entry.own.requests;
  switch (result) {
    case DispatchResult::answered:
      outages_.erase(entry.record.domain);
      entry.consecutiveFailures = 0;
      entry.ejectedUntil = {};
      return;
    case DispatchResult::rejected:
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
    case DispatchResult::failed:
      noteFailure(entry, now);
      return;
    case DispatchResult::silent:
    case DispatchResult::abandoned:
      return;
  }
}

void UpstreamTable::noteSilent(const UpstreamIncarnation& upstream, Instant now) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry != nullptr) noteFailure(*entry, now);
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
  if (usesEstimates_) estimateSpeeds(now);
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

/// A process that reports its start may be replaced by one of another version under the same id,
/// and the listing shows it late.
bool UpstreamTable::runsVersion(const UpstreamEntry& entry, const SoftwareVersion& version,
                                Instant now) const {
  if (version.empty() || entry.record.version != version) return false;
  const bool keepsId = entry.record.incarnation != 0;
  return !keepsId || !entry.mayHaveEndedAt || now - *entry.mayHaveEndedAt >= kRestartListingTime;
}

double UpstreamTable::workUntilResponse(const UpstreamEntry& entry, std::uint64_t promptTokens) {
  const double own = entry.readsPrompts ? static_cast<double>(promptTokens) : kRequestWork;
  return workAhead(entry) + own;
}

Millis UpstreamTable::predictedQueueDelay(const UpstreamEntry& entry) const {
  const double speed = entry.estimate.workPerMs;
  return speed > 0 ? toMillis(workAhead(entry) / speed) : Millis(0);
}

Millis UpstreamTable::predictedFirstEvent(const UpstreamEntry& entry,
                                          std::uint64_t promptTokens) const {
  const double speed = entry.estimate.workPerMs;
  if (speed <= 0) return Millis(0);
  return toMillis(workUntilResponse(entry, promptTokens) / speed + entry.estimate.pauseMs);
}

DispatchForecast UpstreamTable::forecast(const UpstreamEntry& entry,
                                         std::uint64_t promptTokens) const {
  return {workUntilResponse(entry, promptTokens), entry.estimate.workPerMs,
          predictedFirstEvent(entry, promptTokens), reportAge_};
}

void UpstreamTable::noteMemoryTaken(const UpstreamIncarnation& upstream, std::uint64_t tokens) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry != nullptr && usesEstimates_) entry->own.memoryTokens += tokens;
}

void UpstreamTable::noteMemoryFreed(const UpstreamIncarnation& upstream, std::uint64_t tokens) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry == nullptr) return;
  std::uint64_t& taken = entry->own.memoryTokens;
  taken -= std::min(taken, tokens);
}

void UpstreamTable::noteProcessed(const UpstreamIncarnation& upstream, double work, Millis time,
                                  Instant now) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry == nullptr || !usesEstimates_) return;
  const auto ms = static_cast<double>(time.count());
  const double processing = std::max(ms * kMinProcessingFraction, ms - entry->estimate.pauseMs);
  noteAccepted(*entry);
  entry->observed.addWork(work, toMillis(std::max(1.0, processing)), now);
}

void UpstreamTable::notePauses(const UpstreamIncarnation& upstream, std::uint64_t pauses,
                               Millis time, Instant now) {
  UpstreamEntry* const entry = findIncarnation(upstream.id, upstream.incarnation);
  if (entry == nullptr || !usesEstimates_ || pauses == 0) return;
  entry->observed.addPauses(static_cast<double>(pauses), time, now);
}

void UpstreamTable::setServices(std::span<const GatewayService> services) {
  serviceMemory_.clear();
  for (const GatewayService& service : services) {
    if (service.engine) serviceMemory_[service.name] = service.engine->cacheTokens;
  }
}

void UpstreamTable::noteFull(const UpstreamEntry& entry) {
  const bool full = entry.record.state == UpstreamState::ready && entry.load() > entry.record.slots;
  if (!usesEstimates_ || !full) return;
  double& ratio = queueRatios_.try_emplace(entry.record.service, kAssumedQueueRatio).first->second;
  ratio = std::min(ratio, queueRatio(entry));
}

void UpstreamTable::noteAccepted(const UpstreamEntry& entry) {
  if (entry.load() <= entry.room || entry.room == 0) return;
  double& ratio = queueRatios_.try_emplace(entry.record.service, kAssumedQueueRatio).first->second;
  ratio += kQueueGrowth * std::max(0.0, queueRatio(entry) - ratio);
}

/// Only the reports of others and observations change estimates, so that a choice looks nothing up.
void UpstreamTable::estimateSpeeds(Instant now) {
  estimates_.begin();
  for (auto& [id, entry] : entries_) {
    entry.observed.writeTo(entry.own, now);
    const auto memory = serviceMemory_.find(entry.record.service);
    entry.memoryTokens = memory == serviceMemory_.end() ? 0 : memory->second;
    const auto queue = queueRatios_.find(entry.record.service);
    const double ratio = queue == queueRatios_.end() ? kAssumedQueueRatio : queue->second;
    entry.room = static_cast<std::uint32_t>(slotsOf(entry) * (1 + kUsedQueueFraction * ratio));
    if (entry.memoryTokens > 0 || entry.pendingPrefillTokens() > 0) entry.readsPrompts = true;
    UpstreamLoad all = entry.own;
    all += entry.peerLoad;
    estimates_.add(entry.record.service, all);
  }
  for (auto& [id, entry] : entries_) {
    UpstreamLoad all = entry.own;
    all += entry.peerLoad;
    entry.estimate =
        estimates_.estimate(entry.record.service, all, now < entry.warmUntil, entry.estimate);
  }
}

UpstreamLoads UpstreamTable::ownLoads() const {
  UpstreamLoads loads;
  for (const auto& [id, entry] : entries_) {
    if (entry.own != UpstreamLoad{}) loads[id] = entry.own;
  }
  return loads;
}

}  // namespace Hallchute
