// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_PREFIXINDEX_H
#define HALLCHUTE_ROUTING_PREFIXINDEX_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>

namespace Hallchute {

/// \brief Estimated content of one upstream's prefix cache: the blocks sent there, with
/// least-recently-used eviction.
/// \ingroup Routing
///
/// Cost: amortised constant time per block; about 80 bytes per cached block.
class PrefixIndex {
 public:
  /// \param capacityTokens capacity of the upstream's cache, in tokens.
  explicit PrefixIndex(std::size_t capacityTokens);

  /// \brief Number of tokens in the prompt's leading blocks that are cached.
  std::size_t cachedTokens(std::span<const std::uint64_t> hashes) const;
  /// \brief Records that a prompt was sent; its last blocks are evicted before its first.
  /// \param stamp logical clock of the owner, incremented for each prompt sent to any upstream.
  void recordUse(std::span<const std::uint64_t> hashes, std::uint64_t stamp = 0);
  /// \brief Stamp of the block that would be evicted next; empty while the cache is not full.
  std::optional<std::uint64_t> nextEvictionStamp() const;
  /// \brief Number of prompts that have used the block since it was cached; 0 if it is not cached.
  std::uint64_t useCount(std::uint64_t hash) const;
  /// \brief Applies a cache event: the upstream evicted this block.
  void evict(std::uint64_t hash);
  void setCapacity(std::size_t capacityTokens);
  std::size_t blockCount() const { return blocksByHash_.size(); }

 private:
  void evictExcess();

  std::size_t maxBlocks_;
  struct Block {
    std::uint64_t hash;
    std::uint64_t stamp;
    std::uint64_t uses;
  };

  std::list<Block> lruBlocks_;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> blocksByHash_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_PREFIXINDEX_H
