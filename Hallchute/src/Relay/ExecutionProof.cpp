// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/ExecutionProof.h"

#include "Hallchute/src/Core/Overloaded.h"

namespace Hallchute {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

/// Whether an upstream rejects requests with this status.
bool isRejectionStatus(int status) {
  return status == kBadRequest || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

/// A signed answer that states the opposite of its signature proves nothing.
bool isRejection(const DispatchEvidences::Answered& answer) {
  return answer.answersRequest && answer.statesNotExecuted && !answer.isSigned &&
         isRejectionStatus(answer.status);
}

}  // namespace

std::optional<ExecutionProof> ExecutionProof::of(const DispatchEvidence& evidence) {
  const auto provenIf = [](bool proven, std::string_view reason) {
    return proven ? std::optional(ExecutionProof(reason)) : std::nullopt;
  };
  return std::visit(
      Overloaded{
          [&](const DispatchEvidences::NotSent& e) { return provenIf(!e.answered, "notSent"); },
          [&](const DispatchEvidences::Declined& e) { return provenIf(!e.dispatched, "declined"); },
          [&](const DispatchEvidences::Answered& e) {
            return provenIf(isRejection(e), "rejected");
          },
          [&](const DispatchEvidences::Interrupted&) { return provenIf(false, ""); }},
      evidence);
}

bool promisesNotExecuted(int status) {
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

}  // namespace Hallchute
