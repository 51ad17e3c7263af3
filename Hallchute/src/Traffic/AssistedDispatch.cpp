// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/AssistedDispatch.h"

#include <utility>

#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Gateway/UpstreamPick.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Relay/ExecutionProof.h"
#include "Hallchute/src/Traffic/AnswerEvidence.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"
#include "Hallchute/src/Traffic/UpstreamDispatch.h"

namespace Hallchute {
namespace {

constexpr int kServerError = 500;

DispatchResult resultOf(const DispatchEvidences::Answered& evidence, int status) {
  if (ExecutionProof::of(evidence)) return DispatchResult::rejected;
  return status >= kServerError ? DispatchResult::failed : DispatchResult::answered;
}

}  // namespace

AssistedDispatch::AssistedDispatch(TrafficEngine& engine, std::uint64_t id,
                                   ForwardedRequest request, ReplySink reply)
    : engine_(engine),
      id_(id),
      request_(std::move(request)),
      reply_(std::move(reply)),
      startedAt_(clockNow()) {
  request_.criteria.ownDomain = engine_.options().domain;
}

AssistedDispatch::~AssistedDispatch() {
  engine_.memory().remove(*this);
}

bool AssistedDispatch::decline(std::string_view reason) {
  ended_ = true;
  logEnd(reason);
  reply_(ForwardedReplies::Declined{std::string(reason)});
  return false;
}

void AssistedDispatch::logEnd(std::string_view outcome) const {
  LogLine(LogLevel::info, "request.assisted")
      .with("request", request_.criteria.requestId)
      .with("service", request_.criteria.service.str())
      .with("content", describe(request_.suspects.content))
      .with("outcome", outcome)
      .with("status", status_)
      .with("upstream", dispatch_ == nullptr ? std::string() : dispatch_->upstream().id.str())
      .with("afterMs", std::chrono::duration_cast<Millis>(clockNow() - startedAt_));
  engine_.metrics().add("hallchute_requests_assisted_total",
                        "service=\"" + request_.criteria.service.str() + "\",outcome=\"" +
                            std::string(outcome) + "\"");
}

bool AssistedDispatch::begin() {
  if (engine_.refusesNewRequests() || !engine_.ready()) return decline("notServing");
  if (engine_.paths().lost(request_.criteria.service)) return decline("pathLost");
  if (!engine_.mayAssist()) return decline("noRoom");
  const std::size_t bytes =
      request_.head.heldBytes() + (request_.body == nullptr ? 0 : request_.body->size());
  const HeldRequest complete{bytes, 0, true, startedAt_};
  if (!engine_.memory().admit(*this, complete, startedAt_)) return decline("noMemory");
  engine_.selector().choose(
      request_.criteria,
      [weak = weak_from_this()](const UpstreamEntry* upstream, const HeldSlotPtr& slot) {
        if (const auto assisted = weak.lock()) assisted->dispatch(upstream, slot);
      });
  return !ended_;
}

void AssistedDispatch::dispatch(const UpstreamEntry* upstream, const HeldSlotPtr& slot) {
  if (ended_) return;
  if (upstream == nullptr) {
    decline("noUpstream");
    engine_.endAssist(id_);
    return;
  }
  dispatch_ =
      UpstreamDispatch::start(engine_, *upstream,
                              {request_.head, request_.body, request_.terms, request_.criteria,
                               request_.suspects, request_.promptTokens, request_.repeatable, slot},
                              *this);
  if (dispatch_ == nullptr) {
    decline("noConnection");
    engine_.endAssist(id_);
    return;
  }
  reply_(ForwardedReplies::Dispatched{dispatch_->upstream(), upstream->record.version});
}

void AssistedDispatch::cancel() {
  ended_ = true;
  if (dispatch_ == nullptr) return;
  logEnd("cancelled");
  dispatch_->end(DispatchResult::abandoned, false);
  dispatch_.reset();
}

bool AssistedDispatch::upstreamHead(const HttpHead& head) {
  answer_ = engine_.codec().readAnswer(head);
  if (answer_.id.str() != request_.criteria.requestId) return false;
  dispatch_->noteAnswer(answer_);
  if (answer_.draining && !answer_.misdirected) engine_.noteDrainingAnswer(dispatch_->upstream());
  status_ = head.status;
  endsAtClose_ = head.bodyEndsAtClose;
  if (head.holdsEvents()) events_.emplace();
  reply_(ForwardedReplies::Head{head});
  return true;
}

HeldBytes AssistedDispatch::upstreamBody(std::string_view bytes) {
  reply_(ForwardedReplies::Body{std::string(bytes)});
  if (!events_) {
    bodyBytes_ += bytes.size();
    return {bodyBytes_, false};
  }
  events_->add(bytes);
  while (events_->next()) {
    dispatch_->noteBegan();
    dispatch_->noteEvent();
  }
  return {events_->incompleteEvent().size(), true};
}

void AssistedDispatch::upstreamDone() {
  if (events_ && endsAtClose_ && !events_->endsWithEvent()) {
    upstreamFailed(ExchangeFailure::connectionEnded);
    return;
  }
  const DispatchResult result =
      resultOf(evidenceOf(answer_, RequestId(request_.criteria.requestId), status_), status_);
  if (result != DispatchResult::rejected) dispatch_->noteBegan();
  logEnd("answered");
  dispatch_->end(result, !answer_.misdirected);
  reply_(ForwardedReplies::Done{});
  engine_.endAssist(id_);
}

void AssistedDispatch::upstreamFailed(ExchangeFailure failure) {
  logEnd("failed");
  dispatch_->noteFailure(failure);
  const bool sent = failure != ExchangeFailure::notSent;
  dispatch_->end(sent ? DispatchResult::broken : DispatchResult::unreachable, false);
  reply_(ForwardedReplies::Failed{failure});
  engine_.endAssist(id_);
}

}  // namespace Hallchute
