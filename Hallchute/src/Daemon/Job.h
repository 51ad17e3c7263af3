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

/// \brief The stage of a job on this daemon.
/// \ingroup Daemon
enum class JobStage { waiting, running, finished, refused, handedOver };

/// \brief A request to the runner of a job to stop its current attempt.
/// \ingroup Daemon
enum class JobCommand { none, move, pause, cancel };

/// \brief The part of an answer from a given token on, as returned to a reader.
/// \ingroup Daemon
struct JobView {
  JobStage stage = JobStage::waiting;
  std::vector<std::string> tokens;
  std::optional<Refusal> refusal;
};

/// \brief A generation in progress: written by one runner, read by any number of callers.
/// \ingroup Daemon
///
/// Thread-safe. The answer outlives its connections: a caller may reconnect and continue to read
/// it.
class Job {
 public:
  explicit Job(JobSpec spec);
  /// \brief Resumes a generation that another daemon has started.
  Job(JobSpec spec, std::uint64_t epoch, std::vector<std::string> tokens);

  const JobSpec& spec() const { return spec_; }

  // For the runner.
  /// \brief Whether an attempt of an earlier runner, here or at another daemon, may have run.
  bool mayHaveRun() const;
  std::uint64_t beginAttempt(const UpstreamId& upstream);
  ChunkResult accept(const AnswerChunk& chunk);
  std::vector<std::string> tokens() const;
  std::size_t tokenCount() const;
  void finish();
  void refuse(Refusal refusal);
  /// \brief Waits until a command is pending, at most for \p time. \returns the pending command.
  JobCommand waitForCommand(Millis time);
  JobCommand command() const { return command_.load(); }
  /// \brief Clears a pending `move` command. \returns the migration to perform.
  Migration takeMove();
  /// \brief Reports that the runner has stopped because of a `pause` command.
  void markPaused();

  /// \brief Appends tokens of a job that runs on another daemon and is only read here.
  void mirror(const std::vector<std::string>& tokens);

  // For Control and Drain.
  void requestMove(const Migration& migration);
  void requestPause();
  void requestCancel();
  /// \brief Waits until the runner has paused. \returns false on timeout or if the job has ended.
  bool waitUntilPaused(Millis limit);
  /// \brief Clears the pause, so that the job can be run again.
  void resume();
  void markHandedOver(const DaemonId& peer);
  UpstreamId upstream() const;
  JobStage stage() const;
  std::optional<DaemonId> handedOverTo() const;
  /// \brief The input of planMigrations() for this job.
  RunningStream migrationInput(Instant now) const;
  HandOverRecord record(const DaemonId& holder, std::uint64_t generation) const;

  // For readers.
  /// \brief Returns the tokens from \p offset on; waits up to \p wait for a token or the end.
  JobView view(std::size_t offset, Millis wait) const;
  /// \brief Adds a listener, called by the writing thread after new tokens and at the end.
  void addListener(std::function<void()> listener);
  void attach() { ++readers_; }
  void detach(Instant now);
  /// \brief Whether the unfinished job has had no reader for at least \p limit.
  bool abandonedFor(Millis limit, Instant now) const;
  Instant endedAt() const;

 private:
  void setCommand(JobCommand newCommand);
  void notify();
  bool ended() const;

  const JobSpec spec_;
  const bool startedElsewhere_ = false;
  mutable std::mutex mutex_;
  mutable std::condition_variable stateChanged_;
  std::vector<std::function<void()>> listeners_;
  AnswerAssembler answer_;
  JobStage stage_ = JobStage::waiting;
  std::optional<Refusal> refusal_;
  std::optional<DaemonId> handedOverTo_;
  Migration migration_ = Recompute{};
  UpstreamId upstream_;
  std::size_t tokensAtAttemptStart_ = 0;
  Instant attemptStartedAt_{};
  Instant endedAt_{};
  Instant detachedAt_{};
  bool paused_ = false;
  std::atomic<JobCommand> command_{JobCommand::none};
  std::atomic<int> readers_{0};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_JOB_H
