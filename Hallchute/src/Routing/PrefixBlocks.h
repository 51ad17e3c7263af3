// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_PREFIXBLOCKS_H
#define HALLCHUTE_ROUTING_PREFIXBLOCKS_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Hallchute {

/// \brief Size of a prompt and chained hashes of its leading blocks, for prefix-aware routing.
/// \ingroup Routing
///
/// Two prompts share a prefix of `n * kTokensPerBlock` tokens if and only if their first n hashes
/// are equal. Paged prefix caches identify their blocks by chained hashes in the same way.
struct PrefixBlocks {
  static constexpr std::size_t kTokensPerBlock = 32;
  /// Limits the size of a grant message; longer prompts are matched by their leading blocks only.
  static constexpr std::size_t kMaxBlocks = 256;

  std::size_t tokens = 0;
  std::vector<std::uint64_t> hashes;
};

/// \brief Splits \p prompt into blocks, counting each word as one token. Cost: one pass over the
/// text.
/// \ingroup Routing
PrefixBlocks prefixBlocks(std::string_view prompt);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_PREFIXBLOCKS_H
