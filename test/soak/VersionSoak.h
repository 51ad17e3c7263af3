// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_VERSIONSOAK_H
#define HALLCHUTE_TEST_SOAK_VERSIONSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Upstreams of two or three software versions serve side by side, are released and rolled
/// back, one version with a single upstream, while daemons are killed, one or all of them,
/// suspended, cut off from upstreams and from the store, upstreams crash, the store goes away,
/// answers from old copies after a kill of all, and lists an entry of another writer.
/// \returns whether at least half of the new streams begin at daemons in contact, no stream holds
/// events of more than one version, none is broken, of those that callers take up again at daemons
/// in contact, while two upstreams of their version serve, at least half as many go on as of the
/// new ones begin, at least half of those that were under way at a kill of all daemons go on, and
/// no daemon ended by itself. Prints the figures.
bool runVersionSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_VERSIONSOAK_H
