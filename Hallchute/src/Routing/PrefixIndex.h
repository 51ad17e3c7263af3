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

/// \brief What one upstream's prefix cache is taken to hold: the blocks sent there, least recently
/// used out first.
/// \ingroup Routing
///
/// Cost: amortised constant time a block; about 80 bytes a block held.
class PrefixIndex {
 public:
  /// \param capacityTokens what the upstream's cache holds.
  explicit PrefixIndex(std::size_t capacityTokens);

  /// \brief Tokens of the prompt's leading blocks that are held.
  std::size_t cachedTokens(std::span<const std::uint64_t> hashes) const;
  /// \brief Notes that a prompt was sent; its tail goes out before its head.
  /// \param stamp a clock of the owner's that rises with each prompt it sends anywhere.
  void recordUse(std::span<const std::uint64_t> hashes, std::uint64_t stamp = 0);
  /// \brief Stamp of the block that would go out next; nothing while there is room.
  std::optional<std::uint64_t> nextEvictionStamp() const;
  /// \brief How many prompts have used the block since it came here; 0 if it is not held.
  std::uint64_t useCount(std::uint64_t hash) const;
  /// \brief Takes a cache event into account: the upstream dropped this block.
  void evict(std::uint64_t hash);
  void setCapacity(std::size_t capacityTokens);
  std::size_t blockCount() const { return places_.size(); }

 private:
  void shrink();

  std::size_t maxBlocks_;
  struct Block {
    std::uint64_t hash;
    std::uint64_t stamp;
    std::uint64_t uses;
  };

  std::list<Block> recent_;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> places_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_PREFIXINDEX_H
