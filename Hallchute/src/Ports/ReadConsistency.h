// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_READCONSISTENCY_H
#define HALLCHUTE_PORTS_READCONSISTENCY_H

namespace Hallchute {

/// \brief How recent the state returned by a read of the store must be. \ingroup Ports
enum class ReadConsistency {
  /// The most recent state.
  latest,
  /// Possibly some seconds old: the store may serve the read from a replica, at lower cost.
  possiblyStale,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_READCONSISTENCY_H
