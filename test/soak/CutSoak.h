// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_CUTSOAK_H
#define HALLCHUTE_TEST_SOAK_CUTSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Daemons are cut off from all replicas, one or most or all of a domain at a time, while
/// others restart, replicas fall silent for a second and the store goes away.
/// \returns whether, from the contact time after each cut on, callers of the daemons that were cut
/// off were served at least two thirds as often as those of the others, or hardly any was not;
/// whether no request ran twice that must not, or ran though it was refused; whether no stream
/// missed or repeated an event over all attempts of its caller; and whether no daemon
/// ended by itself. Prints the figures.
bool runCutSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_CUTSOAK_H
