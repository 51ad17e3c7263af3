// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_STABLEHASH_H
#define HALLCHUTE_CORE_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace Hallchute {

/// \brief A 64-bit hash that is the same in every process and release.
/// \ingroup Core
/// \param seed chains hashes: pass the hash so far.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// \brief The hash as a number from 0 to 1, evenly spread.
/// \ingroup Core
double hashFraction(std::string_view text, std::uint64_t seed = 0);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_STABLEHASH_H
