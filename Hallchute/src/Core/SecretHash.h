// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_SECRETHASH_H
#define HALLCHUTE_CORE_SECRETHASH_H

#include <string>
#include <string_view>

namespace Hallchute {

/// \brief The lower-case hexadecimal SHA-256 of \p secret.
/// \ingroup Core
std::string secretHash(std::string_view secret);

/// \brief Compares two texts in a time that depends on their lengths only.
/// \ingroup Core
bool equalInConstantTime(std::string_view left, std::string_view right);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_SECRETHASH_H
