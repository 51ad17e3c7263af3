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

/// \brief The request of a traffic thread for a slot at an upstream.
/// \ingroup Daemon
struct GrantSpec {
  ServiceName service;
  /// The broker sets its id.
  GrantRequest wanted;
};

/// \brief RAII holder of a granted slot at an upstream, released on destruction. Any thread.
/// \ingroup Daemon
class ScopedGrant {
 public:
  using ReleaseCallback = std::function<void(GrantEnd)>;
  using FirstTokenCallback = std::function<void()>;

  ScopedGrant(UpstreamId upstream, std::string address, FirstTokenCallback onFirstToken,
              ReleaseCallback onRelease);
  ~ScopedGrant();
  ScopedGrant(const ScopedGrant&) = delete;
  ScopedGrant& operator=(const ScopedGrant&) = delete;

  const UpstreamId& upstream() const { return upstream_; }
  const std::string& address() const { return address_; }
  /// \brief Reports the first token: the prefill is complete and the upstream can accept another
  /// prompt.
  void noteFirstToken() const { onFirstToken_(); }
  /// \brief Releases the slot and reports how its work ended. Further calls have no effect.
  void end(GrantEnd end);

 private:
  UpstreamId upstream_;
  std::string address_;
  FirstTokenCallback onFirstToken_;
  ReleaseCallback onRelease_;
};

/// \brief A granted slot, or the reason why none was granted.
/// \ingroup Daemon
using GrantOutcome = std::variant<std::unique_ptr<ScopedGrant>, Refusal>;

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_GRANTSPEC_H
