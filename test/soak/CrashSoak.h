// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_CRASHSOAK_H
#define HALLCHUTE_TEST_SOAK_CRASHSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Requests that crash each replica that runs them come again at all daemons, beside
/// replicas that crash for other reasons and daemons that are killed and suspended.
/// \returns whether each such request reached replicas at most three times later than the contact
/// bound after the third crash, other requests were served again,
/// and no daemon ended by itself. Prints the figures.
bool runCrashSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_CRASHSOAK_H
