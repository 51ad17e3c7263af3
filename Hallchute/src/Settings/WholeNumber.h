// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_WHOLENUMBER_H
#define HALLCHUTE_SETTINGS_WHOLENUMBER_H

#include <Poco/Dynamic/Var.h>

#include <cstdint>
#include <optional>

namespace Hallchute {

/// \brief \p value as a whole number from 0 to 2^64 - 1; nothing if it is anything else.
/// \ingroup Settings
///
/// Never throws. Poco's own comparison of a value with an `int` throws if the value doesn't fit in
/// one, as a time in Unix milliseconds doesn't.
std::optional<std::uint64_t> wholeNumber(const Poco::Dynamic::Var& value);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_WHOLENUMBER_H
