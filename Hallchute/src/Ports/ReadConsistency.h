// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_READCONSISTENCY_H
#define HALLCHUTE_PORTS_READCONSISTENCY_H

namespace Hallchute {

/// \brief Which state of the store a read may show. \ingroup Ports
enum class ReadConsistency {
  /// The newest.
  latest,
  /// Maybe some seconds old: the store may answer it from a copy, for less.
  possiblyStale,
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_READCONSISTENCY_H
