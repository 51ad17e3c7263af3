// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_DESCRIPTORLIMIT_H
#define HALLCHUTE_NODE_DESCRIPTORLIMIT_H

#include <cstddef>

namespace Hallchute {

/// \brief Raises the process's soft limit on open descriptors up to \p wanted, as far as the hard
/// limit allows; never lowers it. \ingroup Node
///
/// \returns the number of descriptors that may be used: \p wanted, or the limit in force where it
/// is lower, which is logged as `daemon.descriptors`.
std::size_t raiseDescriptorLimit(std::size_t wanted);

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_DESCRIPTORLIMIT_H
