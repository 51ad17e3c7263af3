// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_GRANTSPEC_H
#define HALLCHUTE_DAEMON_GRANTSPEC_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/src/Admission/GrantRequest.h"
#include "Hallchute/src/Core/Refusal.h"

namespace Hallchute {

/// \brief What a traffic thread asks a place for.
/// \ingroup Daemon
struct GrantSpec {
  ServiceName service;
  /// Its id is set by the broker.
  GrantRequest wanted;
};

/// \brief A place at an upstream, given back when it goes out of scope. Any thread.
/// \ingroup Daemon
class ScopedGrant {
 public:
  using Release = std::function<void(GrantEnd)>;
  using Started = std::function<void()>;

  ScopedGrant(UpstreamId upstream, std::string address, Started started, Release release);
  ~ScopedGrant();
  ScopedGrant(const ScopedGrant&) = delete;
  ScopedGrant& operator=(const ScopedGrant&) = delete;

  const UpstreamId& upstream() const { return upstream_; }
  const std::string& address() const { return address_; }
  /// \brief Says that the first token came: the upstream can take the next prompt.
  void noteFirstToken() const { started_(); }
  /// \brief Gives the place back, saying how its work ended. Later calls do nothing.
  void end(GrantEnd end);

 private:
  UpstreamId upstream_;
  std::string address_;
  Started started_;
  Release release_;
};

/// \ingroup Daemon
using GrantOutcome = std::variant<std::unique_ptr<ScopedGrant>, Refusal>;

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GRANTSPEC_H
