// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/PrefixIndex.h"

#include "Hallchute/src/Routing/PrefixBlocks.h"

namespace Hallchute {

PrefixIndex::PrefixIndex(std::size_t capacityTokens)
    : maxBlocks_(capacityTokens / PrefixBlocks::kTokensPerBlock) {}

std::size_t PrefixIndex::cachedTokens(std::span<const std::uint64_t> hashes) const {
  std::size_t count = 0;
  while (count < hashes.size() && blocksByHash_.contains(hashes[count])) ++count;
  return count * PrefixBlocks::kTokensPerBlock;
}

void PrefixIndex::recordUse(std::span<const std::uint64_t> hashes, std::uint64_t stamp) {
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    const auto entry = blocksByHash_.find(*hash);
    if (entry != blocksByHash_.end()) {
      entry->second->stamp = stamp;
      ++entry->second->uses;
      lruBlocks_.splice(lruBlocks_.begin(), lruBlocks_, entry->second);
    } else {
      lruBlocks_.push_front({*hash, stamp, 1});
      blocksByHash_[*hash] = lruBlocks_.begin();
    }
  }
  evictExcess();
}

std::optional<std::uint64_t> PrefixIndex::nextEvictionStamp() const {
  if (blocksByHash_.size() < maxBlocks_ || lruBlocks_.empty()) return std::nullopt;
  return lruBlocks_.back().stamp;
}

std::uint64_t PrefixIndex::useCount(std::uint64_t hash) const {
  const auto entry = blocksByHash_.find(hash);
  return entry == blocksByHash_.end() ? 0 : entry->second->uses;
}

void PrefixIndex::evict(std::uint64_t hash) {
  const auto entry = blocksByHash_.find(hash);
  if (entry == blocksByHash_.end()) return;
  lruBlocks_.erase(entry->second);
  blocksByHash_.erase(entry);
}

void PrefixIndex::setCapacity(std::size_t capacityTokens) {
  maxBlocks_ = capacityTokens / PrefixBlocks::kTokensPerBlock;
  evictExcess();
}

void PrefixIndex::evictExcess() {
  while (blocksByHash_.size() > maxBlocks_) {
    blocksByHash_.erase(lruBlocks_.back().hash);
    lruBlocks_.pop_back();
  }
}

}  // namespace Hallchute
