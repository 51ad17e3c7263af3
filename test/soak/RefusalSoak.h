// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_REFUSALSOAK_H
#define HALLCHUTE_TEST_SOAK_REFUSALSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Replicas reject requests, fail after they ran them, answer twice and lose answers, while
/// daemons stop, are killed, reload and are cut off and the store goes away. Callers send requests
/// that may run once again where the answer promises that they have not run.
/// \returns whether, by what ran at the replicas, no request that may run once ran twice and no
/// attempt ran that was answered 408, 421, 429 or 503; whether no caller got the answer of another
/// request; whether a fair part of the requests that may run once was served, some of them after a
/// rejection; and whether no daemon ended by itself. Prints the figures.
bool runRefusalSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_REFUSALSOAK_H
