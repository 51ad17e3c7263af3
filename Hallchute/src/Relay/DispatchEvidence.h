// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RELAY_DISPATCHEVIDENCE_H
#define HALLCHUTE_RELAY_DISPATCHEVIDENCE_H

#include <variant>

namespace Hallchute {

/// \brief What is known of a dispatch when it ends; see ExecutionProof. \ingroup Relay
namespace DispatchEvidences {

/// No byte of the request was given to a connection, as far as the sender tells.
struct NotSent {
  /// The head of an answer had arrived all the same.
  bool answered = false;
};
/// Another daemon declined to send the request to an upstream.
struct Declined {
  /// It had reported before that it was sending the request.
  bool dispatched = false;
};
/// The upstream sent a whole answer.
struct Answered {
  int status = 0;
  /// The answer repeats the id of this request.
  bool answersRequest = false;
  /// The answer states that the upstream did not run the request.
  bool statesNotExecuted = false;
  /// The answer is signed, as those of requests that ran are.
  bool isSigned = false;
};
/// The exchange ended in any other way after the request was sent.
struct Interrupted {};

}  // namespace DispatchEvidences

/// \ingroup Relay
using DispatchEvidence = std::variant<DispatchEvidences::NotSent, DispatchEvidences::Declined,
                                      DispatchEvidences::Answered, DispatchEvidences::Interrupted>;

}  // namespace Hallchute

#endif  // HALLCHUTE_RELAY_DISPATCHEVIDENCE_H
