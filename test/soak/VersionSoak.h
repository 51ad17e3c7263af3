// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_VERSIONSOAK_H
#define HALLCHUTE_TEST_SOAK_VERSIONSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Upstreams of two or three software versions serve side by side, are released and rolled
/// back, one version with a single upstream, while daemons are killed and cut off from upstreams,
/// upstreams crash and the store goes away.
/// \returns whether at most two streams hold events of more than one version, none is broken, of
/// those that callers take up again at daemons in contact, while two upstreams of their version
/// serve, at least half as many go on as of the new ones begin, and no daemon ended by itself.
/// Prints the figures.
bool runVersionSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_VERSIONSOAK_H
