// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_MODELFLEET_H
#define HALLCHUTE_TEST_MODELFLEET_H

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Hallchute/Gateway"
#include "ModelResult.h"
#include "ModelScenario.h"
#include "RandomSource.h"
#include "SimulatedDaemons.h"

namespace Hallchute {

/// Daemons that place prompts by the last reported loads of their peers, and engines that process
/// one prompt after the other and cache the shared prefixes of the last few affinity keys.
class ModelFleet {
 public:
  explicit ModelFleet(ModelScenario scenario)
      : scenario_(std::move(scenario)), engines_(scenario_.engines) {
    daemons_.start(scenario_.daemons, records(0), scenario_.estimates);
    result_.timesByKindMs.resize(scenario_.kinds.size());
  }

  /// \param load a function of the time in ms: the load as a fraction of the capacity of engines
  /// of speed 1 without cached prefixes.
  template <typename Load>
  ModelResult run(int ms, Load load) {
    double tokens = 0;
    for (const ModelRequestKind& kind : scenario_.kinds)
      tokens += kind.fraction * (kind.sharedTokens + kind.ownTokens);
    const double perMs = scenario_.tokensPerMs * static_cast<double>(engines_.size()) / tokens;
    for (int now = 0; now < ms; ++now) {
      for (std::size_t e = 0; e < engines_.size(); ++e) process(e, now);
      endStreams(now);
      if (now % SimulatedDaemons::kReportPeriodMs == 0) exchange(now);
      dueRequests_ += load(now) * perMs;
      for (; dueRequests_ >= 1; dueRequests_ -= 1) place(now);
    }
    return result_;
  }

 private:
  static constexpr std::size_t kAffinityKeys = 900;
  static constexpr int kMaxDispatches = 4;
  struct Request {
    std::size_t daemon = 0;
    std::size_t kind = 0;
    std::size_t engine = 0;
    int arrived = 0;
    std::uint64_t promptTokens = 0;
    double tokensLeft = 0;
    double workAhead = 0;
  };
  struct Engine {
    std::deque<Request> prompts;
    std::size_t inFlight = 0;
    std::deque<std::size_t> cached;
  };

  std::vector<UpstreamRecord> records(int now) const {
    std::vector<UpstreamRecord> records;
    for (std::size_t e = 0; e < engines_.size(); ++e) {
      if (!scenario_.listed(e, now)) continue;
      UpstreamRecord record;
      record.id = UpstreamId("e" + std::to_string(e));
      record.service = ServiceName("s");
      record.domain = FailureDomainName("d" + std::to_string(e % 5));
      record.slots = scenario_.slots;
      records.push_back(record);
    }
    return records;
  }
  void exchange(int now) {
    daemons_.replace(records(now), now);
    if (scenario_.reports(now)) {
      daemons_.exchangeReports(now);
    } else {
      daemons_.loseReports(now);
    }
  }
  std::size_t drawKind() {
    double drawn = scenario_.kinds.size() == 1 ? 0 : random_.next();
    std::size_t kind = 0;
    for (; kind + 1 < scenario_.kinds.size() && drawn >= scenario_.kinds[kind].fraction; ++kind)
      drawn -= scenario_.kinds[kind].fraction;
    return kind;
  }
  /// The distribution of keys is skewed: a few get most of the requests.
  std::size_t drawKey() {
    const double drawn = random_.next();
    return static_cast<std::size_t>(drawn * drawn * kAffinityKeys);
  }
  void place(int now) {
    ++result_.requestCount;
    const std::size_t key = drawKey();
    Request request;
    request.kind = drawKind();
    request.daemon = random_.below(daemons_.size());
    request.arrived = now;
    const ModelRequestKind& kind = scenario_.kinds[request.kind];
    UpstreamCriteria criteria;
    criteria.service = ServiceName("s");
    criteria.requestId = "r" + std::to_string(result_.requestCount);
    criteria.affinity = "subject" + std::to_string(key);
    criteria.sharedTokens = static_cast<std::uint64_t>(kind.sharedTokens);
    criteria.promptTokens = static_cast<std::uint64_t>(kind.sharedTokens + kind.ownTokens);
    criteria.objective = Millis(kind.objectiveMs);
    for (int i = 0; i < kMaxDispatches; ++i) {
      if (dispatch(request, criteria, key, now)) return;
    }
  }
  bool dispatch(Request request, UpstreamCriteria& criteria, std::size_t key, int now) {
    UpstreamTable& table = daemons_.table(request.daemon);
    const UpstreamEntry* picked = pickUpstream(table, criteria, SimulatedDaemons::at(now));
    CPPUNIT_ASSERT(picked != nullptr);
    const UpstreamId id = picked->record.id;
    request.engine = std::stoul(id.str().substr(1));
    request.promptTokens =
        tokensToProcess(table, criteria, criteria.promptTokens, *picked, SimulatedDaemons::at(now));
    request.workAhead = UpstreamTable::workUntilResponse(*picked, request.promptTokens);
    table.noteDispatched(id, request.promptTokens);
    Engine& engine = engines_[request.engine];
    if (engine.inFlight >= scenario_.slots + scenario_.queueLimit) {
      ++result_.rejections;
      table.notePromptDone(id, request.promptTokens);
      table.noteEnded(id, DispatchResult::rejected, SimulatedDaemons::at(now));
      criteria.tried.insert(id);
      return false;
    }
    ++engine.inFlight;
    request.tokensLeft = readPrompt(engine, key, scenario_.kinds[request.kind]);
    result_.prefillTokens += request.tokensLeft;
    engine.prompts.push_back(request);
    return true;
  }
  double readPrompt(Engine& engine, std::size_t key, const ModelRequestKind& kind) {
    double tokens = kind.ownTokens;
    const auto cached = std::find(engine.cached.begin(), engine.cached.end(), key);
    if (cached == engine.cached.end()) {
      tokens += kind.sharedTokens;
      if (seenKeys_.contains(key)) result_.recomputedTokens += kind.sharedTokens;
    } else {
      engine.cached.erase(cached);
    }
    seenKeys_.insert(key);
    engine.cached.push_back(key);
    if (engine.cached.size() > scenario_.cachedPrefixes) engine.cached.pop_front();
    return tokens;
  }
  void process(std::size_t e, int now) {
    std::deque<Request>& prompts = engines_[e].prompts;
    if (prompts.empty()) return;
    double tokens = scenario_.tokensPerMs * scenario_.speed(e, now);
    while (!prompts.empty() && tokens > 0) {
      const double done = std::min(tokens, prompts.front().tokensLeft);
      tokens -= done;
      prompts.front().tokensLeft -= done;
      if (prompts.front().tokensLeft > 0) continue;
      const Request request = prompts.front();
      prompts.pop_front();
      respond(request, now);
    }
  }
  void respond(const Request& request, int now) {
    const int time = now - request.arrived;
    result_.timesToFirstTokenMs.push_back(time);
    result_.timesByKindMs[request.kind].push_back(time);
    const UpstreamId id("e" + std::to_string(request.engine));
    UpstreamTable& table = daemons_.table(request.daemon);
    table.noteProcessed(id, request.workAhead, Millis(time), SimulatedDaemons::at(now));
    table.notePromptDone(id, request.promptTokens);
    const double stream = scenario_.kinds[request.kind].streamMs;
    ends_.emplace(now + static_cast<int>(stream / scenario_.speed(request.engine, now)), request);
  }
  void endStreams(int now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const Request request = ends_.begin()->second;
      ends_.erase(ends_.begin());
      --engines_[request.engine].inFlight;
      const UpstreamId id("e" + std::to_string(request.engine));
      daemons_.table(request.daemon)
          .noteEnded(id, DispatchResult::answered, SimulatedDaemons::at(now));
    }
  }

  ModelScenario scenario_;
  std::vector<Engine> engines_;
  SimulatedDaemons daemons_;
  std::multimap<int, Request> ends_;
  std::set<std::size_t> seenKeys_;
  ModelResult result_;
  RandomSource random_;
  double dueRequests_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_MODELFLEET_H
