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

constexpr Millis kTick{50};
/// Probe streams that were never answered are closed after this.
constexpr Millis kProbeLimit{1'500};
constexpr std::size_t kSpreadRemembered = 4'096;

}  // namespace

Gossip::Gossip(EventLoop& loop, PeerTransport& transport, Membership& membership, Sink sink)
    : loop_(loop), transport_(transport), membership_(membership), sink_(std::move(sink)) {
  transport_.serve(PeerPath::kProbe, [this](const PeerStreamPtr& stream) { serve(stream); });
}

void Gossip::start() {
  loop_.every(kTick, [this] { perform(membership_.tick(clockNow())); });
}

void Gossip::perform(const std::vector<MembershipAction>& actions) {
  for (const MembershipAction& action : actions) {
    if (const auto* probe = std::get_if<SendProbe>(&action)) {
      sendProbe(*probe);
    } else {
      sink_(action);
    }
  }
}

void Gossip::sendProbe(const SendProbe& probe) {
  const GossipMessage sent = membership_.compose(clockNow());
  const PeerStreamPtr stream = transport_.open(probe.address, PeerPath::kProbe, pack(sent));
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak, leaves = sent.leaves](std::string_view bytes) {
    if (spread_.size() > kSpreadRemembered) spread_.clear();
    for (const LeaveAnnouncement& leave : leaves) spread_.insert(leave.upstream);
    const PeerStreamPtr open = weak.lock();
    if (open) open->close();
    if (const auto batch = unpack<GossipMessage>(bytes)) {
      perform(membership_.receive(*batch, clockNow()));
    }
  };
  stream->onClosed = [this, target = probe.target] {
    if (!target.empty()) perform(membership_.probeFailed(target, clockNow()));
  };
  loop_.after(kProbeLimit, [stream] { stream->close(); });
}

void Gossip::serve(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    if (!open) return;
    const auto batch = unpack<GossipMessage>(bytes);
    if (!batch) {
      open->close();
      return;
    }
    perform(membership_.receive(*batch, clockNow()));
    open->send(pack(membership_.compose(clockNow(), batch->known)));
    open->finish();
  };
}

}  // namespace Hallchute
