// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/WholeNumber.h"

namespace Hallchute {

std::optional<std::uint64_t> wholeNumber(const Poco::Dynamic::Var& value) {
  if (value.isEmpty() || !value.isInteger() || value.isBoolean()) return std::nullopt;
  if (!value.isSigned()) return value.convert<std::uint64_t>();
  const auto number = value.convert<std::int64_t>();
  if (number < 0) return std::nullopt;
  return static_cast<std::uint64_t>(number);
}

}  // namespace Hallchute
