// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "bench/policy/Trial.h"

#include <algorithm>

namespace Bench {
namespace {

using Hallchute::Granted;
using Hallchute::GrantEnd;
using Hallchute::GrantRefused;
using Hallchute::GrantRequest;
using Hallchute::Instant;
using Hallchute::Millis;
using Hallchute::UpstreamId;

constexpr double kTickMs = 50;
constexpr double kLeaveMarginMs = 500;
constexpr double kQueueLimitMs = 20'000;
constexpr double kRefusedConnectMs = 1;
constexpr double kRetryRatio = 0.2;
constexpr int kMaxAttempts = 6;
constexpr double kTargetShare = 0.95;
constexpr std::size_t kBlock = Hallchute::PrefixBlocks::kTokensPerBlock;

double share(std::size_t part, std::size_t whole) {
  return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double ClassResult::shareFirstInTime() const {
  return share(firstInTime, requests);
}

double ClassResult::shareGapsInTime() const {
  return share(gapsInTime, gaps);
}

double ClassResult::firstTokenQuantile(double q) const {
  if (firstTokenMs.empty()) return 0;
  std::vector<double> sorted = firstTokenMs;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

double TrialResult::recomputedPerThousand() const {
  return tokensServed == 0 ? 0 : tokensRecomputed * 1'000 / tokensServed;
}

bool TrialResult::meetsTargets() const {
  return std::all_of(classes.begin(), classes.end(), [](const auto& entry) {
    return entry.second.shareFirstInTime() >= kTargetShare &&
           entry.second.shareGapsInTime() >= kTargetShare;
  });
}

Trial::Trial(const TrialSpec& spec)
    : spec_(spec),
      random_(spec.seed),
      owner_(spec.policy),
      budget_(spec.retryBudget ? kRetryRatio : 1e9),
      engines_(spec.engines, EngineFake(spec.engine)),
      stepping_(spec.engines, false),
      dead_(spec.engines, false),
      sessions_(makeSessions(*spec.workload, spec.lengthMs, spec.scale, random_)) {
  std::vector<UpstreamId> live;
  for (std::size_t i = 0; i < spec.engines; ++i) live.emplace_back(std::to_string(i));
  owner_.setUpstreams(live, instant());
  for (std::size_t i = 0; i < sessions_.size(); ++i) {
    schedule(sessions_[i].startMs, What::arrive, i);
  }
  for (std::size_t i = 0; i < spec.waveEngines; ++i) schedule(spec.waveAtMs, What::notice, i);
  schedule(kTickMs, What::tick, 0);
}

Instant Trial::instant() const {
  return Instant(std::chrono::hours(1)) +
         std::chrono::microseconds(static_cast<std::int64_t>(now_ * 1'000));
}

std::size_t Trial::indexOf(const UpstreamId& id) {
  return std::stoul(id.str());
}

void Trial::schedule(double at, What what, std::uint64_t subject) {
  events_.push({at, nextOrder_++, what, subject});
}

TrialResult Trial::run() {
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    if (event.at > spec_.lengthMs) break;
    now_ = event.at;
    switch (event.what) {
      case What::arrive:
        arrive(event.subject);
        break;
      case What::step:
        step(event.subject);
        break;
      case What::tick:
        perform(owner_.tick(instant()));
        schedule(now_ + kTickMs, What::tick, 0);
        break;
      case What::notice:
        notice(event.subject);
        break;
      case What::death:
        death(event.subject);
        break;
      case What::retry:
        requestGrant(event.subject);
        break;
    }
  }
  result_.perSecond = result_.tokensServed / (spec_.lengthMs - spec_.warmUpMs) * 1'000;
  return std::move(result_);
}

ClassResult& Trial::classOf(const Request& request) {
  return result_.classes[request.session.spec->workClass];
}

void Trial::arrive(std::uint64_t session) {
  const std::uint64_t id = nextRequest_++;
  Request& request = requests_[id];
  request.session = sessions_[session];
  request.arrivedMs = now_;
  // Those that arrive near the end could not finish in time.
  request.counts = now_ >= spec_.warmUpMs && now_ < spec_.lengthMs - kQueueLimitMs;
  if (request.counts) {
    ++classOf(request).requests;
    ++result_.organisations[request.session.spec->organisation].requests;
    ++result_.requests;
  }
  budget_.recordFirstAttempt();
  requestGrant(id);
}

void Trial::requestGrant(std::uint64_t id) {
  Request& request = requests_.at(id);
  const StreamSpec& stream = *request.session.spec;
  GrantRequest wanted;
  wanted.id = id;
  wanted.organisation = Hallchute::OrganisationName(stream.organisation);
  wanted.priority = stream.priority;
  wanted.promptTokens = request.session.promptTokens() + request.produced;
  wanted.expectedTokens = stream.outputTokens - request.produced;
  wanted.affinity = request.session.id * 0x9E3779B97F4A7C15ULL;
  wanted.prefixHashes = request.session.hashes();
  if (wanted.prefixHashes.size() > Hallchute::PrefixBlocks::kMaxBlocks) {
    wanted.prefixHashes.resize(Hallchute::PrefixBlocks::kMaxBlocks);
  }
  wanted.failedUpstreams = request.failedUpstreams;
  wanted.resumption = request.started;
  wanted.deadline =
      instant() +
      Millis(static_cast<std::int64_t>(request.started ? 10 * kQueueLimitMs : kQueueLimitMs));
  perform(owner_.requestGrant(std::move(wanted), instant()));
}

void Trial::perform(const std::vector<Hallchute::GrantAction>& actions) {
  for (const auto& action : actions) {
    if (const auto* grant = std::get_if<Granted>(&action)) granted(*grant);
    if (const auto* refusal = std::get_if<GrantRefused>(&action)) refused(refusal->id);
  }
}

void Trial::granted(const Granted& grant) {
  Request& request = requests_.at(grant.id);
  const std::size_t engine = indexOf(grant.upstream);
  ++request.attempts;
  if (request.counts) ++result_.attempts;
  const bool broken = engine < spec_.brokenEngines || dead_[engine];
  if (broken) {
    request.failedUpstreams.push_back(grant.upstream);
    perform(owner_.release(grant.id, GrantEnd::connectFailed, instant()));
    const bool mayRetry = request.attempts < kMaxAttempts && budget_.tryConsumeRetry();
    if (mayRetry) {
      schedule(now_ + kRefusedConnectMs, What::retry, grant.id);
    } else {
      refused(grant.id);
    }
    return;
  }
  request.engine = engine;
  request.prefilled = false;
  Sequence sequence;
  sequence.id = grant.id;
  sequence.hashes = request.session.hashes();
  sequence.promptTokens = request.session.promptTokens();
  sequence.outputTokens = request.session.spec->outputTokens;
  sequence.produced = request.produced;
  sequence.importedTokens = request.imported;
  request.imported = 0;
  engines_[engine].add(std::move(sequence));
  if (!stepping_[engine]) {
    stepping_[engine] = true;
    schedule(now_, What::step, engine);
  }
}

void Trial::refused(std::uint64_t id) {
  const Request request = requests_.at(id);
  requests_.erase(id);
  if (!request.counts) return;
  ++classOf(request).refused;
  ++result_.refused;
  result_.worstRefusalMs = std::max(result_.worstRefusalMs, now_ - request.arrivedMs);
}

void Trial::step(std::size_t engine) {
  if (dead_[engine] || engines_[engine].idle()) {
    stepping_[engine] = false;
    return;
  }
  const StepResult result = engines_[engine].step(now_);
  for (const auto& [id, tokens] : result.computed) noteComputed(requests_.at(id), tokens);
  for (const std::uint64_t id : result.tokens) token(id, result.endMs);
  // The engine is busy until the step's end; what it finished counts from then on.
  const double started = now_;
  now_ = result.endMs;
  for (const std::uint64_t id : result.finished) finish(id);
  now_ = started;
  schedule(result.endMs, What::step, engine);
}

void Trial::noteComputed(const Request& request, std::size_t tokens) {
  if (now_ < spec_.warmUpMs) {
    for (const std::uint64_t hash : request.session.hashes()) everComputed_.insert(hash);
    return;
  }
  result_.tokensComputed += static_cast<double>(tokens);
  // The tail of the prompt is new unless all of it was computed before.
  std::size_t known = 0;
  const auto hashes = request.session.hashes();
  for (const std::uint64_t hash : hashes) known += everComputed_.contains(hash) ? 1 : 0;
  const std::size_t context = request.session.promptTokens() + request.produced;
  const std::size_t fresh = context - std::min(context, known * kBlock + request.produced);
  result_.tokensRecomputed += static_cast<double>(tokens - std::min(tokens, fresh));
  for (const std::uint64_t hash : hashes) everComputed_.insert(hash);
}

void Trial::token(std::uint64_t id, double at) {
  Request& request = requests_.at(id);
  ++request.produced;
  if (at >= spec_.warmUpMs) ++result_.tokensServed;
  if (request.counts) {
    ClassResult& kind = classOf(request);
    const StreamSpec& stream = *request.session.spec;
    if (!request.started) {
      const double first = at - request.arrivedMs;
      kind.firstTokenMs.push_back(first);
      result_.organisations[stream.organisation].firstTokenMs.push_back(first);
      if (first <= stream.firstTokenMs) ++kind.firstInTime;
    } else {
      ++kind.gaps;
      if (at - request.lastTokenMs <= stream.gapMs) ++kind.gapsInTime;
    }
  }
  request.started = true;
  request.lastTokenMs = at;
  if (!request.prefilled) {
    request.prefilled = true;
    perform(owner_.noteFirstToken(id, instant()));
  }
}

void Trial::finish(std::uint64_t id) {
  Session session = requests_.at(id).session;
  requests_.erase(id);
  perform(owner_.release(id, GrantEnd::finished, instant()));
  if (++session.turn >= session.spec->turns) return;
  std::exponential_distribution<double> think(1 / std::max(1.0, session.spec->thinkMs));
  sessions_.push_back(session);
  schedule(now_ + think(random_), What::arrive, sessions_.size() - 1);
}

void Trial::notice(std::size_t engine) {
  schedule(now_ + spec_.waveNoticeMs, What::death, engine);
  perform(owner_.markDraining(UpstreamId(std::to_string(engine)), instant()));
  if (!spec_.plannedMoves) return;
  std::vector<Hallchute::RunningStream> streams;
  for (const std::uint64_t id : engines_[engine].running()) {
    const Request& request = requests_.at(id);
    const std::size_t produced = engines_[engine].producedOf(id);
    const StreamSpec& stream = *request.session.spec;
    streams.push_back({id, request.session.promptTokens() + produced,
                       stream.outputTokens - produced, 1'000 / stream.gapMs,
                       static_cast<double>(10 - stream.priority)});
  }
  const Millis left(static_cast<std::int64_t>(spec_.waveNoticeMs - kLeaveMarginMs));
  for (const auto& planned :
       Hallchute::planMigrations(streams, {left, spec_.transferTokensPerSecond})) {
    if (std::holds_alternative<Hallchute::FinishInPlace>(planned.migration)) continue;
    moveAway(planned.stream, engine,
             std::holds_alternative<Hallchute::MoveCache>(planned.migration));
  }
}

void Trial::death(std::size_t engine) {
  dead_[engine] = true;
  for (const std::uint64_t id : engines_[engine].running()) moveAway(id, engine, false);
}

void Trial::moveAway(std::uint64_t id, std::size_t engine, bool withCache) {
  Request& request = requests_.at(id);
  request.produced = engines_[engine].remove(id);
  request.imported = withCache ? request.session.promptTokens() + request.produced : 0;
  request.failedUpstreams.emplace_back(std::to_string(engine));
  perform(owner_.release(id, GrantEnd::cancelled, instant()));
  requestGrant(id);
}

}  // namespace Bench
