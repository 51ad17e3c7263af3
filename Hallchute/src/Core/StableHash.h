// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_STABLEHASH_H
#define HALLCHUTE_CORE_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace Hallchute {

/// \brief A 64-bit hash that is identical in every process and release.
/// \ingroup Core
/// \param seed to hash several strings in sequence, pass the previous hash.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// \brief The hash mapped uniformly to the range from 0 to 1.
/// \ingroup Core
double hashFraction(std::string_view text, std::uint64_t seed = 0);

/// \brief The hash mapped to an exponential distribution with rate \p weight: among several texts,
/// each has the lowest rank with a probability proportional to its weight.
/// \ingroup Core
double weightedHashRank(std::string_view text, std::uint64_t seed, double weight);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_STABLEHASH_H
