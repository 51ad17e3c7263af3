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

/// \brief Runs one generation to its end, across as many upstreams as it takes.
/// \ingroup Daemon
///
/// Before the first place is granted a refusal is final at once. After it the request is accepted:
/// it goes on until its answer is whole, its caller gives up or its deadline passes. Blocks its
/// thread.
class AnswerRunner {
 public:
  AnswerRunner(TrafficContext& context, std::shared_ptr<Job> job);
  void run();

 private:
  enum class Next { again, done };

  Next step();
  Next onRefused(const Refusal& refusal);
  Next attempt(ScopedGrant& hold);
  Next afterStream(ScopedGrant& hold, EnginePort& engine, std::uint64_t epoch,
                   const StreamResult& result);
  Next onOrder(ScopedGrant& hold, EnginePort& engine, std::uint64_t epoch);
  Next onFailure(ScopedGrant& hold, const StreamResult& result);
  bool onEvent(const EngineEvent& event, const ScopedGrant& hold);
  void noteToken();
  GenerateRequest makeRequest(EnginePort& engine, std::uint64_t epoch);
  GrantSpec makeSpec() const;
  bool accepted() const;
  Refusal lastRefusal(RefusalReason reason, std::string detail) const;
  std::string labels() const;

  TrafficContext& context_;
  std::shared_ptr<Job> job_;
  std::vector<UpstreamId> avoid_;
  std::string cache_;
  /// Whether an engine may have begun on it.
  bool dispatched_ = false;
  bool resumption_ = false;
  bool finished_ = false;
  bool gap_ = false;
  int failures_ = 0;
  Instant lastToken_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_ANSWERRUNNER_H
