// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_GATEWAYPROCESS_H
#define HALLCHUTE_TEST_GATEWAYPROCESS_H

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/scenario/ChildProcess.h"

namespace TestSupport {

/// \brief Limits of a process's open descriptors, as RLIMIT_NOFILE.
struct DescriptorLimits {
  std::size_t soft = 0;
  std::size_t hard = 0;
};

/// \brief How a gateway process is started.
struct GatewayStart {
  /// Arguments after `gateway`.
  std::vector<std::string> arguments;
  /// The process's whole environment.
  std::vector<std::string> environment;
  /// Without: those of this process.
  std::optional<DescriptorLimits> descriptorLimits = std::nullopt;
};

/// \brief Settings and addresses of a gateway that runs as a real process; its store may be away.
class GatewayProcess {
 public:
  /// \param ip a loopback address of this test's own; ports are taken from the operating system.
  explicit GatewayProcess(const std::string& ip);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// \brief Starts it with `--config`, unless \p options says otherwise. Ends an earlier process.
  void start();
  void start(const GatewayStart& options);
  /// \brief Starts it with `--config` under other limits.
  void start(const DescriptorLimits& limits);
  /// \brief Whether its readiness address answers within \p limit.
  bool answers(std::chrono::milliseconds limit);
  /// \brief What it wrote so far.
  std::string output() const;
  /// \brief The processor time that it has used so far, in all threads.
  std::chrono::milliseconds processorTime() const;
  Scenario::ChildProcess& process() { return *process_; }

  std::string store;
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string metrics;
  /// The setting of this name.
  std::size_t descriptors = 1'024;
  /// The setting of this name; 0: none.
  std::size_t memoryMb = 0;
  const std::string ip;

  /// \brief Where its start-up file lies.
  std::string settingsPath() const;

 private:
  void writeSettings() const;

  std::string folder_;
  std::unique_ptr<Scenario::ChildProcess> process_;
};

}  // namespace TestSupport

#endif  // HALLCHUTE_TEST_GATEWAYPROCESS_H
