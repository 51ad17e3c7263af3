// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Core/StableHash.h"

#include <xxhash.h>

#include <cmath>

namespace Hallchute {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double hashFraction(std::string_view text, std::uint64_t seed) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(stableHash(text, seed)) / kRange;
}

double weightedHashRank(std::string_view text, std::uint64_t seed, double weight) {
  return -std::log1p(-hashFraction(text, seed)) / weight;
}

}  // namespace Hallchute
