// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ORIGINARCHIVE_H
#define HALLCHUTE_TRAFFIC_ORIGINARCHIVE_H

#include <functional>

#include "Hallchute/src/Gateway/ArchiveEvidence.h"

namespace Hallchute {

/// \brief What the platform's store keeps of streams. Traffic thread only. \ingroup Traffic
class OriginArchive {
 public:
  using EvidenceSink = std::function<void(const ArchiveEvidence& evidence)>;

  OriginArchive() = default;
  OriginArchive(const OriginArchive&) = delete;
  OriginArchive& operator=(const OriginArchive&) = delete;
  virtual ~OriginArchive() = default;

  /// \brief Reads what is archived of a stream. \p onRead is called once from the loop, without an
  /// answer once the time is up.
  virtual void read(StreamKey stream, EvidenceSink onRead) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ORIGINARCHIVE_H
