// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_READAGE_H
#define HALLCHUTE_PORTS_READAGE_H

namespace Hallchute {

/// \brief How recent the state returned by a read of the store must be. \ingroup Ports
enum class ReadAge {
  /// The most recent state.
  newest,
  /// Possibly some seconds old: the store may serve the read from a replica, at lower cost.
  maybeOld,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_READAGE_H
