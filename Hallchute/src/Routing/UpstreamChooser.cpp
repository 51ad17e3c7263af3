// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/UpstreamChooser.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// An idle shard may still give an upstream this many requests for the sake of its cache.
constexpr double kLeastBound = 2.0;

bool lessLoaded(const Candidate& a, const Candidate& b) {
  if (a.inFlight != b.inFlight) return a.inFlight < b.inFlight;
  if (a.pendingTokens != b.pendingTokens) return a.pendingTokens < b.pendingTokens;
  return a.idHash < b.idHash;
}

struct Chooser {
  const ChoiceRequest& request;
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

  std::size_t operator()(PrefixAffinity& policy) const {
    const double bound = std::max(kLeastBound, policy.loadBound * (request.meanInFlight + 1));
    const auto better = [&](const Candidate& a, const Candidate& b) {
      const bool aFits = static_cast<double>(a.inFlight) < bound;
      const bool bFits = static_cast<double>(b.inFlight) < bound;
      if (aFits != bFits) return aFits;
      if (aFits && a.cachedTokens != b.cachedTokens) return a.cachedTokens > b.cachedTokens;
      return lessLoaded(a, b);
    };
    return std::min_element(candidates.begin(), candidates.end(), better)->slot;
  }

  static constexpr std::uint64_t kMix = 0x9E3779B97F4A7C15ULL;
};

}  // namespace

std::optional<std::size_t> chooseUpstream(ChoicePolicy& policy, const ChoiceRequest& request,
                                          std::span<const Candidate> candidates) {
  if (candidates.empty()) return std::nullopt;
  return std::visit(Chooser{request, candidates}, policy);
}

}  // namespace Hallchute
