// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_STOPSOAK_H
#define HALLCHUTE_TEST_SOAK_STOPSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Daemons are stopped, killed, suspended and told to reload over and over under load, and
/// started again at once, while callers keep connections open.
/// \returns whether each stop ended with exit code 0 in time and no daemon ended by itself. Prints
/// the figures.
bool runStopSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_STOPSOAK_H
