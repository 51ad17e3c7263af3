// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_REQUESTFORWARDER_H
#define HALLCHUTE_TRAFFIC_REQUESTFORWARDER_H

#include <cstdint>
#include <set>
#include <string_view>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Traffic/ForwardedReply.h"

namespace Hallchute {

struct ForwardedRequest;

/// \brief Receives what happens to one forwarded request. \ingroup Traffic
class ForwardingListener {
 public:
  ForwardingListener() = default;
  ForwardingListener(const ForwardingListener&) = delete;
  ForwardingListener& operator=(const ForwardingListener&) = delete;
  virtual ~ForwardingListener() = default;
  /// \brief The request goes to \p peer.
  virtual void onPeerChosen(const DaemonId& peer) = 0;
  /// \brief The request was not sent to any daemon.
  virtual void onNotForwarded(std::string_view reason) = 0;
  virtual void onForwardedReply(const ForwardedReply& reply) = 0;
  /// \brief The stream ended before the last reply: the request may have run.
  virtual void onPeerLost() = 0;
};

/// \brief Sends requests to upstreams through other daemons. Traffic thread only. \ingroup Traffic
class RequestForwarder {
 public:
  RequestForwarder() = default;
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;
  virtual ~RequestForwarder() = default;

  /// \brief Sends a request to a daemon that can reach its service. The listener is called from the
  /// loop, never from within this call.
  /// \param excluded daemons that must not get it.
  /// \returns a number for cancel().
  virtual std::uint64_t forward(ForwardedRequest request, std::set<DaemonId> excluded,
                                ForwardingListener& listener) = 0;
  /// \brief Ends an exchange at both daemons and at the upstream; no call of the listener follows.
  virtual void cancel(std::uint64_t exchange) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_REQUESTFORWARDER_H
