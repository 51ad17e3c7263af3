// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/RelayStateMachine.h"

#include <utility>

namespace Hallchute {
namespace {

/// Upstreams that may reject a request or be unreachable before it is refused: with more, the
/// caller waits longer for the refusal than a retry would take.
constexpr int kMaxRejections = 3;

}  // namespace

std::vector<RelayAction> RelayStateMachine::step(const RelayEvent& event) {
  if (ended()) return {};
  return std::visit([&](const auto& e) { return on(e); }, event);
}

RelayStateMachine::Actions RelayStateMachine::end(Actions actions) {
  phase_ = Phase::ended;
  return actions;
}

bool RelayStateMachine::mayRunAgain() const {
  if (runs_ + dispatches_ >= terms_.maxRuns) return false;
  return started_ ? terms_.resumable : terms_.repeatable;
}

RelayAction RelayStateMachine::dispatch(bool hedge) {
  const bool retry = deliveries_ > 0 || dispatches_ > 0;
  ++dispatches_;
  return RelayActions::Dispatch{retry, started_, hedge};
}

void RelayStateMachine::cancelAll(Actions& actions) {
  if (dispatches_ == 0) return;
  runs_ += dispatches_;
  deliveries_ += dispatches_;
  dispatches_ = 0;
  actions.push_back(RelayActions::Cancel{});
}

/// Cancels all but the dispatch that the event came from.
void RelayStateMachine::cancelOthers(Actions& actions) {
  --dispatches_;
  cancelAll(actions);
  ++dispatches_;
}

RelayStateMachine::Actions RelayStateMachine::giveUp(bool deadlineExceeded) {
  if (started_) return end({RelayActions::AbortStream{}});
  if (hasFallbackResponse_) return end({RelayActions::ForwardResponse{}});
  if (mayHaveRun()) return end({RelayActions::Fail{deadlineExceeded}});
  return end({RelayActions::Refuse{}});
}

bool RelayStateMachine::leavesHedgedPartner() {
  return std::exchange(hedging_, false) && atWork();
}

RelayStateMachine::Actions RelayStateMachine::afterRejection() {
  if (leavesHedgedPartner()) return {};
  ++rejections_;
  const bool mayContinue = !started_ || terms_.resumable;
  if (rejections_ < kMaxRejections && mayContinue) return {dispatch()};
  return atWork() ? Actions{} : giveUp(false);
}

RelayStateMachine::Actions RelayStateMachine::afterFailedRun() {
  if (leavesHedgedPartner()) return {};
  if (mayRunAgain()) return {dispatch()};
  return atWork() ? Actions{} : giveUp(false);
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::Begin&) {
  if (phase_ != Phase::waiting) return {};
  phase_ = Phase::running;
  return {dispatch()};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NoUpstreamAvailable&) {
  if (atWork()) --dispatches_;
  hedging_ = false;
  return atWork() ? Actions{} : giveUp(false);
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NotSent&) {
  if (!atWork()) return {};
  --dispatches_;
  return afterRejection();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NotExecuted&) {
  if (!atWork()) return {};
  --dispatches_;
  ++deliveries_;
  return afterRejection();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::StreamEventReceived&) {
  if (!atWork()) return {};
  Actions actions;
  cancelOthers(actions);
  hedging_ = false;
  rejections_ = 0;
  const bool first = !std::exchange(started_, true);
  actions.push_back(RelayActions::ForwardEvent{first});
  return actions;
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::ResponseComplete& event) {
  if (!atWork()) return {};
  --dispatches_;
  ++deliveries_;
  ++runs_;
  if (!event.success) {
    hasFallbackResponse_ = !started_;
    return afterFailedRun();
  }
  Actions actions;
  cancelAll(actions);
  if (started_) {
    actions.push_back(RelayActions::EndStream{});
  } else {
    actions.push_back(RelayActions::ForwardResponse{});
  }
  return end(std::move(actions));
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::ConnectionBroken&) {
  if (!atWork()) return {};
  --dispatches_;
  ++deliveries_;
  ++runs_;
  return afterFailedRun();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::UpstreamSilent&) {
  if (!atWork() || !mayRunAgain()) return {};
  return {dispatch()};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::HedgeDue&) {
  if (!atWork() || started_ || dispatches_ > 1 || !mayRunAgain()) return {};
  hedging_ = true;
  return {dispatch(true)};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::CallerDisconnected&) {
  Actions actions;
  cancelAll(actions);
  return end(std::move(actions));
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::DeadlineExceeded&) {
  Actions actions;
  // The upstreams may still be running the request.
  cancelAll(actions);
  for (const RelayAction& action : giveUp(true)) actions.push_back(action);
  return actions;
}

}  // namespace Hallchute
