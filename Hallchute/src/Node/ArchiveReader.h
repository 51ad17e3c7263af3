// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_ARCHIVEREADER_H
#define HALLCHUTE_NODE_ARCHIVEREADER_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <thread>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Gateway/ArchivedOrigins.h"
#include "Hallchute/src/Traffic/OriginArchive.h"

namespace Hallchute {

class EventLoop;
class Metrics;
class OriginArchivePort;

/// \brief Reads the archive of streams for callers that come back, on its own thread because the
/// calls to the platform block. \ingroup Node
///
/// Questions that come while a read is under way wait for the next one, which begins after them.
/// What an earlier read found of a stream remains true and is returned at once.
class ArchiveReader final : public OriginArchive {
 public:
  ArchiveReader(EventLoop& traffic, OriginArchivePort& port, Metrics& metrics);
  ~ArchiveReader() override;

  void start();
  /// \brief Stops after the pending call. Any thread except the loop's.
  void stop();
  void read(StreamKey stream, EvidenceSink onRead) override;
  /// \brief Sets the fleet's size, which bounds how often each daemon reads. Any thread.
  void setDaemons(std::size_t daemons) { daemons_ = daemons; }

 private:
  struct Question {
    EvidenceSink onRead;
    std::uint64_t timer = 0;
  };
  struct Pending {
    std::uint64_t id = 0;
    StreamKey stream{};
  };

  void run();
  std::vector<Pending> awaitQuestions();
  void answer(std::span<const Pending> questions);
  void collectStreams(std::span<const ArchivedOrigins> parts);
  /// The newest complete history of versions, up to now.
  std::optional<VersionClaim> currentVersions(std::span<const ArchivedOrigins> parts);
  void finish(std::uint64_t id, const ArchiveEvidence& evidence);

  EventLoop& traffic_;
  OriginArchivePort& port_;
  Metrics& metrics_;

  // Traffic thread.
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t nextQuestion_ = 1;

  // The own thread.
  /// Of the last read.
  std::unordered_multimap<StreamKey, StreamOrigin> streams_;

  std::atomic<std::size_t> daemons_{1};
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Pending> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_ARCHIVEREADER_H
