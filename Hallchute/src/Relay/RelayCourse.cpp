// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/RelayCourse.h"

#include <utility>

namespace Hallchute {
namespace {

/// Upstreams that may reject a request or be unreachable before it is refused: with more, the
/// caller waits longer for the refusal than a retry would take.
constexpr int kMaxRejections = 3;

}  // namespace

std::vector<RelayAction> RelayCourse::step(const RelayEvent& event) {
  if (ended()) return {};
  return std::visit([&](const auto& e) { return on(e); }, event);
}

RelayCourse::Actions RelayCourse::end(Actions actions) {
  phase_ = Phase::ended;
  return actions;
}

bool RelayCourse::mayRunAgain() const {
  if (runs_ >= terms_.maxRuns) return false;
  return started_ ? terms_.resumable : terms_.repeatable;
}

RelayAction RelayCourse::dispatchAgain() {
  return RelayActions::Dispatch{deliveries_ > 0, started_};
}

RelayCourse::Actions RelayCourse::giveUp(bool timeUp) {
  if (started_) return end({RelayActions::BreakOff{}});
  if (hasFallbackResponse_) return end({RelayActions::PassWhole{}});
  if (mayHaveRun()) return end({RelayActions::Fail{timeUp}});
  return end({RelayActions::Refuse{}});
}

RelayCourse::Actions RelayCourse::afterRejection() {
  ++rejections_;
  const bool mayContinue = !started_ || terms_.resumable;
  if (rejections_ >= kMaxRejections || !mayContinue) return giveUp(false);
  return {dispatchAgain()};
}

RelayCourse::Actions RelayCourse::afterFailedRun() {
  if (!mayRunAgain()) return giveUp(false);
  return {dispatchAgain()};
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::Begin&) {
  if (phase_ != Phase::waiting) return {};
  phase_ = Phase::dispatched;
  return {RelayActions::Dispatch{}};
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::NobodyToAsk&) {
  return giveUp(false);
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::NotSent&) {
  if (phase_ != Phase::dispatched) return {};
  return afterRejection();
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::NotExecuted&) {
  if (phase_ != Phase::dispatched) return {};
  ++deliveries_;
  return afterRejection();
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::Piece&) {
  if (phase_ != Phase::dispatched) return {};
  const bool first = !std::exchange(started_, true);
  return {RelayActions::PassPiece{first}};
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::Whole& event) {
  if (phase_ != Phase::dispatched) return {};
  if (event.success) {
    if (started_) return end({RelayActions::PassEnd{}});
    return end({RelayActions::PassWhole{}});
  }
  ++deliveries_;
  ++runs_;
  hasFallbackResponse_ = !started_;
  return afterFailedRun();
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::Broken&) {
  if (phase_ != Phase::dispatched) return {};
  ++deliveries_;
  ++runs_;
  return afterFailedRun();
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::Silent&) {
  if (phase_ != Phase::dispatched) return {};
  if (runs_ + 1 >= terms_.maxRuns) return {};
  if (!(started_ ? terms_.resumable : terms_.repeatable)) return {};
  ++deliveries_;
  ++runs_;
  return {RelayActions::Cancel{}, dispatchAgain()};
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::CallerLeft&) {
  const bool dispatched = phase_ == Phase::dispatched;
  return dispatched ? end({RelayActions::Cancel{}}) : end({});
}

RelayCourse::Actions RelayCourse::on(const RelayEvents::TimeUp&) {
  if (phase_ != Phase::dispatched) return giveUp(true);
  // The upstream may still be running the request.
  ++runs_;
  Actions actions{RelayActions::Cancel{}};
  for (const RelayAction& action : giveUp(true)) actions.push_back(action);
  return actions;
}

}  // namespace Hallchute
