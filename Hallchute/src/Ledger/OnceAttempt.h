// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCEATTEMPT_H
#define HALLCHUTE_LEDGER_ONCEATTEMPT_H

#include <cstdint>

#include "Hallchute/src/Ledger/OnceEvent.h"
#include "Hallchute/src/Ledger/OnceRecord.h"
#include "Hallchute/src/Ledger/OnceStep.h"

namespace Hallchute {

/// \brief State machine for one attempt at a request that must run at most once.
/// \ingroup Ledger
///
/// Dispatches only after its own record is known to be stored, and at most once. Nothing here
/// depends on a lease or a clock, so a pause between any two steps is safe. Every failure ends in
/// RefuseRequest with a RunOutcome that never claims more than is known.
class OnceAttempt {
 public:
  /// \param record the record to create, in state `started`.
  explicit OnceAttempt(OnceRecord record);
  /// \brief Returns the first step.
  OnceStep start() const;
  /// \brief Returns the step after \p event, which must be the result of the previous step.
  OnceStep next(const OnceEvent& event);
  const OnceRecord& record() const { return record_; }
  /// \brief The stored version of the record; 0 before the first write.
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
  RefuseRequest platformUnavailable(bool abandonLater) const;

  OnceRecord record_;
  Stage stage_ = Stage::creating;
  std::uint64_t version_ = 0;
  std::uint64_t ifVersion_ = 0;
  int writeAttempts_ = 0;
  /// A record stands under the key that isn't known to be abandoned.
  bool otherMayHaveRun_ = false;
};

/// \brief The refusal for a request that may have run and whose answer is not known.
/// \ingroup Ledger
Refusal unknownOutcome(std::string detail);

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCEATTEMPT_H
