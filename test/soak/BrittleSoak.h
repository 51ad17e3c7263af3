// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_BRITTLESOAK_H
#define HALLCHUTE_TEST_SOAK_BRITTLESOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Replicas crash when they have to reject too many requests, and are back as new ones some
/// seconds later; callers ask for more than they can do and return at once, daemons are killed and
/// started, and one replica crashes for another reason.
/// \returns whether the replicas crashed under rejections at most two times and a tenth of their
/// number, whether requests were served meanwhile, and whether no daemon ended by itself. Prints
/// the figures.
bool runBrittleSoak(const SoakOptions& options);

/// \brief The same for a jump of demand from 0.6 of what the replicas could do to twice, while
/// daemons are killed and started.
bool runJumpSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_BRITTLESOAK_H
