// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/UpstreamChooser.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Minimum load bound in requests, so that cache affinity also applies in a nearly idle shard.
constexpr double kMinLoadBound = 2.0;
/// Upper limit for the cost of evicting a recently used token, relative to one of mean age.
constexpr double kMaxRecencyFactor = 4;

bool lessLoaded(const Candidate& a, const Candidate& b) {
  if (a.inFlight != b.inFlight) return a.inFlight < b.inFlight;
  if (a.pendingTokens != b.pendingTokens) return a.pendingTokens < b.pendingTokens;
  return a.idHash < b.idHash;
}

struct PolicyVisitor {
  const RoutingRequest& request;
  std::span<const Candidate> candidates;

  std::size_t operator()(RoundRobin& policy) const {
    const auto nextCandidate =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const Candidate& c) { return c.slot >= policy.next; });
    const Candidate& chosen =
        nextCandidate == candidates.end() ? candidates.front() : *nextCandidate;
    policy.next = chosen.slot + 1;
    return chosen.slot;
  }

  std::size_t operator()(LeastInFlight&) const {
    return std::min_element(candidates.begin(), candidates.end(), lessLoaded)->slot;
  }

  std::size_t operator()(SessionHash&) const {
    const auto weight = [&](const Candidate& c) {
      return c.idHash ^ (request.affinity * kHashMultiplier);
    };
    return std::min_element(
               candidates.begin(), candidates.end(),
               [&](const Candidate& a, const Candidate& b) { return weight(a) < weight(b); })
        ->slot;
  }

  std::size_t operator()(const PrefixAffinity& policy) const {
    const double bound = std::max(kMinLoadBound, policy.loadBound * (request.meanInFlight + 1));
    const double meanAge = meanEvictionAge();
    const Candidate* best = nullptr;
    double bestCost = 0;
    bool bestUnderBound = false;
    for (const Candidate& candidate : candidates) {
      const bool underBound = static_cast<double>(candidate.inFlight) < bound;
      const double cost = costOf(policy, candidate, meanAge);
      const bool better =
          best == nullptr || (underBound != bestUnderBound ? underBound : cost < bestCost);
      if (!better) continue;
      best = &candidate;
      bestCost = cost;
      bestUnderBound = underBound;
    }
    return best->slot;
  }

  double costOf(const PrefixAffinity& policy, const Candidate& candidate, double meanAge) const {
    const double uncached = candidate.computeCost;
    double evicted = 0;
    if (candidate.evictionAge) {
      const double recencyFactor = meanAge / static_cast<double>(*candidate.evictionAge + 1);
      evicted = uncached * policy.evictionWeight * std::min(recencyFactor, kMaxRecencyFactor);
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

  static constexpr std::uint64_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;
};

}  // namespace

std::optional<std::size_t> chooseUpstream(RoutingPolicy& policy, const RoutingRequest& request,
                                          std::span<const Candidate> candidates) {
  if (candidates.empty()) return std::nullopt;
  return std::visit(PolicyVisitor{request, candidates}, policy);
}

}  // namespace Hallchute
