// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_STREAMORIGINS_H
#define HALLCHUTE_GATEWAY_STREAMORIGINS_H

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"
#include "Hallchute/src/Gateway/VersionHistory.h"

namespace Hallchute {

/// \brief Knows which software version began a stream, so that it is continued by the same one.
/// Not thread-safe; no I/O, no clock. \ingroup Gateway
///
/// A daemon records the streams that begin at it. Unless the service has had one version alone for
/// some time, it reports them to other daemons at once, as callers come back to any daemon and the
/// first one may be gone by then. Cost: one lookup per stream; at most kMaxStreams records of about
/// 150 bytes.
class StreamOrigins {
 public:
  static constexpr Millis kRetention = VersionHistory::kHorizon;
  static constexpr std::size_t kMaxStreams = 16'384;
  /// Streams that a daemon reports when a service gets a second version.
  static constexpr std::size_t kMaxReportedAtOnce = 1'024;

  static StreamKey keyOf(const RequestId& attempt);

  /// \brief Records a complete listing of the directory.
  void noteListed(std::span<const UpstreamRecord> records, Instant now);
  /// \brief Records the versions that the services had before this daemon started.
  void noteEarlier(std::span<const ServiceVersion> versions, Instant now);
  std::vector<ServiceVersion> recentVersions(Instant now) const { return history_.recent(now); }
  /// \brief Sets whether no daemon knows of a newer listing of the directory than this one.
  void setDirectoryCurrent(bool current, Instant now) {
    directoryCurrent_ = current;
    directoryCheckedAt_ = now;
  }
  bool directoryCurrent() const { return directoryCurrent_; }
  /// \brief When directoryCurrent() was last set; nothing if it never was.
  const std::optional<Instant>& directoryCheckedAt() const { return directoryCheckedAt_; }
  VersionKnowledge versionKnowledge(const ServiceName& service, Instant now) const {
    return history_.knowledge(service, now);
  }

  /// \brief Records a stream that began at this daemon, at a process of \p upstream.
  /// \returns whether to report it to other daemons.
  bool noteBegan(const StreamOrigin& origin, const UpstreamId& upstream, Instant now);
  /// \brief Records what another daemon reports. Reports of different versions leave none.
  void merge(std::span<const StreamOrigin> origins, Instant now);
  /// \brief Records that an upstream's process was replaced at \p since under the same id, which
  /// only a later listing shows: streams that began there since may have begun at the new one.
  /// \returns the streams whose version is therefore unknown, to report.
  std::vector<StreamOrigin> noteReplaced(const UpstreamId& upstream, Instant since);
  /// \brief The recorded origin of a stream; null if there is none.
  const StreamOrigin* find(StreamKey stream) const;
  /// \brief The only version that can have begun a stream of the service; nothing if there may be
  /// several.
  std::optional<SoftwareVersion> soleVersion(const ServiceName& service, Instant now) const;
  /// \brief What to reply to a daemon that asks for a stream of the service.
  std::optional<StreamOriginReply> reply(StreamKey stream, const ServiceName& service,
                                         Instant now) const;
  /// \brief The streams of services whose sole version this daemon no longer knows, which weren't
  /// reported before. To be called periodically and after each listing.
  std::vector<StreamOrigin> takeUnreported(Instant now);
  void sweep(Instant now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    Instant at{};
    /// Where it began; empty if another daemon reported it.
    UpstreamId upstream;
    bool reported = false;
  };

  Entry& entryOf(StreamKey stream);
  void evictOldest();

  VersionHistory history_;
  bool directoryCurrent_ = true;
  std::optional<Instant> directoryCheckedAt_;
  std::unordered_map<StreamKey, Entry> entries_;
  /// Services whose streams are not reported.
  std::set<ServiceName> quietServices_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_STREAMORIGINS_H
