// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Relay/RelayStateMachine.h"

#include <utility>

namespace Hallchute {
namespace {

/// Upstreams that may reject a request or be out of reach before it is refused: with more, a
/// caller waits longer for the refusal than a second try would take it.
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
  if (runs_ >= terms_.maxRuns) return false;
  return started_ ? terms_.resumable : terms_.repeatable;
}

RelayAction RelayStateMachine::dispatchAgain() {
  return RelayActions::Dispatch{arrivals_ > 0, started_};
}

RelayStateMachine::Actions RelayStateMachine::giveUp(bool deadlineExceeded) {
  if (started_) return end({RelayActions::AbortStream{}});
  if (spareAnswer_) return end({RelayActions::ForwardResponse{}});
  if (mayHaveRun()) return end({RelayActions::Fail{deadlineExceeded}});
  return end({RelayActions::Refuse{}});
}

RelayStateMachine::Actions RelayStateMachine::afterRejection() {
  ++rejections_;
  const bool mayGoOn = !started_ || terms_.resumable;
  if (rejections_ >= kMaxRejections || !mayGoOn) return giveUp(false);
  return {dispatchAgain()};
}

RelayStateMachine::Actions RelayStateMachine::afterFailedRun() {
  if (!mayRunAgain()) return giveUp(false);
  return {dispatchAgain()};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::Begin&) {
  if (phase_ != Phase::waiting) return {};
  phase_ = Phase::dispatched;
  return {RelayActions::Dispatch{}};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NoUpstreamAvailable&) {
  return giveUp(false);
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NotSent&) {
  if (phase_ != Phase::dispatched) return {};
  return afterRejection();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::NotExecuted&) {
  if (phase_ != Phase::dispatched) return {};
  ++arrivals_;
  return afterRejection();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::StreamEventReceived&) {
  if (phase_ != Phase::dispatched) return {};
  const bool first = !std::exchange(started_, true);
  return {RelayActions::ForwardEvent{first}};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::ResponseComplete& event) {
  if (phase_ != Phase::dispatched) return {};
  if (event.success) {
    if (started_) return end({RelayActions::EndStream{}});
    return end({RelayActions::ForwardResponse{}});
  }
  ++arrivals_;
  ++runs_;
  spareAnswer_ = !started_;
  return afterFailedRun();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::ConnectionBroken&) {
  if (phase_ != Phase::dispatched) return {};
  ++arrivals_;
  ++runs_;
  return afterFailedRun();
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::UpstreamSilent&) {
  if (phase_ != Phase::dispatched) return {};
  if (runs_ + 1 >= terms_.maxRuns) return {};
  if (!(started_ ? terms_.resumable : terms_.repeatable)) return {};
  ++arrivals_;
  ++runs_;
  return {RelayActions::Cancel{}, dispatchAgain()};
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::CallerDisconnected&) {
  const bool dispatched = phase_ == Phase::dispatched;
  return dispatched ? end({RelayActions::Cancel{}}) : end({});
}

RelayStateMachine::Actions RelayStateMachine::on(const RelayEvents::DeadlineExceeded&) {
  if (phase_ != Phase::dispatched) return giveUp(true);
  // What was sent may be at work.
  ++runs_;
  Actions actions{RelayActions::Cancel{}};
  for (const RelayAction& action : giveUp(true)) actions.push_back(action);
  return actions;
}

}  // namespace Hallchute
