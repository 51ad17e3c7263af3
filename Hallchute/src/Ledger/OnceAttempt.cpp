// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Ledger/OnceAttempt.h"

#include "Hallchute/src/Core/Overloaded.h"

namespace Hallchute {
namespace {

constexpr int kMaxWriteAttempts = 4;
constexpr Millis kPlatformRetryAfter{1'000};
constexpr Millis kInProgressRetryAfter{500};

}  // namespace

Refusal unknownOutcome(std::string detail) {
  return {RefusalReason::outcomeUnknown, std::move(detail), RunOutcome::unknown, std::nullopt};
}

OnceAttempt::OnceAttempt(OnceRecord record) : record_(std::move(record)) {}

OnceStep OnceAttempt::start() const {
  return WriteRecord{record_, 0};
}

RefuseRequest OnceAttempt::platformUnavailable(bool abandonLater) const {
  const RunOutcome outcome = otherMayHaveRun_ ? RunOutcome::unknown : RunOutcome::notRun;
  return {{RefusalReason::platformOutage,
           "the record that keeps this work from repeating can't be written", outcome,
           kPlatformRetryAfter},
          abandonLater};
}

OnceStep OnceAttempt::next(const OnceEvent& event) {
  return std::visit(
      Overloaded{
          [&](const RecordWritten& e) { return onWritten(e); },
          [&](const RecordConflict&) { return onConflict(); },
          [&](const RecordWriteUnknown&) { return onWriteUnknown(); },
          [&](const RecordWriteRefused&) { return onWriteRefused(); },
          [&](const RecordFound& e) { return onFound(e); },
          [&](const RecordAbsent&) { return onAbsent(); },
          [&](const RecordReadFailed&) { return onReadFailed(); },
          [&](const DispatchAnswered& e) {
            return finish(OnceState::done, e.status, e.contentType, e.body);
          },
          [&](const DispatchNeverSent& e) { return onNeverSent(e); },
          [&](const DispatchMaybeSent& e) { return finish(OnceState::unknown, 0, "", e.detail); },
      },
      event);
}

OnceStep OnceAttempt::onWritten(const RecordWritten& event) {
  version_ = event.version;
  if (stage_ == Stage::storing) return answerWithRecord(true);
  stage_ = Stage::dispatching;
  return DispatchRequest{};
}

OnceStep OnceAttempt::onConflict() {
  otherMayHaveRun_ = true;
  return ReadRecord{};
}

OnceStep OnceAttempt::onWriteUnknown() {
  if (++writeAttempts_ >= kMaxWriteAttempts) {
    return stage_ == Stage::storing ? answerWithRecord(false) : OnceStep(platformUnavailable(true));
  }
  return ReadRecord{};
}

OnceStep OnceAttempt::onWriteRefused() {
  if (stage_ == Stage::storing) return answerWithRecord(false);
  // An earlier write of this attempt with an unknown result may have taken effect.
  return platformUnavailable(writeAttempts_ > 0);
}

OnceStep OnceAttempt::onReadFailed() {
  if (stage_ == Stage::storing) return answerWithRecord(false);
  return platformUnavailable(true);
}

OnceStep OnceAttempt::onAbsent() {
  otherMayHaveRun_ = false;
  if (++writeAttempts_ >= kMaxWriteAttempts) {
    return stage_ == Stage::storing ? answerWithRecord(false) : OnceStep(platformUnavailable(true));
  }
  ifVersion_ = 0;
  return WriteRecord{record_, 0};
}

OnceStep OnceAttempt::onFound(const RecordFound& event) {
  const bool ownAttempt = event.record.attempt == record_.attempt;
  if (stage_ == Stage::storing) {
    if (!ownAttempt || event.record.state == record_.state) return answerWithRecord(true);
    return WriteRecord{record_, event.version};
  }
  if (!ownAttempt) return onOtherAttempt(event);
  version_ = event.version;
  stage_ = Stage::dispatching;
  return DispatchRequest{};
}

OnceStep OnceAttempt::onOtherAttempt(const RecordFound& event) {
  const OnceRecord& other = event.record;
  // An invalid record may be of this very request.
  if (other.digest.empty()) {
    return RefuseRequest{unknownOutcome("an earlier attempt may have run: its record is invalid"),
                         false};
  }
  if (other.digest != record_.digest) {
    return RefuseRequest{
        {RefusalReason::idempotencyKeyReused, "the Idempotency-Key was used for another request",
         RunOutcome::notRun, std::nullopt},
        false};
  }
  switch (other.state) {
    case OnceState::done:
      return AnswerWithRecord{other, false};
    case OnceState::unknown:
      return RefuseRequest{unknownOutcome("an earlier attempt may have run: " + other.body), false};
    case OnceState::abandoned:
      otherMayHaveRun_ = false;
      if (++writeAttempts_ >= kMaxWriteAttempts) return platformUnavailable(false);
      return WriteRecord{record_, event.version};
    case OnceState::started:
      break;
  }
  if (!event.holderMayBeAlive) {
    return RefuseRequest{unknownOutcome("an earlier attempt may have run and its daemon is gone"),
                         false};
  }
  return RefuseRequest{{RefusalReason::inProgress, "an earlier attempt is in progress",
                        RunOutcome::unknown, kInProgressRetryAfter},
                       false};
}

OnceStep OnceAttempt::onNeverSent(const DispatchNeverSent& event) {
  return RefuseRequest{
      {RefusalReason::upstreamFailed, event.detail, RunOutcome::notRun, kInProgressRetryAfter},
      true};
}

OnceStep OnceAttempt::finish(OnceState state, int status, std::string contentType,
                             std::string body) {
  stage_ = Stage::storing;
  writeAttempts_ = 0;
  record_.state = state;
  record_.status = status;
  record_.contentType = std::move(contentType);
  record_.body = std::move(body);
  return WriteRecord{record_, version_};
}

OnceStep OnceAttempt::answerWithRecord(bool stored) const {
  return AnswerWithRecord{record_, !stored};
}

}  // namespace Hallchute
