// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_STREAMCONTINUATION_H
#define HALLCHUTE_GATEWAY_STREAMCONTINUATION_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/ArchiveEvidence.h"
#include "Hallchute/src/Gateway/StreamOrigin.h"

namespace Hallchute {

/// \brief What is known of a stream that a caller takes up again. \ingroup Gateway
struct ContinuationEvidence {
  ServiceName service;
  /// How long callers of the route may come back for a stream.
  Millis timeLimit{0};
  /// When the caller's request arrived, and so after the stream began.
  Instant askedAt{};
  /// This daemon's record.
  std::optional<StreamOrigin> recorded;
  /// Nothing until the peers were asked.
  std::optional<StreamOriginReply> peers;
  /// Nothing until this daemon has read the archive.
  std::optional<ArchiveEvidence> archive;
};

/// \brief Why no version may continue a stream. \ingroup Gateway
enum class ContinuationRefusal : std::uint8_t {
  /// Records differ, or the process that began it was replaced at that time.
  contradictoryRecords,
  /// It began at another service.
  otherService,
  /// The peer that reads the archive found no version.
  unknownToPeers,
  archiveUnanswered,
  /// The archive was read before the caller's request arrived.
  archiveReadTooEarly,
  versionsUnknown,
  /// The history of versions is shorter than the time for which a caller may come back.
  historyTooShort,
  severalVersions,
};

std::string_view describe(ContinuationRefusal refusal);

namespace ContinuationVerdicts {

struct AskPeers {};
struct ReadArchive {};
struct Continue {
  SoftwareVersion version;
  OriginBasis basis = OriginBasis::none;
};
struct Refuse {
  ContinuationRefusal reason{};
};

}  // namespace ContinuationVerdicts

/// \brief What to do for a caller that takes a stream up again. \ingroup Gateway
using ContinuationVerdict =
    std::variant<ContinuationVerdicts::AskPeers, ContinuationVerdicts::ReadArchive,
                 ContinuationVerdicts::Continue, ContinuationVerdicts::Refuse>;

/// \brief Decides which version may continue a stream. The only place that does.
///
/// A record is a fact, however old. Without one, the service must have had one version alone, by a
/// read of the store that began after the caller's request arrived: the stream began before that,
/// at an upstream that was listed before the stream began. So it doesn't matter whether this daemon
/// has just started, stood still or was cut off. What is unknown is refused. \ingroup Gateway
ContinuationVerdict decideContinuation(const ContinuationEvidence& evidence);

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_STREAMCONTINUATION_H
