// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/TokenFunction.h"

#include "Hallchute/src/Core/StableHash.h"

namespace Standin {

std::string tokenOf(std::string_view prompt, std::size_t index) {
  const auto hash = Hallchute::stableHash(prompt, Hallchute::stableHash(std::to_string(index)));
  return "w" + std::to_string(hash % 100'000) + " ";
}

std::string answerOf(std::string_view prompt, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += tokenOf(prompt, i);
  return text;
}

}  // namespace Standin
