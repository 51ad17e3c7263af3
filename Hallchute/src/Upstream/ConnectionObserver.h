// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_UPSTREAM_CONNECTIONOBSERVER_H
#define HALLCHUTE_UPSTREAM_CONNECTIONOBSERVER_H

#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief Learns whether connections to upstreams can be established. \ingroup Upstream
class ConnectionObserver {
 public:
  ConnectionObserver() = default;
  ConnectionObserver(const ConnectionObserver&) = delete;
  ConnectionObserver& operator=(const ConnectionObserver&) = delete;
  virtual ~ConnectionObserver() = default;

  virtual void upstreamConnected(const UpstreamId& upstream) = 0;
  virtual void upstreamConnectFailed(const UpstreamId& upstream) = 0;
  /// \brief The upstream's host acknowledges a request late, or not at all.
  virtual void upstreamAcknowledgesLate(const UpstreamId& upstream) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_UPSTREAM_CONNECTIONOBSERVER_H
