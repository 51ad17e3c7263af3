// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_THREADNAME_H
#define HALLCHUTE_OBSERVABILITY_THREADNAME_H

#include <string_view>

namespace Hallchute {

/// \brief Names the calling thread in `daemon.terminated` lines and in the system's tools.
/// \ingroup Observability
/// \param name the first 15 characters count.
void nameThread(std::string_view name);

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_THREADNAME_H
