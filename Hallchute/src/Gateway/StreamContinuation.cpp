// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/StreamContinuation.h"

#include <algorithm>

#include "Hallchute/src/Gateway/VersionHistory.h"

namespace Hallchute {
namespace {

using ContinuationVerdicts::AskPeers;
using ContinuationVerdicts::Continue;
using ContinuationVerdicts::ReadArchive;
using ContinuationVerdicts::Refuse;

ContinuationVerdict fromOrigin(const ContinuationEvidence& evidence, const StreamOrigin& origin,
                               OriginBasis basis) {
  if (origin.service != evidence.service) return Refuse{ContinuationRefusal::otherService};
  if (origin.version.empty()) return Refuse{ContinuationRefusal::contradictoryRecords};
  if (basis == OriginBasis::soleVersion && evidence.timeLimit > VersionHistory::kHorizon) {
    return Refuse{ContinuationRefusal::historyTooShort};
  }
  return Continue{origin.version, basis};
}

ContinuationVerdict fromVersions(const ContinuationEvidence& evidence, const VersionClaim& claim) {
  if (!claim.complete) return Refuse{ContinuationRefusal::historyTooShort};
  const std::optional<SoftwareVersion> sole = claim.sole(evidence.service);
  if (!sole) return Refuse{ContinuationRefusal::severalVersions};
  return fromOrigin(evidence, {{}, evidence.service, *sole}, OriginBasis::soleVersion);
}

ContinuationVerdict fromArchive(const ContinuationEvidence& evidence,
                                const ArchiveEvidence& archive) {
  if (!archive.streams.empty()) {
    const StreamOrigin& first = archive.streams.front();
    const bool agree = std::all_of(archive.streams.begin(), archive.streams.end(),
                                   [&](const StreamOrigin& origin) { return origin == first; });
    if (!agree) return Refuse{ContinuationRefusal::contradictoryRecords};
    return fromOrigin(evidence, first, OriginBasis::archive);
  }
  if (!archive.answered) return Refuse{ContinuationRefusal::archiveUnanswered};
  if (archive.readAt < evidence.askedAt) return Refuse{ContinuationRefusal::archiveReadTooEarly};
  if (!archive.versions) return Refuse{ContinuationRefusal::versionsUnknown};
  return fromVersions(evidence, *archive.versions);
}

}  // namespace

std::string_view describe(OriginBasis basis) {
  switch (basis) {
    case OriginBasis::none:
      return "none";
    case OriginBasis::record:
      return "record";
    case OriginBasis::archive:
      return "archive";
    case OriginBasis::soleVersion:
      return "soleVersion";
  }
  return "";
}

std::string_view describe(ContinuationRefusal refusal) {
  switch (refusal) {
    case ContinuationRefusal::contradictoryRecords:
      return "contradictoryRecords";
    case ContinuationRefusal::otherService:
      return "otherService";
    case ContinuationRefusal::unknownToPeers:
      return "unknownToPeers";
    case ContinuationRefusal::archiveUnanswered:
      return "archiveUnanswered";
    case ContinuationRefusal::archiveReadTooEarly:
      return "archiveReadTooEarly";
    case ContinuationRefusal::versionsUnknown:
      return "versionsUnknown";
    case ContinuationRefusal::historyTooShort:
      return "historyTooShort";
    case ContinuationRefusal::severalVersions:
      return "severalVersions";
  }
  return "";
}

ContinuationVerdict decideContinuation(const ContinuationEvidence& evidence) {
  if (evidence.recorded) return fromOrigin(evidence, *evidence.recorded, OriginBasis::record);
  if (!evidence.peers) return AskPeers{};
  if (evidence.peers->basis != OriginBasis::none) {
    return fromOrigin(evidence, evidence.peers->origin, evidence.peers->basis);
  }
  if (evidence.archive) return fromArchive(evidence, *evidence.archive);
  if (evidence.peers->archiveRead) return Refuse{ContinuationRefusal::unknownToPeers};
  return ReadArchive{};
}

}  // namespace Hallchute
