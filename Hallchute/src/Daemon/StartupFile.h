// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_STARTUPFILE_H
#define HALLCHUTE_DAEMON_STARTUPFILE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief The configuration that a daemon needs before it can read the settings.
/// \ingroup Daemon
struct StartupFile {
  DaemonId daemon;
  FailureDomainName domain;
  /// Listen address for callers, `ip:port`.
  std::string callerListen;
  int maxCallerConnections = 512;
  std::string operatorListen;
  std::string operatorToken;
  std::string peerListen;
  /// Address that peers connect to; differs from `peerListen` behind a proxy or NAT.
  std::string peerAdvertise;
  std::string peerSecret;
  std::vector<std::string> seeds;
  std::string platformAddress;
  std::string platformToken;
  Millis platformTimeout{1'000};
  std::string logLevel = "info";
  /// The memory that the process may use, in bytes.
  std::size_t memory = 0;

  /// \brief The IP of `peerListen`, to which outgoing connections are bound.
  std::string ownIp() const;
};

/// \brief Parses and validates a startup file; adds every error to \p findings.
/// \ingroup Daemon
StartupFile readStartupFile(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_STARTUPFILE_H
