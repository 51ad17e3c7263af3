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
/// \brief The write may have taken effect.
struct RecordWriteUnknown {};
/// \brief The write surely did not take effect: the platform was not reached.
struct RecordWriteRefused {};
/// \brief The object as it stands.
struct RecordFound {
  OnceRecord record;
  std::uint64_t version = 0;
  /// Whether the record's holder may still live, as far as this daemon knows.
  bool holderMayBeAlive = true;
};
struct RecordAbsent {};
struct RecordReadFailed {};
/// \brief The upstream gave a whole answer.
struct DispatchAnswered {
  int status = 0;
  std::string contentType;
  std::string body;
};
/// \brief No byte of the request can have reached the upstream.
struct DispatchNeverSent {
  std::string detail;
};
/// \brief A byte may have reached the upstream and no whole answer came.
struct DispatchMaybeSent {
  std::string detail;
};

/// \brief What an OnceAttempt learns. \ingroup Ledger
using OnceEvent = std::variant<RecordWritten, RecordConflict, RecordWriteUnknown,
                               RecordWriteRefused, RecordFound, RecordAbsent, RecordReadFailed,
                               DispatchAnswered, DispatchNeverSent, DispatchMaybeSent>;

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCEEVENT_H
