// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_ANSWERBOUNDS_H
#define HALLCHUTE_UPSTREAM_ANSWERBOUNDS_H

#include <cstddef>

namespace Hallchute {

/// \brief How much of the answers of upstreams is kept in memory. \ingroup Upstream
struct AnswerBounds {
  /// Bytes of the body of an answer that is held until it is whole.
  std::size_t bodyBytes = std::size_t{8} << 20U;
  /// Bytes of one event of a stream, with the comments before it.
  std::size_t eventBytes = std::size_t{256} << 10U;
  /// Bytes of all answers that are held, by all connections to upstreams together.
  std::size_t heldBytes = std::size_t{16} << 20U;
  bool operator==(const AnswerBounds&) const = default;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_ANSWERBOUNDS_H
