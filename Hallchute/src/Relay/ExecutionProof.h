// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_EXECUTIONPROOF_H
#define HALLCHUTE_RELAY_EXECUTIONPROOF_H

#include <optional>
#include <string_view>

#include "Hallchute/src/Relay/DispatchEvidence.h"

namespace Hallchute {

/// \brief Proof that a dispatch did not run its request and never will. \ingroup Relay
///
/// Only of() makes one: a request that may run once is sent again, and a caller is told that its
/// request has not run, only if there is a proof for each dispatch. Whatever has none may have run.
class ExecutionProof {
 public:
  /// \returns nothing if the request may have run.
  static std::optional<ExecutionProof> of(const DispatchEvidence& evidence);

  /// \brief A name for logs: `notSent`, `declined` or `rejected`.
  std::string_view reason() const { return reason_; }

 private:
  explicit ExecutionProof(std::string_view reason) : reason_(reason) {}

  std::string_view reason_;
};

/// \brief Whether callers take \p status as a promise that their request has not run: 408, 421, 429
/// and 503. Without a proof it must not be sent to them, also if it is an upstream's own.
/// \ingroup Relay
bool promisesNotExecuted(int status);

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_EXECUTIONPROOF_H
