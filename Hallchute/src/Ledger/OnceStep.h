// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCESTEP_H
#define HALLCHUTE_LEDGER_ONCESTEP_H

#include <cstdint>
#include <variant>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Ledger/OnceRecord.h"

namespace Hallchute {

/// \brief Write the record if its object has \p ifVersion; 0 means: if it is absent.
/// \ingroup Ledger
struct WriteRecord {
  OnceRecord record;
  std::uint64_t ifVersion = 0;
};
struct ReadRecord {};
/// \brief Send the request to the upstream, once.
struct DispatchRequest {};
/// \brief Answer with what the record holds, and stop.
struct AnswerWithRecord {
  OnceRecord record;
  /// Whether the record still has to be stored; the holder goes on trying in the background.
  bool storeLater = false;
};
/// \brief Refuse, and stop.
struct RefuseRequest {
  Refusal refusal;
  /// The record may stand as started although nothing ran: mark it abandoned in the background.
  bool abandonLater = false;
};

/// \brief What the owner of an OnceAttempt does next. \ingroup Ledger
using OnceStep =
    std::variant<WriteRecord, ReadRecord, DispatchRequest, AnswerWithRecord, RefuseRequest>;

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCESTEP_H
