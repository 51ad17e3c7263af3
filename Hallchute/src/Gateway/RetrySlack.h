// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_RETRYSLACK_H
#define HALLCHUTE_GATEWAY_RETRYSLACK_H

#include <chrono>
#include <cstddef>
#include <deque>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief How much of the fleet's retry slack one daemon earns over time. Not thread-safe; no I/O,
/// no clock. \ingroup Gateway
///
/// The daemons earn the slack together at a constant rate, in equal shares. A daemon earns nothing
/// before its start or while it doesn't know how many share, so that restarts and joins don't add
/// to what the fleet earns.
class RetrySlack {
 public:
  /// \brief Sets the number of daemons that share the slack from now on; 0 if it is unknown.
  void setSharers(std::size_t daemons, Instant now);
  /// \brief The daemon's share of the time between two instants: that time divided by the number of
  /// daemons, as it changed meanwhile. \param from at most kMemory before \p to.
  std::chrono::duration<double> earned(Instant from, Instant to) const;
  std::size_t sharers() const { return spans_.empty() ? 0 : spans_.back().sharers; }

  /// How long numbers of daemons are remembered.
  static constexpr Millis kMemory{60'000};

 private:
  /// A number of daemons and since when it has been valid.
  struct Span {
    Instant start{};
    std::size_t sharers = 0;
  };

  std::deque<Span> spans_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_RETRYSLACK_H
