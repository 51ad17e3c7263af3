// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_ORIGINLINK_H
#define HALLCHUTE_NODE_ORIGINLINK_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Net/PeerStream.h"
#include "Hallchute/src/Traffic/OriginExchange.h"

namespace Hallchute {

class EventLoop;
class PeerTransport;

/// \brief Carries the origins of streams between daemons. \ingroup Node
///
/// What is told goes out on one stream per peer; each question has a stream of its own. Streams
/// belong to the control thread, callers to the traffic thread.
class OriginLink final : public OriginExchange {
 public:
  using PeerReplySink = std::function<void(const StreamOriginReply&)>;
  struct Callbacks {
    /// Control thread: the daemons that are told, or asked, of a stream.
    std::function<std::vector<FleetMember>(StreamKey)> holders;
    std::function<std::vector<FleetMember>(StreamKey)> holdersToAsk;
    /// Traffic thread: takes what another daemon tells, and replies to its questions.
    std::function<void(std::span<const StreamOrigin>)> merge;
    std::function<void(StreamKey, const ServiceName&, PeerReplySink)> reply;
  };

  OriginLink(EventLoop& traffic, EventLoop& control, PeerTransport& transport, Callbacks callbacks);

  void tell(std::vector<StreamOrigin> origins) override;
  void ask(StreamKey stream, const ServiceName& service, ReplySink onReply) override;

 private:
  /// A question to several daemons.
  struct Question {
    std::vector<PeerStreamPtr> streams;
    std::size_t pending = 0;
    bool archiveRead = false;
    ReplySink onReply;
    std::uint64_t timer = 0;
  };

  void send(const std::vector<StreamOrigin>& origins);
  void open(StreamKey stream, const ServiceName& service, ReplySink onReply);
  void receive(std::uint64_t question, const StreamOriginReply& reply);
  void finish(std::uint64_t question, const StreamOriginReply& reply);
  void serveTold(const PeerStreamPtr& stream);
  void serveQuestion(const PeerStreamPtr& stream);

  EventLoop& traffic_;
  EventLoop& control_;
  PeerTransport& transport_;
  Callbacks callbacks_;

  // Control thread.
  /// Streams to the daemons that were told something, by address.
  std::map<std::string, PeerStreamPtr> streams_;
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t nextQuestion_ = 1;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_ORIGINLINK_H
