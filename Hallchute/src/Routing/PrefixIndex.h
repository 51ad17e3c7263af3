// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_PREFIXINDEX_H
#define HALLCHUTE_ROUTING_PREFIXINDEX_H

#include <cstddef>
#include <cstdint>
#include <list>
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
  void use(std::span<const std::uint64_t> hashes);
  /// \brief Takes a cache event into account: the upstream dropped this block.
  void drop(std::uint64_t hash);
  void setCapacity(std::size_t capacityTokens);
  std::size_t blocks() const { return places_.size(); }

 private:
  void shrink();

  std::size_t maxBlocks_;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_PREFIXINDEX_H
