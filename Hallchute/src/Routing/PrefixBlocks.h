// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_ROUTING_PREFIXBLOCKS_H
#define HALLCHUTE_ROUTING_PREFIXBLOCKS_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Hallchute {

/// \brief A prompt as the router sees it: its size and the chained hashes of its leading blocks.
/// \ingroup Routing
///
/// Two prompts share a prefix of `n * kTokensPerBlock` tokens exactly where their first n hashes
/// are equal. The idea of chained block hashes is that of paged prefix caches.
struct PrefixBlocks {
  static constexpr std::size_t kTokensPerBlock = 32;
  /// Bounds the size of a grant message; longer prompts match on their leading blocks only.
  static constexpr std::size_t kMaxBlocks = 256;

  std::size_t tokens = 0;
  std::vector<std::uint64_t> hashes;
};

/// \brief Estimates \p prompt: a word counts as a token. Cost: one pass over the text.
/// \ingroup Routing
PrefixBlocks prefixBlocks(std::string_view prompt);

}  // namespace Hallchute

#endif  // HALLCHUTE_ROUTING_PREFIXBLOCKS_H
