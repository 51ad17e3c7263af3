// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Routing/PrefixBlocks.h"

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

bool isSpace(char c) {
  return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

}  // namespace

PrefixBlocks prefixBlocks(std::string_view prompt) {
  PrefixBlocks blocks;
  std::size_t blockStart = 0;
  std::uint64_t chainedHash = 0;
  bool inWord = false;
  for (std::size_t i = 0; i <= prompt.size(); ++i) {
    const bool space = i == prompt.size() || isSpace(prompt[i]);
    if (!space) {
      inWord = true;
      continue;
    }
    if (!inWord) continue;
    inWord = false;
    ++blocks.tokens;
    const bool blockEnds = blocks.tokens % PrefixBlocks::kTokensPerBlock == 0;
    if (!blockEnds || blocks.hashes.size() >= PrefixBlocks::kMaxBlocks) continue;
    chainedHash = stableHash(prompt.substr(blockStart, i - blockStart), chainedHash);
    blocks.hashes.push_back(chainedHash);
    blockStart = i;
  }
  return blocks;
}

}  // namespace Hallchute
