// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_FORWARDINGLINK_H
#define HALLCHUTE_NODE_FORWARDINGLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Net/PeerStream.h"
#include "Hallchute/src/Traffic/ForwardedRequest.h"
#include "Hallchute/src/Traffic/RequestForwarder.h"

namespace Hallchute {

class EventLoop;
class PeerTransport;

/// \brief Carries requests to other daemons, and theirs to this one's traffic thread.
/// \ingroup Node
///
/// Each request has a stream of its own. Streams belong to the control thread, exchanges to the
/// traffic thread; they meet by posting to each other's loop, so that order is kept.
class ForwardingLink final : public RequestForwarder {
 public:
  using ReplySink = std::function<void(const ForwardedReply&)>;
  struct Callbacks {
    /// Control thread: chooses the daemon that a request goes to; nothing if none is left.
    std::function<std::optional<FleetMember>(const ForwardedRequest&, const std::set<DaemonId>&)>
        choosePeer;
    /// Traffic thread: begins a dispatch for another daemon, and ends it early.
    std::function<void(std::uint64_t, ForwardedRequest, ReplySink)> assist;
    std::function<void(std::uint64_t)> cancelAssist;
  };

  ForwardingLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport,
                 Callbacks callbacks);

  std::uint64_t forward(ForwardedRequest request, std::set<DaemonId> excluded,
                        ForwardingListener& listener) override;
  void cancel(std::uint64_t exchange) override;

 private:
  void open(std::uint64_t exchange, const ForwardedRequest& request,
            const std::set<DaemonId>& excluded);
  void receive(std::uint64_t exchange, std::string_view bytes);
  /// Calls the listener of an exchange on the traffic thread, unless it was cancelled.
  void notify(std::uint64_t exchange, std::function<void(ForwardingListener&)> call);
  void serve(const PeerStreamPtr& stream);
  void beginAssist(std::uint64_t assist, std::string_view message);
  void sendReply(std::uint64_t assist, const ForwardedReply& reply);

  EventLoop& traffic_;
  EventLoop& control_;
  PeerTransport& transport_;
  Callbacks callbacks_;

  // Traffic thread.
  std::map<std::uint64_t, ForwardingListener*> listeners_;
  std::uint64_t nextExchange_ = 1;

  // Control thread.
  std::map<std::uint64_t, PeerStreamPtr> streams_;
  /// Streams of other daemons' requests; the transport owns them.
  std::map<std::uint64_t, std::weak_ptr<PeerStream>> served_;
  std::uint64_t nextAssist_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_FORWARDINGLINK_H
