// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/UpstreamChooser.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// An idle shard may still give an upstream this many requests for the sake of its cache.
constexpr double kLeastBound = 2.0;
/// However young an evicted token is, it counts no more than so many of mean age.
constexpr double kMostYouth = 4;

bool lessLoaded(const Candidate& a, const Candidate& b) {
  if (a.inFlight != b.inFlight) return a.inFlight < b.inFlight;
  if (a.pendingTokens != b.pendingTokens) return a.pendingTokens < b.pendingTokens;
  return a.idHash < b.idHash;
}

struct Chooser {
  const RoutingRequest& request;
  std::span<const Candidate> candidates;

  std::size_t operator()(RoundRobin& policy) const {
    const auto after = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const Candidate& c) { return c.slot >= policy.next; });
    const Candidate& chosen = after == candidates.end() ? candidates.front() : *after;
    policy.next = chosen.slot + 1;
    return chosen.slot;
  }

  std::size_t operator()(LeastInFlight&) const {
    return std::min_element(candidates.begin(), candidates.end(), lessLoaded)->slot;
  }

  std::size_t operator()(SessionHash&) const {
    const auto weight = [&](const Candidate& c) { return c.idHash ^ (request.affinity * kMix); };
    return std::min_element(
               candidates.begin(), candidates.end(),
               [&](const Candidate& a, const Candidate& b) { return weight(a) < weight(b); })
        ->slot;
  }

  std::size_t operator()(const PrefixAffinity& policy) const {
    const double bound = std::max(kLeastBound, policy.loadBound * (request.meanInFlight + 1));
    const double meanAge = meanEvictionAge();
    const Candidate* best = nullptr;
    double bestCost = 0;
    bool bestFits = false;
    for (const Candidate& candidate : candidates) {
      const bool fits = static_cast<double>(candidate.inFlight) < bound;
      const double cost = costOf(policy, candidate, meanAge);
      const bool better = best == nullptr || (fits != bestFits ? fits : cost < bestCost);
      if (!better) continue;
      best = &candidate;
      bestCost = cost;
      bestFits = fits;
    }
    return best->slot;
  }

  double costOf(const PrefixAffinity& policy, const Candidate& candidate, double meanAge) const {
    const double uncached = candidate.computeCost;
    double evicted = 0;
    if (candidate.evictionAge) {
      const double youth = meanAge / static_cast<double>(*candidate.evictionAge + 1);
      evicted = uncached * policy.evictionWeight * std::min(youth, kMostYouth);
    }
    return uncached + evicted + policy.tokensPerRequest * static_cast<double>(candidate.inFlight);
  }

  double meanEvictionAge() const {
    double sum = 0;
    double count = 0;
    for (const Candidate& candidate : candidates) {
      if (!candidate.evictionAge) continue;
      sum += static_cast<double>(*candidate.evictionAge) + 1;
      ++count;
    }
    return count == 0 ? 1 : sum / count;
  }

  static constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15ULL;
};

}  // namespace

std::optional<std::size_t> chooseUpstream(RoutingPolicy& policy, const RoutingRequest& request,
                                          std::span<const Candidate> candidates) {
  if (candidates.empty()) return std::nullopt;
  return std::visit(Chooser{request, candidates}, policy);
}

}  // namespace Hallchute
