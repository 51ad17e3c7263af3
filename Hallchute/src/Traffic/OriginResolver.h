// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_ORIGINRESOLVER_H
#define HALLCHUTE_TRAFFIC_ORIGINRESOLVER_H

#include <functional>
#include <utility>

#include "Hallchute/src/Gateway/ArchiveShards.h"
#include "Hallchute/src/Gateway/StreamContinuation.h"

namespace Hallchute {

class OriginArchive;
class OriginExchange;
class StreamOrigins;

/// \brief Collects what is known of a stream, step by step, until decideContinuation() decides.
/// Traffic thread only. \ingroup Traffic
class OriginResolver {
 public:
  using VerdictSink = std::function<void(const ContinuationEvidence&, const ContinuationVerdict&)>;
  using ReplySink = std::function<void(const StreamOriginReply&)>;

  explicit OriginResolver(const StreamOrigins& origins) : origins_(origins) {}

  /// \brief Sets how other daemons are asked; null where there are none. Must outlive this.
  void setExchange(OriginExchange* exchange) { exchange_ = exchange; }
  /// \brief Sets the archive; null where there is none. Must outlive this.
  void setArchive(OriginArchive* archive) { archive_ = archive; }
  void setShards(ArchiveShards shards) { shards_ = std::move(shards); }
  const ArchiveShards& shards() const { return shards_; }

  /// \brief Finds the version that may continue a stream. \p evidence has what doesn't depend on
  /// the stream's history. \p onVerdict is called once, with `Continue` or `Refuse`.
  void resolve(StreamKey stream, ContinuationEvidence evidence, VerdictSink onVerdict);
  /// \brief Replies to another daemon that asks for a stream. Only the daemon that archives a
  /// stream reads the archive for others, so that a fleet reads it a few times a second, however
  /// many callers come back.
  void reply(StreamKey stream, const ServiceName& service, Instant askedAt, ReplySink onReply);

 private:
  void askPeers(StreamKey stream, ContinuationEvidence evidence, VerdictSink onVerdict);
  void readArchive(StreamKey stream, ContinuationEvidence evidence, VerdictSink onVerdict);

  const StreamOrigins& origins_;
  OriginExchange* exchange_ = nullptr;
  OriginArchive* archive_ = nullptr;
  ArchiveShards shards_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_ORIGINRESOLVER_H
