// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/OriginResolver.h"

#include <utility>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Gateway/StreamOrigins.h"
#include "Hallchute/src/Traffic/OriginArchive.h"
#include "Hallchute/src/Traffic/OriginExchange.h"

namespace Hallchute {
namespace {

StreamOriginReply replyOf(StreamKey stream, const ContinuationEvidence& evidence,
                          const ContinuationVerdict& verdict) {
  StreamOriginReply reply;
  reply.archiveRead = evidence.archive && evidence.archive->answered;
  if (const auto* found = std::get_if<ContinuationVerdicts::Continue>(&verdict)) {
    reply.basis = found->basis;
    reply.origin = {stream, evidence.service, found->version};
  }
  return reply;
}

}  // namespace

void OriginResolver::resolve(StreamKey stream, ContinuationEvidence evidence,
                             VerdictSink onVerdict) {
  if (const StreamOrigin* origin = origins_.find(stream)) evidence.recorded = *origin;
  const ContinuationVerdict verdict = decideContinuation(evidence);
  std::visit(
      Overloaded{[&](const ContinuationVerdicts::AskPeers&) {
                   askPeers(stream, std::move(evidence), std::move(onVerdict));
                 },
                 [&](const ContinuationVerdicts::ReadArchive&) {
                   readArchive(stream, std::move(evidence), std::move(onVerdict));
                 },
                 [&](const ContinuationVerdicts::Continue&) { onVerdict(evidence, verdict); },
                 [&](const ContinuationVerdicts::Refuse&) { onVerdict(evidence, verdict); }},
      verdict);
}

void OriginResolver::askPeers(StreamKey stream, ContinuationEvidence evidence,
                              VerdictSink onVerdict) {
  if (exchange_ == nullptr) {
    evidence.peers.emplace();
    resolve(stream, std::move(evidence), std::move(onVerdict));
    return;
  }
  const ServiceName service = evidence.service;
  exchange_->ask(stream, service,
                 [this, stream, evidence = std::move(evidence),
                  onVerdict = std::move(onVerdict)](const StreamOriginReply& reply) mutable {
                   evidence.peers = reply;
                   resolve(stream, std::move(evidence), std::move(onVerdict));
                 });
}

void OriginResolver::readArchive(StreamKey stream, ContinuationEvidence evidence,
                                 VerdictSink onVerdict) {
  if (archive_ == nullptr) {
    evidence.archive.emplace();
    resolve(stream, std::move(evidence), std::move(onVerdict));
    return;
  }
  archive_->read(stream,
                 [this, stream, evidence = std::move(evidence),
                  onVerdict = std::move(onVerdict)](const ArchiveEvidence& archive) mutable {
                   evidence.archive = archive;
                   resolve(stream, std::move(evidence), std::move(onVerdict));
                 });
}

void OriginResolver::reply(StreamKey stream, const ServiceName& service, Instant askedAt,
                           ReplySink onReply) {
  if (const StreamOrigin* origin = origins_.find(stream)) {
    onReply({OriginBasis::record, false, *origin});
    return;
  }
  if (!shards_.contains(stream)) {
    onReply({});
    return;
  }
  ContinuationEvidence evidence;
  evidence.service = service;
  evidence.askedAt = askedAt;
  evidence.peers.emplace();
  resolve(stream, std::move(evidence),
          [stream, onReply = std::move(onReply)](const ContinuationEvidence& known,
                                                 const ContinuationVerdict& verdict) {
            onReply(replyOf(stream, known, verdict));
          });
}

}  // namespace Hallchute
