// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_SENDQUEUE_H
#define HALLCHUTE_HTTP_SENDQUEUE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/SharedBytes.h"

namespace Hallchute {

/// \brief Bytes that wait to be sent, in order; some are shared with other components instead of
/// copied.
/// \ingroup Http
///
/// Memory is released as the bytes are sent, but for a few kilobytes.
class SendQueue {
 public:
  void append(std::string_view bytes);
  void append(SharedBytes bytes);
  /// \brief The first bytes, as many as are stored in one piece; empty only if the queue is.
  std::string_view front() const;
  /// \brief Removes \p count bytes from the start of front().
  void consume(std::size_t count);
  void clear();
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  struct Piece {
    std::string_view unsent() const;
    /// Unused if `shared` isn't null.
    std::string own;
    SharedBytes shared;
    std::size_t sent = 0;
  };

  /// None is empty, unless it is the only one.
  std::vector<Piece> pieces_;
  std::size_t size_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_SENDQUEUE_H
