// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_TOKENFUNCTION_H
#define HALLCHUTE_STANDIN_TOKENFUNCTION_H

#include <cstddef>
#include <string>
#include <string_view>

namespace Standin {

/// \brief Token \p index of the answer to \p prompt: the same in every process, so that a test can
/// check any answer byte for byte.
std::string tokenOf(std::string_view prompt, std::size_t index);

/// \brief The first \p count tokens, joined.
std::string answerOf(std::string_view prompt, std::size_t count);

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_TOKENFUNCTION_H
