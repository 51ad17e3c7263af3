// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_LIMITSOAK_H
#define HALLCHUTE_TEST_SOAK_LIMITSOAK_H

namespace Soak {

struct SoakOptions;

/// \brief Replicas name, change and drop a limit on the requests that they take, while daemons are
/// killed, started and suspended.
/// \returns whether each replica got at most one and a half times what its limit allows in 4 s, and
/// 5 requests, from daemons that had received it; whether it was used at all, and fully after the
/// limit; whether requests were served; and whether no daemon ended by itself. Prints the figures.
bool runLimitSoak(const SoakOptions& options);

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_LIMITSOAK_H
