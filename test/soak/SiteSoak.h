// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SITESOAK_H
#define HALLCHUTE_TEST_SOAK_SITESOAK_H

namespace Soak {

struct SoakOptions;

/// \brief A small deployment under its usual traffic, while daemons start, end, are cut off, held
/// up and slowed down, and its store is away or slow; one such event after the other, by the seed.
/// \returns whether the share of served requests was back in time after each event, and no daemon
/// ended by itself. Prints what was served in each second.
bool runSiteSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SITESOAK_H
