// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_REQUESTMEMORYLIMITS_H
#define HALLCHUTE_GATEWAY_REQUESTMEMORYLIMITS_H

#include <cstddef>

namespace Hallchute {

/// \brief How much memory requests may take. \ingroup Gateway
struct RequestMemoryLimits {
  /// A request up to this size is an ordinary one, in bytes; others are large.
  static constexpr std::size_t kOrdinaryBytes = std::size_t{64} << 10U;

  /// Of all requests, in bytes.
  std::size_t bytes = 0;
  /// Of the large ones, in bytes; the rest is reserved for ordinary requests.
  std::size_t largeBytes = 0;

  /// \brief Divides \p share, in bytes. Both limits are raised where a single request of
  /// \p largestRequest bytes would exceed its part: alone it must be served.
  static RequestMemoryLimits divide(std::size_t share, std::size_t largestRequest);
  /// \brief The most memory that a request with a head and a body of these sizes takes, in bytes:
  /// with a copy of its body for another daemon, and with as many fields as its head can have.
  static std::size_t largestRequest(std::size_t headBytes, std::size_t bodyBytes);
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_REQUESTMEMORYLIMITS_H
