// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_ANSWERPLAN_H
#define HALLCHUTE_STANDIN_ANSWERPLAN_H

#include <string>

namespace Standin {

/// \brief What a replica does with a plain request and sends for it; by default, as a sound one
/// that serves it.
struct AnswerPlan {
  /// A rejection beside its answer, which is about no request that waits on this connection.
  enum class Surplus {
    none,
    /// Of another id, ahead of the answer.
    before,
    after,
    /// As the next request arrives.
    late,
  };
  enum class End { whole, cutOff, closed, reset };

  int status = 200;
  bool runs = true;
  bool isSigned = true;
  /// The value of the statement that the request did not run; empty: none.
  const char* statement = "";
  Surplus surplus = Surplus::none;
  /// Whether the surplus rejection has the id of this request.
  bool ownId = false;
  End end = End::whole;
};

/// \brief Draws by \p id and \p seed: for \p part of the ids a truthful rejection, an answer that
/// misleads about whether the request ran, or one that gets lost.
AnswerPlan drawPlan(const std::string& id, unsigned seed, double part);

/// \brief The bytes of the answer of \p plan, which has \p id in its body.
std::string answerOf(const AnswerPlan& plan, const std::string& id, const std::string& replica);

/// \brief The bytes of its surplus rejection.
std::string surplusOf(const AnswerPlan& plan, const std::string& id);

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_ANSWERPLAN_H
