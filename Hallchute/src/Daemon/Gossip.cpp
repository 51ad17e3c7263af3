// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Gossip.h"

#include "Hallchute/src/Membership/Membership.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerMessages.h"
#include "Hallchute/src/Net/PeerTransport.h"

namespace Hallchute {
namespace {

constexpr Millis kTickInterval{50};
/// Unanswered probe streams are closed after this time.
constexpr Millis kProbeTimeout{1'500};
constexpr std::size_t kMaxAcknowledgedLeaves = 4'096;

}  // namespace

Gossip::Gossip(EventLoop& loop, PeerTransport& transport, Membership& membership,
               ActionHandler onAction)
    : loop_(loop), transport_(transport), membership_(membership), onAction_(std::move(onAction)) {
  transport_.serve(PeerPath::kProbe, [this](const PeerStreamPtr& stream) { serve(stream); });
}

void Gossip::start() {
  loop_.every(kTickInterval, [this] { perform(membership_.tick(clockNow())); });
}

void Gossip::perform(const std::vector<MembershipAction>& actions) {
  for (const MembershipAction& action : actions) {
    if (const auto* probe = std::get_if<SendProbe>(&action)) {
      sendProbe(*probe);
    } else {
      onAction_(action);
    }
  }
}

void Gossip::sendProbe(const SendProbe& probe) {
  const GossipMessage message = membership_.compose(clockNow());
  const PeerStreamPtr stream = transport_.open(probe.address, PeerPath::kProbe, pack(message));
  const std::weak_ptr<PeerStream> weakStream = stream;
  stream->onMessage = [this, weakStream, leaves = message.leaves](std::string_view bytes) {
    if (acknowledgedLeaves_.size() > kMaxAcknowledgedLeaves) acknowledgedLeaves_.clear();
    for (const LeaveAnnouncement& leave : leaves) acknowledgedLeaves_.insert(leave.upstream);
    const PeerStreamPtr openStream = weakStream.lock();
    if (openStream) openStream->close();
    if (const auto received = unpack<GossipMessage>(bytes)) {
      perform(membership_.receive(*received, clockNow()));
    }
  };
  stream->onClosed = [this, target = probe.target] {
    if (!target.empty()) perform(membership_.probeFailed(target, clockNow()));
  };
  loop_.after(kProbeTimeout, [stream] { stream->close(); });
}

void Gossip::serve(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weakStream = stream;
  stream->onMessage = [this, weakStream](std::string_view bytes) {
    const PeerStreamPtr openStream = weakStream.lock();
    if (!openStream) return;
    const auto received = unpack<GossipMessage>(bytes);
    if (!received) {
      openStream->close();
      return;
    }
    perform(membership_.receive(*received, clockNow()));
    openStream->send(pack(membership_.compose(clockNow(), received->known)));
    openStream->finish();
  };
}

}  // namespace Hallchute
