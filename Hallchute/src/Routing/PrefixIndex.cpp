// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/PrefixIndex.h"

#include "Hallchute/src/Routing/PrefixBlocks.h"

namespace Hallchute {

PrefixIndex::PrefixIndex(std::size_t capacityTokens)
    : maxBlocks_(capacityTokens / PrefixBlocks::kTokensPerBlock) {}

std::size_t PrefixIndex::cachedTokens(std::span<const std::uint64_t> hashes) const {
  std::size_t held = 0;
  while (held < hashes.size() && places_.contains(hashes[held])) ++held;
  return held * PrefixBlocks::kTokensPerBlock;
}

void PrefixIndex::recordUse(std::span<const std::uint64_t> hashes, std::uint64_t stamp) {
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    const auto place = places_.find(*hash);
    if (place != places_.end()) {
      place->second->stamp = stamp;
      ++place->second->uses;
      recent_.splice(recent_.begin(), recent_, place->second);
    } else {
      recent_.push_front({*hash, stamp, 1});
      places_[*hash] = recent_.begin();
    }
  }
  shrink();
}

std::optional<std::uint64_t> PrefixIndex::nextEvictionStamp() const {
  if (places_.size() < maxBlocks_ || recent_.empty()) return std::nullopt;
  return recent_.back().stamp;
}

std::uint64_t PrefixIndex::useCount(std::uint64_t hash) const {
  const auto place = places_.find(hash);
  return place == places_.end() ? 0 : place->second->uses;
}

void PrefixIndex::evict(std::uint64_t hash) {
  const auto place = places_.find(hash);
  if (place == places_.end()) return;
  recent_.erase(place->second);
  places_.erase(place);
}

void PrefixIndex::setCapacity(std::size_t capacityTokens) {
  maxBlocks_ = capacityTokens / PrefixBlocks::kTokensPerBlock;
  shrink();
}

void PrefixIndex::shrink() {
  while (places_.size() > maxBlocks_) {
    places_.erase(recent_.back().hash);
    recent_.pop_back();
  }
}

}  // namespace Hallchute
