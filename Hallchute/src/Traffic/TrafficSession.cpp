// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/TrafficSession.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Http/HttpWriter.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/RetryAfter.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {
namespace {

/// When to come back after a refusal: about the time in which a crashed upstream is passed over
/// and a full one has taken from its queue.
constexpr Millis kComeBack{100};
/// How many latency objectives an upstream may be silent before a request that may repeat goes
/// elsewhere: beyond twice the objective the answer is late whatever comes.
constexpr double kSilentObjectives = 2.0;
/// How many pause objectives a started stream may be silent before it goes on elsewhere, and the
/// least time: an engine that sets a request aside for a while must not lose it.
constexpr double kSilentPauses = 3.0;
constexpr Millis kLeastPause{1'200};
/// After this a request that was sent has usually begun to run: a stream with its first token,
/// which engines make some 100 ms after they take it up, a plain one at once.
constexpr Millis kStreamBegins{150};
constexpr Millis kPlainBegins{3};
/// The most of the remaining time that is given to a silent upstream.
constexpr double kSilentPart = 0.4;
/// Shared tokens below this are read anew: reading a thousand takes an engine some 30 ms, and
/// setting up a copy about 5 ms besides the work that it holds up at the source.
constexpr std::uint64_t kLeastCopied = 1'000;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool isSuccess(int status) {
  return status >= 200 && status < 300;
}

/// What requests share: the last part of the prompt is the request's or its session's own.
std::string affinityOf(const ClientRequest& request) {
  const std::size_t parts = request.prompt.size();
  if (parts == 0) return {};
  return request.prompt[parts >= 2 ? parts - 2 : 0].id;
}

std::uint64_t sharedTokens(const ClientRequest& request) {
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) tokens += request.prompt[i].tokens;
  return tokens;
}

Millis limitOf(const Route& route, const ClientRequest& request) {
  return std::min(route.timeLimit, request.deadline.value_or(route.timeLimit));
}

}  // namespace

TrafficSession::TrafficSession(TrafficEngine& engine, std::uint64_t id,
                               std::shared_ptr<FrontExchange> exchange, SessionAdmission admission)
    : engine_(engine),
      id_(id),
      exchange_(std::move(exchange)),
      admission_(std::move(admission)),
      service_(RouteTable::pickTarget(*admission_.route, admission_.request.id.str())),
      course_(
          {admission_.route->mayRepeat(), admission_.route->resumable, admission_.route->maxRuns}),
      deadline_(exchange_->arrived() + limitOf(*admission_.route, admission_.request)) {
  wish_.service = service_;
  if (admission_.route->sharesPrompts) {
    wish_.affinity = affinityOf(admission_.request);
    wish_.sharedTokens = sharedTokens(admission_.request);
  }
  wish_.ownDomain = engine_.options().domain;
  wish_.requestId = admission_.request.id.str();
}

TrafficSession::~TrafficSession() {
  stopTimers();
}

void TrafficSession::begin() {
  exchange_->onCallerLeft = [weak = weak_from_this()] {
    if (const auto session = weak.lock()) session->take(RelayEvents::CallerDisconnected{});
  };
  const Millis left = remaining();
  deadlineTimer_ = engine_.loop().after(left, [this] {
    deadlineTimer_ = 0;
    take(RelayEvents::DeadlineExceeded{});
  });
  take(RelayEvents::Begin{});
}

Millis TrafficSession::remaining() const {
  const auto left = std::chrono::duration_cast<Millis>(deadline_ - clockNow());
  return std::max(Millis(0), left);
}

void TrafficSession::stopTimers() {
  engine_.loop().cancel(std::exchange(deadlineTimer_, 0));
  engine_.loop().cancel(std::exchange(silenceTimer_, 0));
}

void TrafficSession::take(const RelayEvent& event) {
  const bool ended = course_.ended();
  for (const RelayAction& action : course_.step(event)) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  if (!ended && course_.ended() && std::holds_alternative<RelayEvents::CallerDisconnected>(event)) {
    finish("callerLeft", 0);
  }
}

void TrafficSession::perform(const RelayActions::Dispatch& action) {
  const Instant now = clockNow();
  const UpstreamEntry* upstream = pickUpstream(engine_.table(), wish_, now);
  if (upstream == nullptr || remaining() <= Millis(0)) {
    take(RelayEvents::NoUpstreamAvailable{});
    return;
  }
  if (action.retry && !engine_.takeRepeat(service_, now)) {
    LogLine(LogLevel::info, "request.retryDenied")
        .with("request", wish_.requestId)
        .with("service", service_.str());
    take(RelayEvents::NoUpstreamAvailable{});
    return;
  }
  if (!sendTo(*upstream, action.resume)) take(RelayEvents::NotSent{});
}

std::string TrafficSession::cacheSourceFor(const UpstreamEntry& chosen) const {
  if (wish_.affinity.empty() || wish_.sharedTokens < kLeastCopied) return {};
  const UpstreamEntry* source = cacheSource(engine_.table(), wish_, chosen, clockNow());
  return source == nullptr ? std::string() : source->record.address;
}

bool TrafficSession::sendTo(const UpstreamEntry& upstream, bool resume) {
  const Instant now = clockNow();
  const UpstreamId id = upstream.record.id;
  wish_.tried.insert(id);
  const ConnectionReuse care =
      admission_.route->mayRepeat() ? ConnectionReuse::any : ConnectionReuse::safe;
  channel_ = engine_.pool().take(id, upstream.record.address, care,
                                 engine_.connectionShare(service_), now);
  if (channel_ == nullptr) return false;
  DispatchTerms terms;
  terms.remaining = remaining();
  terms.upstream = id;
  if (admission_.organisation != nullptr) terms.organisation = admission_.organisation->name;
  terms.urgency = admission_.route->priority;
  if (admission_.organisation != nullptr && admission_.organisation->priority) {
    terms.urgency = admission_.organisation->priority;
  }
  if (resume) terms.lastEventId = lastEventId_;
  terms.cacheSource = cacheSourceFor(upstream);
  const HttpHead& head = exchange_->head();
  const HttpFields fields = engine_.codec().dispatchFields(head, terms);
  upstream_ = id;
  upstreamIncarnation_ = upstream.record.incarnation;
  dispatched_ = true;
  dispatchedAt_ = now;
  ++dispatches_;
  splitter_ = {};
  answerWhole_ = false;
  unreadTokens_ = admission_.request.promptTokens.value_or(0);
  engine_.table().noteDispatched(id, unreadTokens_);
  startSilenceTimer();
  channel_->start(requestBytes(head.method, head.target, fields, exchange_->body()),
                  head.method == "HEAD", *this);
  return true;
}

void TrafficSession::startSilenceTimer() {
  engine_.loop().cancel(std::exchange(silenceTimer_, 0));
  if (!admission_.route->mayRepeat()) return;
  using Real = std::chrono::duration<double, std::milli>;
  const Route& route = *admission_.route;
  const Real first = Real(route.latencyObjective) * kSilentObjectives;
  const Real pause = std::max(Real(kLeastPause), Real(route.gapObjective) * kSilentPauses);
  const Real objective = course_.started() ? pause : first;
  const Real part = Real(remaining()) * kSilentPart;
  const auto patience = std::chrono::duration_cast<Millis>(std::min(objective, part));
  silenceTimer_ = engine_.loop().after(patience, [this] {
    silenceTimer_ = 0;
    // One place only may be left; the course decides whether going elsewhere is allowed.
    UpstreamCriteria elsewhere = wish_;
    if (pickUpstream(engine_.table(), elsewhere, clockNow()) == nullptr) return;
    take(RelayEvents::UpstreamSilent{});
  });
}

bool TrafficSession::upstreamHead(const HttpHead& head) {
  answer_ = engine_.codec().readAnswer(head);
  if (!answer_.notExecuted && !answer_.otherUpstream && answer_.id != admission_.request.id) {
    LogLine(LogLevel::warning, "upstream.foreignAnswer")
        .with("request", wish_.requestId)
        .with("upstream", upstream_.str())
        .with("answersRequest", answer_.id.str());
    return false;
  }
  answerHead_ = head;
  answerBody_.clear();
  const bool eventStream =
      absl::StartsWith(std::string(head.fields.get("Content-Type")), "text/event-stream");
  answerIsStream_ = isSuccess(head.status) && answer_.authentic &&
                    admission_.route->kind == WorkKind::stream && eventStream;
  return true;
}

void TrafficSession::upstreamBody(std::string_view bytes) {
  if (!answerIsStream_) {
    answerBody_.append(bytes);
    return;
  }
  splitter_.add(bytes);
  passEvents();
}

void TrafficSession::passEvents() {
  while (dispatched_ && !course_.ended()) {
    std::optional<StreamEvent> event = splitter_.next();
    if (!event) return;
    noteRunBegan();
    if (alreadyPassed(*event)) continue;
    piece_ = std::move(*event);
    take(RelayEvents::StreamEventReceived{});
    if (!course_.ended()) startSilenceTimer();
  }
}

/// A run that goes on after an event may begin with events from before it.
bool TrafficSession::alreadyPassed(const StreamEvent& event) const {
  std::uint64_t last = 0;
  std::uint64_t id = 0;
  return absl::SimpleAtoi(lastEventId_, &last) && absl::SimpleAtoi(event.id, &id) && id <= last;
}

void TrafficSession::noteRunBegan() {
  notePromptDone();
  if (std::exchange(runCounted_, true)) return;
  if (!firstPieceAt_) firstPieceAt_ = clockNow();
  if (admission_.organisation != nullptr) engine_.noteRun(admission_.organisation->name);
}

void TrafficSession::notePromptDone() {
  engine_.table().notePromptDone(upstream_, std::exchange(unreadTokens_, 0), upstreamIncarnation_);
}

void TrafficSession::upstreamDone() {
  if (answer_.notExecuted || answer_.otherUpstream) {
    LogLine(LogLevel::info, "upstream.rejected")
        .with("request", wish_.requestId)
        .with("upstream", upstream_.str())
        .with("status", answerHead_.status);
    if (answer_.otherUpstream) engine_.table().noteAddressReused(upstream_, clockNow());
    endDispatch(DispatchResult::rejected, !answer_.otherUpstream);
    take(RelayEvents::NotExecuted{});
    return;
  }
  if (answerIsStream_) {
    // An answer that only the connection's end completes may have been cut within an event.
    const bool whole = !answerHead_.endsWithConnection || splitter_.incompleteEvent().empty();
    if (!whole) {
      upstreamFailed(true);
      return;
    }
    endDispatch(DispatchResult::answered, true);
    answerWhole_ = true;
    piece_ = {splitter_.incompleteEvent(), ""};
    if (!piece_.bytes.empty()) take(RelayEvents::StreamEventReceived{});
    take(RelayEvents::ResponseComplete{});
    return;
  }
  noteRunBegan();
  // A started stream goes on as a stream or not at all.
  if (!answer_.authentic || course_.started()) {
    upstreamFailed(true);
    return;
  }
  const bool failed = answerHead_.status >= kServerError;
  endDispatch(failed ? DispatchResult::failed : DispatchResult::answered, true);
  answerWhole_ = true;
  if (failed) {
    spareHead_ = answerHead_;
    spareBody_ = answerBody_;
  }
  take(RelayEvents::ResponseComplete{!failed});
}

void TrafficSession::upstreamFailed(bool sent) {
  LogLine(LogLevel::info, "upstream.failed")
      .with("request", wish_.requestId)
      .with("upstream", upstream_.str())
      .with("sent", sent)
      .with("started", course_.started())
      .with("afterMs", std::chrono::duration_cast<Millis>(clockNow() - dispatchedAt_));
  endDispatch(sent ? DispatchResult::broken : DispatchResult::unreachable, false);
  if (sent) {
    take(RelayEvents::ConnectionBroken{});
  } else {
    take(RelayEvents::NotSent{});
  }
}

void TrafficSession::endDispatch(DispatchResult result, bool keepChannel) {
  if (!std::exchange(dispatched_, false)) return;
  noteLostRun(result);
  notePromptDone();
  engine_.loop().cancel(std::exchange(silenceTimer_, 0));
  const Instant now = clockNow();
  engine_.table().noteEnded(upstream_, result, now, upstreamIncarnation_);
  engine_.metrics().time("hallchute_dispatch_ms", "service=\"" + service_.str() + "\"",
                         now - dispatchedAt_);
  if (keepChannel) {
    engine_.pool().release(upstream_, std::move(channel_), now);
  } else {
    engine_.pool().discard(upstream_, std::move(channel_));
  }
}

/// A run whose answer never came may count too, if the upstream had the time to begin it.
void TrafficSession::noteLostRun(DispatchResult result) {
  if (result == DispatchResult::rejected || result == DispatchResult::unreachable) return;
  if (runCounted_ || admission_.organisation == nullptr) return;
  const bool stream = admission_.route->kind == WorkKind::stream;
  const Millis waited = std::chrono::duration_cast<Millis>(clockNow() - dispatchedAt_);
  // A cut holds the request up; the connection ends with a reset, which drops it.
  const bool delivered = channel_ == nullptr || channel_->delivered();
  // A stream that this side gave up was still waiting: an engine that is behind has begun none of
  // those, and drops them with their connections.
  const bool waiting = stream && result != DispatchResult::broken;
  runCounted_ = delivered && !waiting && waited >= (stream ? kStreamBegins : kPlainBegins);
  LogLine(LogLevel::info, "upstream.unanswered")
      .with("request", wish_.requestId)
      .with("upstream", upstream_.str())
      .with("result", describe(result))
      .with("waitedMs", waited)
      .with("delivered", delivered)
      .with("countedAsRun", runCounted_);
  if (runCounted_) engine_.noteRun(admission_.organisation->name);
}

void TrafficSession::perform(const RelayActions::Cancel&) {
  const bool silent = !course_.ended();
  endDispatch(silent ? DispatchResult::silent : DispatchResult::abandoned, false);
}

HttpFields TrafficSession::passedFields(const HttpHead& head) {
  HttpFields fields = head.fields;
  removeHopByHop(fields);
  fields.erase("Content-Length");
  return fields;
}

void TrafficSession::perform(const RelayActions::ForwardEvent& action) {
  if (action.first) exchange_->startPieces(answerHead_.status, passedFields(answerHead_));
  if (!piece_.id.empty()) lastEventId_ = piece_.id;
  exchange_->sendPiece(piece_.bytes);
}

void TrafficSession::perform(const RelayActions::EndStream&) {
  exchange_->endPieces();
  finish("answered", answerHead_.status);
}

void TrafficSession::perform(const RelayActions::ForwardResponse&) {
  const HttpHead& head = answerWhole_ ? answerHead_ : spareHead_;
  exchange_->answer(head.status, passedFields(head), answerWhole_ ? answerBody_ : spareBody_);
  finish("answered", head.status);
}

void TrafficSession::perform(const RelayActions::Refuse&) {
  if (admission_.organisation != nullptr) {
    engine_.giveBackQuota(admission_.organisation->name, admission_.quotaTaken);
  }
  HttpFields fields;
  fields.add("Retry-After", retryAfterText(kComeBack));
  exchange_->answer(kUnavailable, fields, "");
  finish("refused", kUnavailable);
}

void TrafficSession::perform(const RelayActions::Fail& action) {
  const int status = action.deadlineExceeded ? kGatewayTimeout : kBadGateway;
  exchange_->answer(status, {}, "");
  finish(action.deadlineExceeded ? "timeUp" : "mayHaveRun", status);
}

void TrafficSession::perform(const RelayActions::AbortStream&) {
  exchange_->breakOff();
  finish("brokenOff", answerHead_.status);
}

void TrafficSession::finish(std::string_view outcome, int status) {
  stopTimers();
  const Instant now = clockNow();
  const auto total = std::chrono::duration_cast<Millis>(now - exchange_->arrived());
  const auto first = firstPieceAt_.value_or(now) - exchange_->arrived();
  LogLine(LogLevel::info, "request.end")
      .with("request", wish_.requestId)
      .with("route", admission_.route->name)
      .with("service", service_.str())
      .with("outcome", outcome)
      .with("status", status)
      .with("upstream", upstream_.str())
      .with("dispatches", dispatches_)
      .with("settings", admission_.routes->settings().version)
      .with("organisation", admission_.organisation == nullptr
                                ? std::string()
                                : admission_.organisation->name.str())
      .with("quotaTaken", static_cast<std::uint64_t>(admission_.quotaTaken))
      .with("firstMs", std::chrono::duration_cast<Millis>(first))
      .with("totalMs", total);
  const std::string labels =
      "route=\"" + admission_.route->name + "\",outcome=\"" + std::string(outcome) + "\"";
  engine_.metrics().add("hallchute_requests_total", labels);
  engine_.metrics().time("hallchute_first_ms", "route=\"" + admission_.route->name + "\"", first);
  engine_.endSession(id_);
}

}  // namespace Hallchute
