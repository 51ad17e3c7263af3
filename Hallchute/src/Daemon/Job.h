// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_JOB_H
#define HALLCHUTE_DAEMON_JOB_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/JobSpec.h"
#include "Hallchute/src/Recovery/AnswerAssembler.h"
#include "Hallchute/src/Recovery/HandOverRecord.h"
#include "Hallchute/src/Recovery/MigrationPlan.h"

namespace Hallchute {

/// \brief How far a job is on this daemon.
/// \ingroup Daemon
enum class JobStage { waiting, running, finished, refused, handedOver };

/// \brief What a runner must stop for.
/// \ingroup Daemon
enum class JobCommand { none, move, pause, cancel };

/// \brief What a reader sees of an answer from some token on.
/// \ingroup Daemon
struct JobView {
  JobStage stage = JobStage::waiting;
  std::vector<std::string> tokens;
  std::optional<Refusal> refusal;
};

/// \brief A generation on its way: written by one runner, read by any number of callers.
/// \ingroup Daemon
///
/// Any thread. The answer outlives its connections: a caller may come back for it.
class Job {
 public:
  explicit Job(JobSpec spec);
  /// \brief Goes on where another daemon stopped.
  Job(JobSpec spec, std::uint64_t epoch, std::vector<std::string> tokens);

  const JobSpec& spec() const { return spec_; }

  // For the runner.
  std::uint64_t beginAttempt(const UpstreamId& upstream);
  ChunkResult accept(const AnswerChunk& chunk);
  std::vector<std::string> tokens() const;
  std::size_t tokenCount() const;
  void finish();
  void refuse(Refusal refusal);
  /// \brief Waits for \p time or until an order comes. \returns the order.
  JobCommand waitForCommand(Millis time);
  JobCommand command() const { return orderNow_.load(); }
  /// \brief Takes a `move` order. \returns how to move.
  Migration takeMove();
  /// \brief Says that the runner has stopped for a `pause` order.
  void markPaused();

  /// \brief Appends tokens of a job that runs on another daemon and is only shown here.
  void mirror(const std::vector<std::string>& tokens);

  // For control.
  void requestMove(const Migration& migration);
  void requestPause();
  void requestCancel();
  /// \brief Waits until the runner stopped. \returns false on time-out or if the job has ended.
  bool waitUntilPaused(Millis limit);
  /// \brief Lets a paused job run again.
  void resume();
  void markHandedOver(const DaemonId& peer);
  UpstreamId upstream() const;
  JobStage stage() const;
  std::optional<DaemonId> handedTo() const;
  /// \brief What planMigrations() needs to know.
  RunningStream migrationInput(Instant now) const;
  HandOverRecord record(const DaemonId& holder, std::uint64_t generation) const;

  // For readers.
  /// \brief The tokens from \p offset on; waits up to \p wait for one or for the end.
  JobView view(std::size_t offset, Millis wait) const;
  /// \brief Called from the runner's thread whenever there is something new to read.
  void addListener(std::function<void()> listener);
  void attach() { ++readers_; }
  void detach(Instant now);
  /// \brief Whether nobody has read it for \p limit.
  bool abandonedFor(Millis limit, Instant now) const;
  Instant endedAt() const;

 private:
  void setOrder(JobCommand command);
  void notify();
  bool ended() const;

  const JobSpec spec_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<std::function<void()>> listeners_;
  AnswerAssembler answer_;
  JobStage stage_ = JobStage::waiting;
  std::optional<Refusal> refusal_;
  std::optional<DaemonId> handedTo_;
  Migration migration_ = Recompute{};
  UpstreamId upstream_;
  std::size_t tokensAtAttempt_ = 0;
  Instant attemptSince_{};
  Instant endedAt_{};
  Instant detachedAt_{};
  bool paused_ = false;
  std::atomic<JobCommand> orderNow_{JobCommand::none};
  std::atomic<int> readers_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOB_H
