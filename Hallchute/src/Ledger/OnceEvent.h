// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCEEVENT_H
#define HALLCHUTE_LEDGER_ONCEEVENT_H

#include <cstdint>
#include <string>
#include <variant>

#include "Hallchute/src/Ledger/OnceRecord.h"

namespace Hallchute {

/// \brief The write took effect.
/// \ingroup Ledger
struct RecordWritten {
  std::uint64_t version = 0;
};
/// \brief The write did not take effect: the object has another version.
struct RecordConflict {};
/// \brief It is unknown whether the write took effect.
struct RecordWriteUnknown {};
/// \brief The write did not take effect: the platform rejected it or was not reached.
struct RecordWriteRefused {};
/// \brief The stored object.
struct RecordFound {
  OnceRecord record;
  std::uint64_t version = 0;
  /// Whether the record's holder may still be alive, as far as this daemon knows.
  bool holderMayBeAlive = true;
};
struct RecordAbsent {};
struct RecordReadFailed {};
/// \brief The upstream sent a complete answer.
struct DispatchAnswered {
  int status = 0;
  std::string contentType;
  std::string body;
};
/// \brief No byte of the request can have reached the upstream.
struct DispatchNeverSent {
  std::string detail;
};
/// \brief A byte may have reached the upstream, but no complete answer was received.
struct DispatchMaybeSent {
  std::string detail;
};

/// \brief The result of a step, passed to OnceAttempt::next(). \ingroup Ledger
using OnceEvent = std::variant<RecordWritten, RecordConflict, RecordWriteUnknown,
                               RecordWriteRefused, RecordFound, RecordAbsent, RecordReadFailed,
                               DispatchAnswered, DispatchNeverSent, DispatchMaybeSent>;

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCEEVENT_H
