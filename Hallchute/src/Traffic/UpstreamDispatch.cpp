// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Traffic/UpstreamDispatch.h"

#include <string>
#include <utility>

#include "Hallchute/src/Http/HttpWriter.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"

namespace Hallchute {
namespace {

/// Minimum number of shared tokens for copying their cache from another upstream; fewer are
/// recomputed. An engine takes about 30 ms to prefill 1000 tokens. Setting up a copy takes about
/// 5 ms and also delays work at the source.
constexpr std::uint64_t kMinCopiedTokens = 1'000;

/// Bytes of a body up to which a copy, sent together with the head, is cheaper than a system call
/// of its own.
constexpr std::size_t kMaxCopiedBody = std::size_t{32} << 10U;

std::string cacheSourceAddress(TrafficEngine& engine, const UpstreamCriteria& criteria,
                               const UpstreamEntry& chosen) {
  if (criteria.affinity.empty() || criteria.sharedTokens < kMinCopiedTokens) return {};
  const UpstreamEntry* source = cacheSource(engine.upstreamTable(), criteria, chosen, clockNow());
  return source == nullptr ? std::string() : source->record.address;
}

SlotOutcome slotOutcome(DispatchResult result) {
  switch (result) {
    case DispatchResult::answered:
    case DispatchResult::failed:
      return SlotOutcome::answered;
    case DispatchResult::rejected:
      return SlotOutcome::rejected;
    case DispatchResult::unreachable:
      return SlotOutcome::unused;
    case DispatchResult::broken:
    case DispatchResult::silent:
    case DispatchResult::abandoned:
      return SlotOutcome::unknown;
  }
  return SlotOutcome::unknown;
}

}  // namespace

std::unique_ptr<UpstreamDispatch> UpstreamDispatch::start(TrafficEngine& engine,
                                                          const UpstreamEntry& upstream,
                                                          DispatchRequest request,
                                                          UpstreamListener& listener) {
  const UpstreamRecord& record = upstream.record;
  const ConnectionReuse reuse = request.repeatable ? ConnectionReuse::any : ConnectionReuse::safe;
  std::unique_ptr<UpstreamChannel> channel = engine.pool().take(
      record.id, record.address, reuse, engine.connectionShare(record.service), clockNow());
  if (channel == nullptr) return nullptr;
  const UpstreamIncarnation incarnation{record.id, record.incarnation};
  std::unique_ptr<UpstreamDispatch> dispatch(
      new UpstreamDispatch(engine, incarnation, record.service, std::move(channel), request));
  const std::uint64_t tokens = tokensToProcess(engine.upstreamTable(), request.criteria,
                                               request.promptTokens, upstream, clockNow());
  dispatch->promptTokens_ = tokens;
  dispatch->forecast_ = engine.upstreamTable().forecast(upstream, tokens);
  request.terms.upstream = record.id;
  request.terms.cacheSource = cacheSourceAddress(engine, request.criteria, upstream);
  dispatch->send(request, listener);
  return dispatch;
}

UpstreamDispatch::UpstreamDispatch(TrafficEngine& engine, UpstreamIncarnation upstream,
                                   ServiceName service, std::unique_ptr<UpstreamChannel> channel,
                                   const DispatchRequest& request)
    : engine_(engine),
      upstream_(std::move(upstream)),
      request_(request.criteria.requestId),
      service_(std::move(service)),
      channel_(std::move(channel)),
      suspects_(request.suspects),
      promptTokens_(request.promptTokens),
      slot_(request.slot),
      startedAt_(clockNow()),
      memoryTokens_(request.promptTokens == 0 ? 0 : request.promptTokens + request.outputTokens) {}

UpstreamDispatch::~UpstreamDispatch() = default;

void UpstreamDispatch::send(const DispatchRequest& request, UpstreamListener& listener) {
  const HttpFields fields = engine_.codec().dispatchFields(request.head, request.terms);
  engine_.upstreamTable().noteSent(upstream_.id, startedAt_);
  engine_.upstreamTable().noteDispatched(upstream_.id, promptTokens_);
  engine_.upstreamTable().noteMemoryTaken(upstream_, memoryTokens_);
  const std::size_t bodyBytes = request.body == nullptr ? 0 : request.body->size();
  std::string bytes = requestHeadBytes(request.head.method, request.head.target, fields, bodyBytes);
  const bool copied = bodyBytes > 0 && bodyBytes <= kMaxCopiedBody;
  if (copied) bytes += *request.body;
  channel_->start(bytes, request.head.method == "HEAD", listener, copied ? nullptr : request.body);
}

void UpstreamDispatch::noteAnswer(const UpstreamResponse& answer) {
  if (answer.misdirected && !answer.hasSignature) {
    engine_.upstreamTable().noteAddressReused(upstream_.id, clockNow());
    return;
  }
  engine_.noteNamedLimits(upstream_, answer);
  if (answer.retryAfter > Millis(0)) {
    engine_.upstreamTable().noteBackoff(upstream_, answer.retryAfter, clockNow());
    engine_.metrics().add("hallchute_upstream_backoffs_total",
                          "service=\"" + service_.str() + "\"");
  }
}

void UpstreamDispatch::noteBegan() {
  notePromptDone();
  engine_.crashes().noteBegan(suspects_.parts, clockNow());
  suspects_.parts.clear();
}

void UpstreamDispatch::noteEvent() {
  const Instant now = clockNow();
  if (events_ == 0) {
    firstEventAt_ = now;
    noteProcessed(now);
  }
  ++events_;
  lastEventAt_ = now;
}

void UpstreamDispatch::noteProcessed(Instant now) {
  const auto time = std::chrono::duration_cast<Millis>(now - startedAt_);
  engine_.upstreamTable().noteProcessed(upstream_, forecast_.work, time, now);
  if (forecast_.workPerMs <= 0) return;
  const Millis error =
      time > forecast_.firstEvent ? time - forecast_.firstEvent : forecast_.firstEvent - time;
  const std::string_view side = time > forecast_.firstEvent ? "late" : "early";
  engine_.metrics().time("hallchute_prediction_error_ms",
                         "service=\"" + service_.str() + "\",side=\"" + std::string(side) + "\"",
                         error);
}

/// A plain answer is measured as a whole. One to a prompt that is no stream includes the time of
/// its output or is an error, and isn't measured.
void UpstreamDispatch::noteSpeed(DispatchResult result, Instant now) {
  if (events_ > 1) {
    const auto pauses = std::chrono::duration_cast<Millis>(lastEventAt_ - firstEventAt_);
    engine_.upstreamTable().notePauses(upstream_, events_ - 1, pauses, now);
  }
  const bool plain = events_ == 0 && memoryTokens_ == 0;
  if (plain && result == DispatchResult::answered) noteProcessed(now);
  engine_.upstreamTable().noteMemoryFreed(upstream_, std::exchange(memoryTokens_, 0));
}

void UpstreamDispatch::notePromptDone() {
  engine_.upstreamTable().notePromptDone(upstream_.id, std::exchange(promptTokens_, 0),
                                         upstream_.incarnation);
}

void UpstreamDispatch::noteSilent() const {
  engine_.upstreamTable().noteSilent(upstream_, clockNow());
}

void UpstreamDispatch::noteFailure(ExchangeFailure failure) {
  if (failure == ExchangeFailure::connectionEnded) {
    engine_.noteCrash(suspects_, upstream_);
    engine_.noteConnectionEnded(upstream_);
  }
  if (failure == ExchangeFailure::unbounded) noteExcess();
  if (channel_->refused()) engine_.noteProcessEnded(upstream_);
}

void UpstreamDispatch::noteExcess() const {
  const AnswerExcess& excess = channel_->excess();
  LogLine(LogLevel::warning, "upstream.unbounded")
      .with("request", request_)
      .with("service", service_.str())
      .with("upstream", upstream_.id.str())
      .with("reason", excess.reason)
      .with("bytes", excess.receivedBytes);
  engine_.metrics().add(
      "hallchute_upstream_unbounded_total",
      "service=\"" + service_.str() + "\",reason=\"" + std::string(excess.reason) + "\"");
}

/// Records a run that this daemon cancels. What a cut of the network held up has not run.
void UpstreamDispatch::noteIfAbandoned(DispatchResult result) {
  if (result != DispatchResult::silent && result != DispatchResult::abandoned) return;
  if (delivered()) engine_.noteAbandoned(suspects_, upstream_);
}

void UpstreamDispatch::end(DispatchResult result, bool keepConnection) {
  if (channel_ == nullptr) return;
  noteIfAbandoned(result);
  notePromptDone();
  const Instant now = clockNow();
  noteSpeed(result, now);
  engine_.upstreamTable().noteEnded(upstream_.id, result, now, upstream_.incarnation);
  if (slot_ != nullptr) slot_->release(slotOutcome(result));
  engine_.metrics().time("hallchute_dispatch_ms", "service=\"" + service_.str() + "\"",
                         now - startedAt_);
  if (keepConnection) {
    engine_.pool().release(upstream_.id, std::move(channel_), now);
  } else {
    engine_.pool().discard(upstream_.id, std::move(channel_));
  }
}

}  // namespace Hallchute
