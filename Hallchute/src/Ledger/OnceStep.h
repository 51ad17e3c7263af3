// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCESTEP_H
#define HALLCHUTE_LEDGER_ONCESTEP_H

#include <cstdint>
#include <variant>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Ledger/OnceRecord.h"

namespace Hallchute {

/// \brief Write the record if the object has version `ifVersion`; 0 requires that it is absent.
/// \ingroup Ledger
struct WriteRecord {
  OnceRecord record;
  std::uint64_t ifVersion = 0;
};
struct ReadRecord {};
/// \brief Send the request to the upstream. Occurs at most once per attempt.
struct DispatchRequest {};
/// \brief Final step: answer the caller from the record.
struct AnswerWithRecord {
  OnceRecord record;
  /// Whether the record is not stored yet; the holder then retries in the background.
  bool storeLater = false;
};
/// \brief Final step: refuse the request.
struct RefuseRequest {
  Refusal refusal;
  /// The stored record may say `started` although nothing ran: mark it abandoned in the background.
  bool abandonLater = false;
};

/// \brief The next operation for the owner of an OnceAttempt. \ingroup Ledger
using OnceStep =
    std::variant<WriteRecord, ReadRecord, DispatchRequest, AnswerWithRecord, RefuseRequest>;

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCESTEP_H
