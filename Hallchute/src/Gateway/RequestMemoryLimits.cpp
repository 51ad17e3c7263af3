// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RequestMemoryLimits.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Reciprocal of the part that is reserved for ordinary requests.
constexpr std::size_t kReservedFraction = 4;
/// Memory for each byte of a head: the shortest field has four bytes and takes two strings.
constexpr std::size_t kMemoryPerHeadByte = 17;
/// The body, and a copy while it is sent to another daemon.
constexpr std::size_t kBodyCopies = 2;

}  // namespace

RequestMemoryLimits RequestMemoryLimits::divide(std::size_t share, std::size_t largestRequest) {
  const std::size_t reserved = std::max(share / kReservedFraction, kOrdinaryBytes);
  const std::size_t large = std::max(share - std::min(share, reserved), largestRequest);
  return {large + reserved, large};
}

std::size_t RequestMemoryLimits::largestRequest(std::size_t headBytes, std::size_t bodyBytes) {
  return kMemoryPerHeadByte * headBytes + kBodyCopies * bodyBytes;
}

}  // namespace Hallchute
