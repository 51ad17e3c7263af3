// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/AnswerPlan.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <functional>

#include "standin/ReplicaStandin.h"

namespace Standin {
namespace {

using End = AnswerPlan::End;
using Surplus = AnswerPlan::Surplus;

constexpr AnswerPlan kRejection{503, false, false, "1"};
constexpr std::array kPlans{
    kRejection,
    AnswerPlan{429, false, false, "1"},
    AnswerPlan{421, false, false, "1"},
    // Failures of requests that ran.
    AnswerPlan{500},
    AnswerPlan{503},
    AnswerPlan{429},
    AnswerPlan{408},
    AnswerPlan{500, true, true, "1"},
    AnswerPlan{503, true, true, "1"},
    AnswerPlan{429, true, true, "1"},
    AnswerPlan{408, true, true, "1"},
    AnswerPlan{503, true, false, "0"},
    AnswerPlan{503, true, false},
    AnswerPlan{421, true, false},
    // Surplus answers.
    AnswerPlan{200, true, true, "", Surplus::before, false},
    AnswerPlan{200, true, true, "", Surplus::after, false},
    AnswerPlan{200, true, true, "", Surplus::after, true},
    AnswerPlan{200, true, true, "", Surplus::late, false},
    AnswerPlan{200, true, true, "", Surplus::late, true},
    // Answers that are lost.
    AnswerPlan{200, true, true, "", Surplus::none, false, End::cutOff},
    AnswerPlan{200, true, true, "", Surplus::none, false, End::closed},
    AnswerPlan{200, true, true, "", Surplus::none, false, End::reset},
};

}  // namespace

AnswerPlan drawPlan(const std::string& id, unsigned seed, double part) {
  constexpr std::size_t kSteps = 1'000;
  const std::size_t drawn = std::hash<std::string>{}(absl::StrCat(seed, "/", id));
  if (static_cast<double>(drawn % kSteps) >= part * kSteps) return {};
  return kPlans.at(drawn / kSteps % kPlans.size());
}

std::string answerOf(const AnswerPlan& plan, const std::string& id, const std::string& replica) {
  const std::string body = absl::StrCat(ReplicaStandin::kAnswerTo, id);
  std::string head =
      absl::StrCat("HTTP/1.1 ", plan.status, " As Drawn\r\nHallchute-Attempt-Id: ", id,
                   "\r\nContent-Length: ", body.size(), "\r\n");
  if (plan.isSigned) absl::StrAppend(&head, "Hallchute-Replica-Signature: ", replica, "\r\n");
  if (*plan.statement != '\0')
    absl::StrAppend(&head, "Hallchute-Not-Executed: ", plan.statement, "\r\n");
  return absl::StrCat(head, "\r\n", body);
}

std::string surplusOf(const AnswerPlan& plan, const std::string& id) {
  return answerOf(kRejection, plan.ownId ? id : id + "-other", "");
}

}  // namespace Standin
