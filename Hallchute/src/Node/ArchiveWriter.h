// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_ARCHIVEWRITER_H
#define HALLCHUTE_NODE_ARCHIVEWRITER_H

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "Hallchute/src/Gateway/ArchivePlan.h"

namespace Hallchute {

class Metrics;
class OriginArchivePort;

/// \brief Carries out the steps of ArchivePlan, on its own thread because the calls to the platform
/// block. \ingroup Node
class ArchiveWriter {
 public:
  /// \param servedBefore whether the fleet may have served anybody, as the store tells; called from
  /// the writer's thread.
  ArchiveWriter(OriginArchivePort& port, const DaemonId& self, std::function<bool()> servedBefore,
                Metrics& metrics);
  ~ArchiveWriter();
  ArchiveWriter(const ArchiveWriter&) = delete;
  ArchiveWriter& operator=(const ArchiveWriter&) = delete;

  void start();
  /// \brief Stops after the pending call.
  void stop();
  /// \brief Sets what to archive; to be called each report period while this daemon archives
  /// anything. Any thread.
  void update(ArchiveInput input);

 private:
  void run();
  void runSteps(const ArchiveInput& input);
  /// \returns whether another step may follow.
  bool perform(const ArchiveSteps::Nothing& step);
  bool perform(const ArchiveSteps::ReadArchive& step);
  bool perform(const ArchiveSteps::ListVersions& step);
  bool perform(const ArchiveSteps::ReadVersions& step);
  bool perform(const ArchiveSteps::Write& step);
  bool noteFailed(std::string_view call, std::string_view detail);

  OriginArchivePort& port_;
  std::function<bool()> servedBefore_;
  Metrics& metrics_;
  ArchivePlan plan_;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<ArchiveInput> input_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_ARCHIVEWRITER_H
