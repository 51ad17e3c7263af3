// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/TrafficSession.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/AnswerEvidence.h"
#include "Hallchute/src/Traffic/OriginExchange.h"
#include "Hallchute/src/Traffic/RetryAfter.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {
namespace {

/// Retry-After of a refusal: about the time until a crashed upstream is excluded from selection
/// and a full one has accepted requests from its queue.
constexpr Millis kRefusalRetryAfter{100};
/// Time without output, in latency objectives, after which a repeatable request is also sent to
/// another upstream. Beyond twice the objective the answer is late in any case.
constexpr double kResponseTimeoutObjectives = 2.0;
/// Time without output, in pause objectives, after which a started stream is also resumed on
/// another upstream. The minimum avoids that for an engine that preempts its request for a short
/// time.
constexpr double kStallTimeoutObjectives = 3.0;
constexpr Millis kMinStallTimeout{1'200};
/// Time after dispatch at which a request has usually started to run. A stream starts with its
/// first token, which engines produce about 100 ms after scheduling it; a plain request starts at
/// once.
constexpr Millis kStreamStartDelay{150};
constexpr Millis kPlainStartDelay{3};
/// Maximum fraction of the remaining time to wait for an upstream that sends nothing.
constexpr double kMaxSilentFraction = 0.4;
/// Time until another upstream is looked for again after none could be had.
constexpr Millis kReplacementRetryDelay{400};
/// Speeds are logged per second.
constexpr double kMsPerSecond = 1'000;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

bool isSuccess(int status) {
  return status >= 200 && status < 300;
}

/// Id of the last shared prompt part: the final part is specific to the request or its session.
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

/// The ids of the shared prompt parts, for logs.
std::string sharedPartIds(const ClientRequest& request) {
  std::string ids;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    if (!ids.empty()) ids += ",";
    ids += request.prompt[i].id;
  }
  return ids;
}

std::string_view describe(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::notSent:
      return "notSent";
    case ExchangeFailure::unacknowledged:
      return "unacknowledged";
    case ExchangeFailure::malformed:
      return "malformed";
    case ExchangeFailure::connectionEnded:
      return "connectionEnded";
    case ExchangeFailure::peerLost:
      return "peerLost";
    case ExchangeFailure::unbounded:
      return "unbounded";
  }
  return "";
}

Millis timeLimitOf(const Route& route, const ClientRequest& request) {
  return std::min(route.timeLimit, request.deadline.value_or(route.timeLimit));
}

}  // namespace

TrafficSession::TrafficSession(TrafficEngine& engine, std::uint64_t id,
                               std::shared_ptr<FrontExchange> exchange, SessionAdmission admission)
    : engine_(engine),
      id_(id),
      exchange_(std::move(exchange)),
      admission_(std::move(admission)),
      // A stream is continued at the service that began it, where a route has several.
      service_(RouteTable::pickTarget(*admission_.route, admission_.request.firstAttempt().str())),
      relay_(
          {admission_.route->mayRepeat(), admission_.route->resumable, admission_.route->maxRuns}),
      hedge_(engine, *admission_.route, service_, admission_.request.id.str()),
      deadline_(exchange_->receivedAt() + timeLimitOf(*admission_.route, admission_.request)) {
  selection_.service = service_;
  if (admission_.route->sharesPrompts) {
    selection_.affinity = affinityOf(admission_.request);
    selection_.sharedTokens = sharedTokens(admission_.request);
  }
  selection_.ownDomain = engine_.options().domain;
  selection_.requestId = admission_.request.id.str();
  selection_.promptTokens = admission_.request.promptTokens.value_or(0);
  selection_.objective = admission_.route->latencyObjective;
}

TrafficSession::~TrafficSession() {
  stopTimers();
}

void TrafficSession::begin() {
  exchange_->onCallerDisconnected = [weak = weak_from_this()] {
    if (const auto session = weak.lock()) session->handleEvent(RelayEvents::CallerDisconnected{});
  };
  hedge_.noteRequest();
  const Millis left = remaining();
  deadlineTimer_ = engine_.loop().after(left, [this] {
    deadlineTimer_ = 0;
    handleEvent(RelayEvents::DeadlineExceeded{});
  });
  if (admission_.route->resumable && admission_.request.resumesStream()) {
    resolveOrigin();
  } else if (engine_.admission().enabled()) {
    enterAdmission();
  } else {
    handleEvent(RelayEvents::Begin{});
  }
}

AdmissionRequest TrafficSession::admissionRequest() const {
  AdmissionRequest request;
  request.session = id_;
  request.criteria = selection_;
  if (admission_.organisation != nullptr) request.organisation = admission_.organisation->name;
  const RouteUrgency urgent = admission_.routes->urgencyOf(service_, urgency());
  request.rank = urgent.rank;
  request.overtakes = urgent.overtakes;
  request.objective = admission_.route->latencyObjective;
  request.urgentObjective = std::min(urgent.objective, request.objective);
  request.receivedAt = exchange_->receivedAt();
  request.deadline = deadline_;
  request.promptTokens = admission_.request.promptTokens.value_or(0);
  request.bytes = exchange_->body().size();
  return request;
}

void TrafficSession::enterAdmission() {
  engine_.admission().enter(
      admissionRequest(), [weak = weak_from_this()](const AdmissionVerdict& verdict) {
        const auto session = weak.lock();
        if (session == nullptr || session->relay_.ended()) return;
        const auto* refusal = std::get_if<AdmissionVerdicts::Refuse>(&verdict);
        if (refusal == nullptr) {
          session->handleEvent(RelayEvents::Begin{});
          return;
        }
        session->refusalRetryAfter_ = refusal->retryAfter;
        session->handleEvent(RelayEvents::NoUpstreamAvailable{});
      });
}

StreamKey TrafficSession::streamKey() const {
  return StreamOrigins::keyOf(admission_.request.firstAttempt());
}

void TrafficSession::resolveOrigin() {
  ContinuationEvidence evidence;
  evidence.service = service_;
  evidence.timeLimit = admission_.route->timeLimit;
  evidence.askedAt = clockNow();
  engine_.originResolver().resolve(streamKey(), evidence,
                                   [weak = weak_from_this()](const ContinuationEvidence& known,
                                                             const ContinuationVerdict& verdict) {
                                     const auto session = weak.lock();
                                     if (session == nullptr || session->relay_.ended()) return;
                                     session->logOrigin(known, verdict);
                                     std::visit([&](const auto& v) { session->adopt(v); }, verdict);
                                   });
}

void TrafficSession::adopt(const ContinuationVerdicts::Continue& verdict) {
  engine_.metrics().add("hallchute_streams_resumed_total",
                        "origin=\"" + std::string(describe(verdict.basis)) + "\"");
  selection_.version = verdict.version;
  lastEventId_ = admission_.request.lastEventId;
  engine_.noteStreamContinued({streamKey(), service_, verdict.version});
  handleEvent(RelayEvents::Begin{});
}

/// Refused, as it hasn't run: another daemon may know its version.
void TrafficSession::adopt(const ContinuationVerdicts::Refuse&) {
  engine_.metrics().add("hallchute_streams_resumed_total", "origin=\"unknown\"");
  handleEvent(RelayEvents::NoUpstreamAvailable{});
}

/// Names all that the decision rests on, and its age.
void TrafficSession::logOrigin(const ContinuationEvidence& known,
                               const ContinuationVerdict& verdict) const {
  const auto* found = std::get_if<ContinuationVerdicts::Continue>(&verdict);
  const auto* refused = std::get_if<ContinuationVerdicts::Refuse>(&verdict);
  const Instant now = clockNow();
  const auto took = std::chrono::duration_cast<Millis>(now - known.askedAt);
  engine_.metrics().time("hallchute_stream_origin_ms", "", took);
  LogLine line(LogLevel::info, "stream.origin");
  line.with("request", selection_.requestId)
      .with("resumes", admission_.request.resumes.str())
      .with("service", service_.str())
      .with("version", found == nullptr ? std::string() : found->version.str())
      .with("basis", describe(found == nullptr ? OriginBasis::none : found->basis))
      .with("refused", refused == nullptr ? std::string_view() : describe(refused->reason))
      .with("own", known.recorded.has_value())
      .with("peersAsked", known.peers.has_value())
      .with("peersReadArchive", known.peers && known.peers->archiveRead)
      .with("tookMs", took);
  if (!known.archive) return;
  const std::optional<VersionClaim>& versions = known.archive->versions;
  line.with("archiveAnswered", known.archive->answered)
      .with("archiveAgeMs", std::chrono::duration_cast<Millis>(now - known.archive->readAt))
      .with("archived", known.archive->streams.size())
      .with("versionsAsOf", versions ? versions->asOf : std::uint64_t{0})
      .with("versionsComplete", versions && versions->complete);
}

/// From the first event on, only the same version may continue the stream.
void TrafficSession::noteStreamStarted() {
  if (!admission_.route->resumable || selection_.version) return;
  const UpstreamIncarnation& upstream = answering_->upstream();
  const SoftwareVersion& version = answering_->version();
  const UpstreamEntry* entry = engine_.upstreamTable().find(upstream.id);
  const bool replaced = entry != nullptr && entry->record.incarnation > upstream.incarnation &&
                        entry->record.version != version;
  const StreamOrigin origin{streamKey(), service_, replaced ? SoftwareVersion() : version};
  selection_.version = origin.version;
  engine_.noteStreamBegan(origin, upstream.id);
}

Millis TrafficSession::remaining() const {
  const auto left = std::chrono::duration_cast<Millis>(deadline_ - clockNow());
  return std::max(Millis(0), left);
}

void TrafficSession::stopTimers() {
  engine_.loop().cancel(std::exchange(deadlineTimer_, 0));
  engine_.loop().cancel(std::exchange(silenceTimer_, 0));
  hedge_.disarm();
}

void TrafficSession::handleEvent(const RelayEvent& event, SessionDispatch* source) {
  const bool ended = relay_.ended();
  SessionDispatch* const outerSource = std::exchange(source_, source);
  for (const RelayAction& action : relay_.step(event)) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  source_ = outerSource;
  if (ended) return;
  if (!relay_.ended()) {
    // An upstream at work whose replacement could not be had is still silent.
    if (silenceTimer_ == 0 && !choosing_ && anyOpen()) startSilenceTimer(kReplacementRetryDelay);
  } else if (std::holds_alternative<RelayEvents::CallerDisconnected>(event)) {
    finish("callerLeft", 0);
  }
}

/// A listing may have shown since the stream began that the process was replaced.
void TrafficSession::refreshVersion() {
  if (!selection_.version) return;
  const StreamOrigin* origin = engine_.origins().find(streamKey());
  if (origin != nullptr) selection_.version = origin->version;
}

bool TrafficSession::deniedByQuarantine() const {
  const bool trial = admission_.isCrashTrial && dispatchCount_ == 0;
  const CrashHistory* history = engine_.crashes().quarantined(admission_.suspects);
  if (history == nullptr || trial) return false;
  LogLine(LogLevel::info, "request.retryDenied")
      .with("request", selection_.requestId)
      .with("content", describe(history->content))
      .with("reason", "crashesUpstreams");
  return true;
}

void TrafficSession::withdrawChoice() {
  if (!choosing_) return;
  ++choice_;
  choosing_ = false;
  // Another upstream is at work, so that no action follows.
  relay_.step(RelayEvents::NoUpstreamAvailable{});
}

void TrafficSession::refreshTried() {
  selection_.tried.clear();
  for (const auto& dispatch : dispatches_) {
    const std::optional<DispatchResult> result = dispatch->result();
    const bool unused = result == DispatchResult::rejected ||
                        result == DispatchResult::unreachable ||
                        result == DispatchResult::abandoned;
    if (!unused) selection_.tried.insert(dispatch->upstream().id);
  }
}

void TrafficSession::perform(const RelayActions::Dispatch& action) {
  if (choosing_) {
    // The choice that is waiting stands for this one too.
    handleEvent(RelayEvents::NoUpstreamAvailable{});
    return;
  }
  if (deniedByQuarantine() || remaining() <= Millis(0)) {
    handleEvent(RelayEvents::NoUpstreamAvailable{});
    return;
  }
  refreshVersion();
  engine_.excludeVersions(selection_, dispatchCount_ > 0);
  const bool forwards = engine_.forwarder() != nullptr && engine_.paths().lost(service_);
  if (!forwards) {
    choosing_ = true;
    const std::uint64_t choice = ++choice_;
    engine_.selector().choose(
        selection_, [weak = weak_from_this(), action, choice](const UpstreamEntry* upstream,
                                                              const HeldSlotPtr& slot) {
          const auto session = weak.lock();
          if (session == nullptr || session->relay_.ended() || session->choice_ != choice) return;
          session->choosing_ = false;
          session->dispatch(action, upstream, slot);
        });
  } else if (takeRetry(action)) {
    forwardToPeer(action.resume);
  }
}

/// Without one the dispatch isn't made.
bool TrafficSession::takeRetry(const RelayActions::Dispatch& action) {
  const bool allowed = action.hedge
                           ? hedge_.takeFromBudget()
                           : !action.retry || engine_.takeRetry(service_, selection_.requestId);
  if (allowed) return true;
  handleEvent(RelayEvents::NoUpstreamAvailable{});
  return false;
}

void TrafficSession::dispatch(const RelayActions::Dispatch& action, const UpstreamEntry* upstream,
                              const HeldSlotPtr& slot) {
  if (upstream == nullptr) {
    handleEvent(RelayEvents::NoUpstreamAvailable{});
    return;
  }
  if (!takeRetry(action) || dispatchTo(*upstream, action, slot)) return;
  if (action.hedge) {
    hedge_.deny("noConnection");
    selection_.tried.erase(upstream->record.id);
    handleNoAnswer(DispatchEvidences::NotSent{});
    return;
  }
  // This daemon's share of the upstream's connections is in use; others may have room in theirs.
  // What may not repeat tries another upstream instead, as it could be lost between daemons.
  if (engine_.forwarder() == nullptr || !admission_.route->mayRepeat()) {
    handleNoAnswer(DispatchEvidences::NotSent{});
    return;
  }
  selection_.tried.erase(upstream->record.id);
  forwardToPeer(action.resume);
}

int TrafficSession::urgency() const {
  const GatewayOrganisation* organisation = admission_.organisation;
  if (organisation != nullptr && organisation->priority) return *organisation->priority;
  return admission_.route->priority;
}

DispatchMetadata TrafficSession::dispatchTerms(bool resume) const {
  DispatchMetadata terms;
  terms.remaining = remaining();
  if (admission_.organisation != nullptr) terms.organisation = admission_.organisation->name;
  terms.urgency = urgency();
  if (resume) terms.lastEventId = lastEventId_;
  return terms;
}

SessionDispatch& TrafficSession::addDispatch() {
  dispatches_.push_back(std::make_unique<SessionDispatch>(*this));
  return *dispatches_.back();
}

bool TrafficSession::anyOpen() const {
  return std::any_of(dispatches_.begin(), dispatches_.end(),
                     [](const auto& dispatch) { return dispatch->isOpen(); });
}

const SessionDispatch* TrafficSession::reportedDispatch() const {
  if (answering_ != nullptr) return answering_;
  return dispatches_.empty() ? nullptr : dispatches_.back().get();
}

bool TrafficSession::dispatchTo(const UpstreamEntry& upstream, const RelayActions::Dispatch& action,
                                const HeldSlotPtr& slot) {
  SessionDispatch& dispatch = addDispatch();
  const bool sent =
      dispatch.sendTo(engine_, upstream,
                      {exchange_->head(), exchange_->sharedBody(), dispatchTerms(action.resume),
                       selection_, admission_.suspects, admission_.request.promptTokens.value_or(0),
                       admission_.route->mayRepeat(), slot, admission_.request.maxOutputTokens});
  noteUpstream(dispatch);
  if (!sent) {
    dispatches_.pop_back();
    return false;
  }
  ++dispatchCount_;
  if (action.hedge) {
    // The first upstream is silent as soon as it would be without a hedge.
    hedge_.noteSent(dispatch, *dispatches_.front());
    return true;
  }
  restartSilenceTimer();
  if (dispatchCount_ == 1 && !admission_.request.resumesStream()) {
    hedge_.arm([this] { handleHedgeDue(); });
  }
  return true;
}

void TrafficSession::handleHedgeDue() {
  if (choosing_ || relay_.started() || !relay_.mayRunAgain()) return;
  // After a rejection or a failure no request is hedged: the service has little room.
  const SessionDispatch& first = *dispatches_.front();
  if (dispatches_.size() > 1 || !first.isOpen()) return;
  const bool answerArrives = first.head().status != 0 && !first.isStream();
  if (answerArrives) return;
  const UpstreamEntry* second = engine_.paths().lost(service_)
                                    ? nullptr
                                    : pickUpstream(engine_.upstreamTable(), selection_, clockNow());
  if (!hedge_.mayHedge(second, admission_.request.promptTokens.value_or(0))) return;
  handleEvent(RelayEvents::HedgeDue{});
}

/// Sends the request through another daemon, as this one has no connection for it.
void TrafficSession::forwardToPeer(bool resume) {
  ForwardedRequest request;
  request.criteria = selection_;
  request.suspects = admission_.suspects;
  request.promptTokens = admission_.request.promptTokens.value_or(0);
  request.repeatable = admission_.route->mayRepeat();
  request.terms = dispatchTerms(resume);
  request.head = exchange_->head();
  // Removes the API key, among others.
  request.head.fields = engine_.codec().dispatchFields(exchange_->head(), request.terms);
  request.body = exchange_->sharedBody();
  exchange_->noteBodyCopied();
  ++dispatchCount_;
  // What is silent at one daemon is replaced through another one.
  std::set<DaemonId> excluded = excludedPeers_;
  for (const auto& dispatch : dispatches_) {
    if (dispatch->peer() != nullptr) excluded.insert(dispatch->peer()->peer());
  }
  addDispatch().sendThroughPeer(engine_, std::move(request), std::move(excluded));
  restartSilenceTimer();
}

void TrafficSession::dispatchForwarded(SessionDispatch& dispatch) {
  noteUpstream(dispatch);
}

void TrafficSession::noteUpstream(const SessionDispatch& dispatch) {
  selection_.tried.insert(dispatch.upstream().id);
  if (!relay_.started() && !admission_.request.resumesStream()) return;
  LogLine(LogLevel::info, "stream.resumed")
      .with("request", selection_.requestId)
      .with("resumes", admission_.request.resumes.str())
      .with("afterEvent", relay_.started() ? lastEventId_ : admission_.request.lastEventId)
      .with("upstream", dispatch.upstream().id.str())
      .with("version", dispatch.version().str());
}

void TrafficSession::dispatchDeclined(SessionDispatch& dispatch, const DaemonId& peer) {
  const DispatchEvidences::Declined evidence{dispatch.delivered()};
  if (evidence.dispatched) {
    dispatchFailed(dispatch, ExchangeFailure::peerLost);
    return;
  }
  if (!peer.empty()) excludedPeers_.insert(peer);
  endDispatch(dispatch, DispatchResult::unreachable, false);
  if (peer.empty()) {
    handleEvent(RelayEvents::NoUpstreamAvailable{}, &dispatch);
  } else {
    handleNoAnswer(evidence, &dispatch);
  }
}

Millis TrafficSession::silenceTimeout() const {
  using RealMillis = std::chrono::duration<double, std::milli>;
  const Route& route = *admission_.route;
  const RealMillis responseTimeout =
      RealMillis(route.latencyObjective) * kResponseTimeoutObjectives;
  const RealMillis stallTimeout = std::max(
      RealMillis(kMinStallTimeout), RealMillis(route.gapObjective) * kStallTimeoutObjectives);
  const RealMillis objectiveTimeout = relay_.started() ? stallTimeout : responseTimeout;
  const RealMillis deadlineTimeout = RealMillis(remaining()) * kMaxSilentFraction;
  return std::chrono::duration_cast<Millis>(std::min(objectiveTimeout, deadlineTimeout));
}

void TrafficSession::restartSilenceTimer() {
  startSilenceTimer(silenceTimeout());
}

void TrafficSession::startSilenceTimer(Millis timeout) {
  engine_.loop().cancel(std::exchange(silenceTimer_, 0));
  if (!admission_.route->mayRepeat()) return;
  silenceTimer_ = engine_.loop().after(timeout, [this] {
    silenceTimer_ = 0;
    handleSilence();
  });
}

bool TrafficSession::isOverdue(const SessionDispatch& dispatch) const {
  if (!dispatch.isOpen()) return false;
  // The timer goes by the dispatch that was made before the hedge.
  return !hedge_.isHedge(dispatch) || clockNow() - dispatch.startedAt() >= silenceTimeout();
}

/// The upstreams at work are kept until another one sends data: they may go on.
void TrafficSession::handleSilence() {
  if (!relay_.mayRunAgain()) return;
  const bool overdue = std::any_of(dispatches_.begin(), dispatches_.end(),
                                   [this](const auto& dispatch) { return isOverdue(*dispatch); });
  if (!overdue || pickUpstream(engine_.upstreamTable(), selection_, clockNow()) == nullptr) {
    startSilenceTimer(kReplacementRetryDelay);
    return;
  }
  for (const auto& dispatch : dispatches_) {
    if (isOverdue(*dispatch) && !dispatch->silent()) {
      dispatch->noteSilent();
      LogLine(LogLevel::info, "upstream.silent")
          .with("request", selection_.requestId)
          .with("upstream", dispatch->upstream().id.str())
          .with("started", relay_.started())
          .with("sinceDispatchMs",
                std::chrono::duration_cast<Millis>(clockNow() - dispatch->startedAt()));
    }
  }
  handleEvent(RelayEvents::UpstreamSilent{});
}

bool TrafficSession::answerBegan(SessionDispatch& dispatch) {
  const HttpHead& head = dispatch.head();
  dispatch.setResponse(engine_.codec().readAnswer(head));
  const UpstreamResponse& answer = dispatch.response();
  if (answer.id != admission_.request.id) {
    LogLine(LogLevel::warning, "upstream.foreignAnswer")
        .with("request", selection_.requestId)
        .with("upstream", dispatch.upstream().id.str())
        .with("answersRequest", answer.id.str());
    return false;
  }
  if (UpstreamDispatch* direct = dispatch.direct()) direct->noteAnswer(answer);
  if (answer.draining && !answer.misdirected) engine_.noteDrainingAnswer(dispatch.upstream());
  dispatch.setIsStream(isSuccess(head.status) && answer.hasSignature &&
                       admission_.route->kind == WorkKind::stream && head.holdsEvents());
  return true;
}

void TrafficSession::streamContinued(SessionDispatch& dispatch) {
  forwardEvents(dispatch);
}

void TrafficSession::forwardEvents(SessionDispatch& dispatch) {
  while (dispatch.isOpen() && !relay_.ended()) {
    std::optional<StreamEvent> event = dispatch.events().next();
    if (!event) return;
    recordRunStart(dispatch);
    noteFirstData();
    if (UpstreamDispatch* direct = dispatch.direct()) direct->noteEvent();
    if (alreadyForwarded(*event)) continue;
    event_ = std::move(*event);
    dispatch.noteData();
    withdrawChoice();
    handleEvent(RelayEvents::StreamEventReceived{}, &dispatch);
    if (relay_.ended()) return;
    if (selection_.tried.size() > 1) refreshTried();
    restartSilenceTimer();
  }
}

/// A resumed run may repeat events that precede the one it was resumed after.
bool TrafficSession::alreadyForwarded(const StreamEvent& event) const {
  std::uint64_t last = 0;
  std::uint64_t id = 0;
  return absl::SimpleAtoi(lastEventId_, &last) && absl::SimpleAtoi(event.id, &id) && id <= last;
}

void TrafficSession::recordRunStart(SessionDispatch& dispatch) {
  if (UpstreamDispatch* direct = dispatch.direct()) direct->noteBegan();
  if (dispatch.noteFirstEvent()) {
    engine_.versionShares().noteOutcome(
        {service_, dispatch.version(), admission_.route->name,
         std::chrono::duration_cast<Millis>(clockNow() - dispatch.startedAt())});
  }
  if (std::exchange(runCounted_, true)) return;
  if (!firstOutputAt_) firstOutputAt_ = clockNow();
  if (admission_.organisation != nullptr) engine_.noteRun(admission_.organisation->name);
}

/// Measures the first upstream only: what the second one takes begins later.
void TrafficSession::noteFirstData() {
  const SessionDispatch& first = *dispatches_.front();
  const bool measured = relay_.started() || admission_.request.resumesStream() || !first.isOpen();
  if (measured || first.peer() != nullptr) return;
  hedge_.noteFirstData(std::chrono::duration_cast<Millis>(clockNow() - first.startedAt()));
}

void TrafficSession::answerEnded(SessionDispatch& dispatch) {
  const UpstreamResponse& answer = dispatch.response();
  const HttpHead& head = dispatch.head();
  const auto proof = ExecutionProof::of(evidenceOf(answer, admission_.request.id, head.status));
  logRejection(dispatch, proof.has_value());
  if (proof) {
    endDispatch(dispatch, DispatchResult::rejected, !answer.misdirected);
    noteProof(*proof);
    handleEvent(RelayEvents::NotExecuted{*proof}, &dispatch);
    return;
  }
  if (dispatch.isStream()) {
    // An answer delimited by the end of the connection may have been cut off, as its upstream
    // ended.
    const bool complete = !head.bodyEndsAtClose || dispatch.events().endsWithEvent();
    if (!complete) {
      dispatchFailed(dispatch, ExchangeFailure::connectionEnded);
      return;
    }
    endDispatch(dispatch, DispatchResult::answered, true);
    noteCompleted(dispatch);
    withdrawChoice();
    event_ = {dispatch.events().incompleteEvent(), ""};
    if (!event_.bytes.empty()) handleEvent(RelayEvents::StreamEventReceived{}, &dispatch);
    answering_ = &dispatch;
    handleEvent(RelayEvents::ResponseComplete{}, &dispatch);
    return;
  }
  recordRunStart(dispatch);
  // A started stream can only be continued by another stream.
  if (!answer.hasSignature || relay_.started()) {
    dispatchFailed(dispatch, ExchangeFailure::malformed);
    return;
  }
  const bool failed = head.status >= kServerError;
  if (isSuccess(head.status)) noteFirstData();
  endDispatch(dispatch, failed ? DispatchResult::failed : DispatchResult::answered, true);
  if (isSuccess(head.status)) noteCompleted(dispatch);
  if (failed) {
    fallbackHead_ = head;
    fallbackBody_ = dispatch.body();
  } else {
    answering_ = &dispatch;
    withdrawChoice();
  }
  handleEvent(RelayEvents::ResponseComplete{!failed}, &dispatch);
}

/// Logs an answer that claims that the request did not run.
void TrafficSession::logRejection(const SessionDispatch& dispatch, bool proven) const {
  const UpstreamResponse& answer = dispatch.response();
  const int status = dispatch.head().status;
  if (!proven && !answer.statesNotExecuted && !promisesNotExecuted(status)) return;
  LogLine(LogLevel::info, proven ? "upstream.rejected" : "upstream.unprovenRejection",
          proven ? LogPriority::ordinary : LogPriority::outcome)
      .with("request", selection_.requestId)
      .with("upstream", dispatch.upstream().id.str())
      .with("status", status)
      .with("answersRequest", answer.id.str())
      .with("statesNotExecuted", answer.statesNotExecuted)
      .with("signed", answer.hasSignature)
      .with("retryAfterMs", answer.retryAfter);
  if (proven) return;
  engine_.metrics().add("hallchute_unproven_rejections_total",
                        "service=\"" + service_.str() + "\"");
}

void TrafficSession::noteProof(const ExecutionProof& proof) {
  if (!proofs_.empty()) proofs_ += ",";
  proofs_ += proof.reason();
}

/// Handles the end of a dispatch without a whole answer: it was not sent, or it may have run.
void TrafficSession::handleNoAnswer(const DispatchEvidence& evidence, SessionDispatch* source) {
  if (const auto proof = ExecutionProof::of(evidence)) {
    noteProof(*proof);
    handleEvent(RelayEvents::NotSent{*proof}, source);
  } else {
    handleEvent(RelayEvents::ConnectionBroken{}, source);
  }
}

/// Clears the content of crashes, unless the end of the connection may have been one.
void TrafficSession::noteCompleted(const SessionDispatch& dispatch) {
  if (!dispatch.head().bodyEndsAtClose)
    engine_.crashes().noteCompleted(admission_.suspects.content, clockNow());
}

void TrafficSession::dispatchFailed(SessionDispatch& dispatch, ExchangeFailure failure) {
  const bool answered = dispatch.head().status != 0;
  const bool sent = failure != ExchangeFailure::notSent || answered;
  LogLine(LogLevel::info, "upstream.failed")
      .with("request", selection_.requestId)
      .with("upstream", dispatch.upstream().id.str())
      .with("content", describe(admission_.suspects.content))
      .with("parts", sharedPartIds(admission_.request))
      .with("began", runCounted_)
      .with("failure", describe(failure))
      .with("sent", sent)
      .with("started", relay_.started())
      .with("afterMs", std::chrono::duration_cast<Millis>(clockNow() - dispatch.startedAt()));
  if (sent) {
    engine_.metrics().add("hallchute_upstream_breaks_total", "service=\"" + service_.str() + "\"");
  }
  if (UpstreamDispatch* direct = dispatch.direct()) direct->noteFailure(failure);
  if (failure == ExchangeFailure::peerLost) excludedPeers_.insert(dispatch.peer()->peer());
  endDispatch(dispatch, sent ? DispatchResult::broken : DispatchResult::unreachable, false);
  if (sent) {
    handleNoAnswer(DispatchEvidences::Interrupted{}, &dispatch);
  } else {
    handleNoAnswer(DispatchEvidences::NotSent{answered}, &dispatch);
  }
}

void TrafficSession::endDispatch(SessionDispatch& dispatch, DispatchResult result,
                                 bool keepChannel) {
  if (!dispatch.isOpen()) return;
  recordUnansweredRun(dispatch, result);
  hedge_.noteEnded(dispatch, result, source_);
  noteVersionOutcome(dispatch, result);
  dispatch.end(result, keepChannel);
  if (!anyOpen()) engine_.loop().cancel(std::exchange(silenceTimer_, 0));
}

/// A request that never reached the upstream says nothing of it. One that was given up after its
/// objective without an event had a first event that late at least.
void TrafficSession::noteVersionOutcome(const SessionDispatch& dispatch, DispatchResult result) {
  VersionOutcome outcome{service_, dispatch.version(), admission_.route->name, std::nullopt};
  switch (result) {
    case DispatchResult::answered:
      outcome.ended = true;
      break;
    case DispatchResult::failed:
    case DispatchResult::broken:
      outcome.ended = true;
      outcome.failed = true;
      break;
    case DispatchResult::silent:
    case DispatchResult::abandoned: {
      const auto waited = std::chrono::duration_cast<Millis>(clockNow() - dispatch.startedAt());
      if (dispatch.hasFirstEvent() || waited < admission_.route->latencyObjective) return;
      if (!dispatch.delivered()) return;
      outcome.firstEvent = waited;
      break;
    }
    case DispatchResult::rejected:
    case DispatchResult::unreachable:
      return;
  }
  engine_.versionShares().noteOutcome(outcome);
}

/// Counts a run without an answer if the upstream had enough time to start it.
void TrafficSession::recordUnansweredRun(const SessionDispatch& dispatch, DispatchResult result) {
  if (result == DispatchResult::rejected || result == DispatchResult::unreachable) return;
  if (runCounted_ || admission_.organisation == nullptr) return;
  const bool stream = admission_.route->kind == WorkKind::stream;
  const Millis waited = std::chrono::duration_cast<Millis>(clockNow() - dispatch.startedAt());
  const bool reached = dispatch.delivered();
  // A stream that this side cancelled was still queued: an overloaded engine has not started it and
  // discards it when the connection closes.
  const bool notStarted = stream && result != DispatchResult::broken;
  runCounted_ = reached && !notStarted && waited >= (stream ? kStreamStartDelay : kPlainStartDelay);
  LogLine(LogLevel::info, "upstream.unanswered")
      .with("request", selection_.requestId)
      .with("upstream", dispatch.upstream().id.str())
      .with("result", describe(result))
      .with("waitedMs", waited)
      .with("delivered", reached)
      .with("countedAsRun", runCounted_);
  if (runCounted_) engine_.noteRun(admission_.organisation->name);
}

void TrafficSession::perform(const RelayActions::Cancel&) {
  // Void a choice that is still waiting.
  ++choice_;
  choosing_ = false;
  for (const auto& dispatch : dispatches_) {
    if (dispatch.get() == source_ || !dispatch->isOpen()) continue;
    const bool replaced = source_ != nullptr && dispatch->silent();
    endDispatch(*dispatch, replaced ? DispatchResult::silent : DispatchResult::abandoned, false);
  }
}

HttpFields TrafficSession::forwardedFields(const HttpHead& head) {
  HttpFields fields = head.fields;
  removeHopByHop(fields);
  fields.erase("Content-Length");
  return fields;
}

void TrafficSession::perform(const RelayActions::ForwardEvent& action) {
  answering_ = source_;
  noteStreamStarted();
  const HttpHead& head = answering_->head();
  if (action.first) exchange_->startStream(head.status, forwardedFields(head));
  if (!event_.id.empty()) lastEventId_ = event_.id;
  exchange_->sendStreamData(event_.bytes);
}

void TrafficSession::perform(const RelayActions::EndStream&) {
  exchange_->endStream();
  finish("answered", answering_->head().status);
}

void TrafficSession::perform(const RelayActions::ForwardResponse&) {
  const HttpHead& head = answering_ != nullptr ? answering_->head() : fallbackHead_;
  if (promisesNotExecuted(head.status)) {
    // Without the upstream's fields: its signature vouches for its own status only.
    exchange_->respond(kBadGateway, {}, "");
    finish("mayHaveRun", kBadGateway);
    return;
  }
  exchange_->respond(head.status, forwardedFields(head),
                     answering_ != nullptr ? answering_->body() : fallbackBody_);
  finish("answered", head.status);
}

void TrafficSession::perform(const RelayActions::Refuse&) {
  if (admission_.organisation != nullptr) {
    engine_.refundQuota(admission_.organisation->name, admission_.quotaTaken);
  }
  const Millis backoff =
      engine_.upstreamTable().backoffLeft(service_, clockNow()).value_or(Millis(0));
  const Millis retryAfter = refusalRetryAfter_.value_or(std::max(backoff, kRefusalRetryAfter));
  HttpFields fields;
  fields.add("Retry-After", retryAfterText(retryAfter));
  exchange_->respond(kUnavailable, fields, "");
  finish("refused", kUnavailable);
}

void TrafficSession::perform(const RelayActions::Fail& action) {
  const int status = action.deadlineExceeded ? kGatewayTimeout : kBadGateway;
  exchange_->respond(status, {}, "");
  finish(action.deadlineExceeded ? "timeUp" : "mayHaveRun", status);
}

void TrafficSession::perform(const RelayActions::AbortStream&) {
  exchange_->abortResponse();
  finish("brokenOff", answering_->head().status);
}

void TrafficSession::finish(std::string_view outcome, int status) {
  stopTimers();
  engine_.admission().remove(id_);
  const Instant now = clockNow();
  const auto total = std::chrono::duration_cast<Millis>(now - exchange_->receivedAt());
  const auto first = firstOutputAt_.value_or(now) - exchange_->receivedAt();
  const SessionDispatch* reported = reportedDispatch();
  const DispatchForecast forecast = reported == nullptr ? DispatchForecast() : reported->forecast();
  const bool served = isSuccess(status);
  LogLine(LogLevel::info, "request.end", served ? LogPriority::ordinary : LogPriority::outcome)
      .with("request", selection_.requestId)
      .with("content", describe(admission_.suspects.content))
      .with("route", admission_.route->name)
      .with("service", service_.str())
      .with("outcome", outcome)
      .with("status", status)
      .with("upstreamStatus", reported == nullptr ? 0 : reported->head().status)
      .with("upstream", reported == nullptr ? std::string() : reported->upstream().id.str())
      .with("version", reported == nullptr ? std::string() : reported->version().str())
      .with("dispatches", dispatchCount_)
      .with("proofs", dispatchCount_ == 0 ? std::string_view("neverDispatched") : proofs_)
      .with("hedge", hedge_.outcome())
      .with("settings", admission_.routes->settings().version)
      .with("organisation", admission_.organisation == nullptr
                                ? std::string()
                                : admission_.organisation->name.str())
      .with("quotaTaken", static_cast<std::uint64_t>(admission_.quotaTaken))
      .with("predictedMs", forecast.firstEvent)
      .with("workPerS", static_cast<std::uint64_t>(forecast.workPerMs * kMsPerSecond))
      .with("reportAgeMs", forecast.reportAge)
      .with("firstMs", std::chrono::duration_cast<Millis>(first))
      .with("totalMs", total);
  const std::string labels =
      "route=\"" + admission_.route->name + "\",outcome=\"" + std::string(outcome) + "\"";
  engine_.metrics().add("hallchute_requests_total", labels);
  engine_.metrics().time("hallchute_first_ms", "route=\"" + admission_.route->name + "\"", first);
  engine_.endSession(id_);
}

}  // namespace Hallchute
