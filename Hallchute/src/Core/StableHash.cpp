// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Core/StableHash.h"

#include <xxhash.h>

namespace Hallchute {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace Hallchute
