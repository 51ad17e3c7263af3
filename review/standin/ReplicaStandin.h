// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_REPLICASTANDIN_H
#define REVIEW_STANDIN_REPLICASTANDIN_H

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "Connection.h"

namespace Review {

/// \brief A request that a replica ran.
struct Run {
  Instant at;
  /// Of the requester's attempt.
  std::string id;
  bool answered = false;
  bool ended = false;
};

/// \brief A sound replica of a plain service. Its threads run until the process ends.
class ReplicaStandin {
 public:
  /// \param workTime how long a request runs.
  ReplicaStandin(std::string id, std::string service, std::string zone, Millis workTime,
                 Record& record);

  const std::string& id() const { return id_; }
  /// \brief What the replica writes about itself into the store.
  std::string entry(const std::string& state) const;
  /// \brief Answers have a body of this many bytes from now on.
  void setAnswerBytes(std::size_t bytes) { answerBytes_ = bytes; }
  /// \brief Crashes it: it answers nothing more, and its connections are reset.
  void crash();
  /// \brief Ends it as the end of a process does: it listens no more, and its connections end.
  void end();
  std::vector<Run> runs();
  /// \brief Whether it runs a request whose id begins like that.
  bool isRunning(const std::string& prefix);

 private:
  void accept();
  void serve(int socket);
  std::size_t noteRun(const std::string& id);
  void noteRunEnded(std::size_t run, bool answered);

  std::string id_;
  std::string service_;
  std::string zone_;
  Millis workTime_;
  Record& record_;
  int listener_;
  std::atomic<std::size_t> answerBytes_{800};
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::set<int> connections_;
  std::vector<Run> runs_;
};

}  // namespace Review

#endif  // REVIEW_STANDIN_REPLICASTANDIN_H
