// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCEATTEMPT_H
#define HALLCHUTE_LEDGER_ONCEATTEMPT_H

#include <cstdint>

#include "Hallchute/src/Ledger/OnceEvent.h"
#include "Hallchute/src/Ledger/OnceRecord.h"
#include "Hallchute/src/Ledger/OnceStep.h"

namespace Hallchute {

/// \brief One attempt at work that must not repeat.
/// \ingroup Ledger
///
/// Dispatches only after its own record is known to stand, and at most once. Nothing here depends
/// on a lease or a clock, so a pause between any two steps does no harm. Errors: every failure ends
/// in RefuseOnce with an honest RunOutcome.
class OnceAttempt {
 public:
  /// \param record the record to create, state `started`.
  explicit OnceAttempt(OnceRecord record);
  /// \brief The first step.
  OnceStep start() const;
  /// \brief The step after \p event, which must answer the step given last.
  OnceStep next(const OnceEvent& event);
  const OnceRecord& record() const { return record_; }
  /// \brief The version of the record once written.
  std::uint64_t version() const { return version_; }

 private:
  enum class Stage { creating, dispatching, storing };

  OnceStep onWritten(const RecordWritten& event);
  OnceStep onConflict();
  OnceStep onWriteUnknown();
  OnceStep onWriteRefused();
  OnceStep onFound(const RecordFound& event);
  OnceStep onAbsent();
  OnceStep onReadFailed();
  OnceStep onNeverSent(const DispatchNeverSent& event);
  OnceStep finish(OnceState state, int status, std::string contentType, std::string body);
  OnceStep answerWithRecord(bool stored) const;
  OnceStep onOtherAttempt(const RecordFound& event);

  OnceRecord record_;
  Stage stage_ = Stage::creating;
  std::uint64_t version_ = 0;
  std::uint64_t ifVersion_ = 0;
  int writeAttempts_ = 0;
};

/// \brief The refusal for work that may have run with no answer known.
/// \ingroup Ledger
Refusal unknownOutcome(std::string detail);

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCEATTEMPT_H
