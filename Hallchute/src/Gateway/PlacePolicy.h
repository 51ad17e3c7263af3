// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_PLACEPOLICY_H
#define HALLCHUTE_GATEWAY_PLACEPOLICY_H

#include <cstddef>
#include <optional>
#include <span>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/HeldPlace.h"

namespace Hallchute {

/// \brief Chooses the connection that gives its place to a new caller when all are taken.
/// \ingroup Gateway
///
/// First the answered ones; then requests that have been arriving slowly for longer than
/// \p headTimeout, the slowest first; then the connection that has been idle for the longest; then
/// the slowest of the other arriving requests; last those that haven't read their response for as
/// long as \p headTimeout. Never a request in progress. O(n).
/// \returns the index in \p places; nothing if none may be closed.
std::optional<std::size_t> placeToGiveUp(std::span<const HeldPlace> places, Millis headTimeout,
                                         Instant now);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_PLACEPOLICY_H
