// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_SECRETHASH_H
#define HALLCHUTE_CORE_SECRETHASH_H

#include <string>
#include <string_view>

namespace Hallchute {

/// \brief The SHA-256 of \p secret in lower-case hexadecimal.
/// \ingroup Core
std::string secretHash(std::string_view secret);

/// \brief Compares two strings in a time that depends only on their lengths, against timing
/// attacks. \ingroup Core
bool equalInConstantTime(std::string_view left, std::string_view right);

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_SECRETHASH_H
