// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SILENCESOAK_H
#define HALLCHUTE_TEST_SOAK_SILENCESOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Sound replicas fall silent for up to 2.5 s, also midway in a stream and all at once, and
/// daemons are suspended for up to 1.5 s, while the settings change, daemons stop, are killed and
/// are cut off from the replicas.
/// \returns whether each whole request to a daemon that neither ended nor was cut off got its
/// answer or a refusal, on a kept connection too, and none was ended before its time limit; whether
/// no stream missed or repeated an event; whether no request ran twice that must not, or ran
/// though it was refused; and whether no daemon ended by itself. Prints the figures.
bool runSilenceSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SILENCESOAK_H
