// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_STREAMORIGINS_H
#define HALLCHUTE_GATEWAY_STREAMORIGINS_H

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/ArchiveShards.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/VersionHistory.h"

namespace Hallchute {

/// \brief Records which software version began each stream, so that it is continued by the same
/// one. Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// A daemon records the streams that begin at it and reports them to other daemons at once, as
/// callers come back to any daemon and the first one may be gone by then. Cost: one lookup per
/// stream; at most kMaxStreams records of about 150 bytes.
class StreamOrigins {
 public:
  static constexpr Millis kRetention = VersionHistory::kHorizon;
  static constexpr std::size_t kMaxStreams = 16'384;

  static StreamKey keyOf(const RequestId& attempt);

  /// \brief Records a stream that began at this daemon, at a process of \p upstream.
  void noteBegan(const StreamOrigin& origin, const UpstreamId& upstream, Instant now);
  /// \brief Records what another daemon reports. Reports of different versions leave none.
  void merge(std::span<const StreamOrigin> origins, Instant now);
  /// \brief Records that an upstream's process was replaced at \p since under the same id, which
  /// only a later listing shows: streams that began there since may have begun at the new one.
  /// \returns the streams whose version is therefore unknown, to report.
  std::vector<StreamOrigin> noteReplaced(const UpstreamId& upstream, Instant since);
  /// \brief The recorded origin of a stream; null if there is none.
  const StreamOrigin* find(StreamKey stream) const;
  /// \brief The streams of some shards that were recorded after \p since, the newest first.
  std::vector<StreamOrigin> recorded(const ArchiveShards& shards, Instant since) const;
  void sweep(Instant now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    Instant at{};
    /// Where it began; empty if another daemon reported it.
    UpstreamId upstream;
  };

  Entry& entryOf(StreamKey stream);
  void evictOldest();

  std::unordered_map<StreamKey, Entry> entries_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_STREAMORIGINS_H
