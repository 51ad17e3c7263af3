// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_ANSWERRUNNER_H
#define HALLCHUTE_DAEMON_ANSWERRUNNER_H

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/GrantSpec.h"
#include "Hallchute/src/Ports/EnginePort.h"

namespace Hallchute {

class Job;
struct TrafficContext;

/// \brief Runs one generation to completion, with retries and migrations across upstreams.
/// \ingroup Daemon
///
/// A request is accepted if it is durable, and otherwise once its first token has been received or
/// it has been migrated. Before that, a refused grant is final and failed attempts are retried at
/// most as often as `maxAttempts` and the retry budget allow. An accepted request is retried until
/// its answer is complete, its caller cancels it or its deadline passes. Blocks the calling thread.
class AnswerRunner {
 public:
  AnswerRunner(TrafficContext& context, std::shared_ptr<Job> job);
  void run();

 private:
  enum class Next { proceed, done };

  Next step();
  Next onGrantRefused(const Refusal& refusal);
  Next runAttempt(ScopedGrant& grant);
  Next afterStream(ScopedGrant& grant, EnginePort& engine, std::uint64_t epoch,
                   const StreamResult& result);
  Next onOrder(ScopedGrant& grant, EnginePort& engine, std::uint64_t epoch);
  Next onFailure(ScopedGrant& grant, const StreamResult& result);
  bool onEvent(const EngineEvent& event, const ScopedGrant& grant);
  void recordTokenMetrics();
  GenerateRequest makeRequest(EnginePort& engine, std::uint64_t epoch);
  GrantSpec makeGrantSpec() const;
  bool accepted() const;
  Refusal makeRefusal(RefusalReason reason, std::string detail) const;
  std::string metricLabels() const;

  TrafficContext& context_;
  std::shared_ptr<Job> job_;
  std::vector<UpstreamId> excluded_;
  std::string exportedCache_;
  /// Whether an engine may have started to process the request.
  bool dispatched_ = false;
  bool resumption_ = false;
  bool finished_ = false;
  bool offsetGap_ = false;
  int failureCount_ = 0;
  Instant lastTokenAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ANSWERRUNNER_H
