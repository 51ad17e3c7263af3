// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PeerJobs.h"

#include <algorithm>
#include <future>

#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobFactory.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobStarter.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/PeerMessages.h"
#include "Hallchute/src/Routing/Rendezvous.h"

namespace Hallchute {
namespace {

constexpr Millis kOfferLimit{1'000};
constexpr Millis kAttachLimit{600};
/// Peers that are asked for a request at once.
constexpr std::size_t kMaxAsked = 16;

/// What one attach() waits for.
struct Search {
  std::promise<JobPtr> found;
  std::size_t open = 0;
  bool decided = false;

  void decide(const JobPtr& job) {
    if (decided) return;
    decided = true;
    found.set_value(job);
  }
  void oneLess() {
    if (--open == 0) decide(nullptr);
  }
};

Refusal lostRefusal() {
  return {RefusalReason::upstreamFailed, "the daemon that runs it is gone; ask again",
          RunOutcome::unknown, Millis(500)};
}

/// Feeds what the peer sends into the job that mirrors it.
void onAttachReply(const AttachReplyMessage& reply, const JobPtr& mirror) {
  if (!reply.tokens.empty()) mirror->mirror(reply.tokens);
  if (reply.refusal) {
    mirror->refuse(*reply.refusal);
  } else if (reply.finished) {
    mirror->finish();
  }
}

}  // namespace

PeerJobs::PeerJobs(Control& control, TrafficContext& context, JobStarter& starter,
                   JobRecords& records)
    : control_(control), context_(context), starter_(starter), records_(records) {
  control_.transport().serve(PeerPath::kHandOver,
                             [this](const PeerStreamPtr& s) { serveHandOver(s); });
  control_.transport().serve(PeerPath::kAttach, [this](const PeerStreamPtr& s) { serveAttach(s); });
}

std::vector<PeerJobs::Peer> PeerJobs::peersFor(const RequestId& request) {
  std::vector<Member> others;
  control_.loop().call([&] { others = control_.membership().others(); });
  std::erase_if(others, [](const Member& m) { return m.status.state != MemberState::alive; });
  std::vector<DaemonId> ids;
  ids.reserve(others.size());
  for (const Member& member : others) ids.push_back(member.status.id);
  const std::vector<DaemonId> ranked = rankOwners(request.str(), ids);
  std::vector<Peer> peers;
  for (const bool home : {true, false}) {
    for (const DaemonId& id : ranked) {
      const auto it = std::find_if(others.begin(), others.end(),
                                   [&](const Member& m) { return m.status.id == id; });
      if ((it->status.domain == context_.domain) != home) continue;
      peers.push_back({id, it->status.address});
    }
  }
  if (peers.size() > kMaxAsked) peers.resize(kMaxAsked);
  return peers;
}

DaemonId PeerJobs::handOver(const HandOverRecord& record) {
  const std::string text = handOverText(record);
  for (const Peer& peer : peersFor(record.request)) {
    if (offer(peer, text)) return peer.id;
  }
  return {};
}

bool PeerJobs::offer(const Peer& peer, const std::string& record) {
  auto answer = std::make_shared<std::promise<bool>>();
  auto accepted = answer->get_future();
  auto decided = std::make_shared<bool>(false);
  const auto decide = [answer, decided](bool value) {
    if (*decided) return;
    *decided = true;
    answer->set_value(value);
  };
  control_.loop().post([this, peer, record, decide] {
    const PeerStreamPtr stream =
        control_.transport().open(peer.address, PeerPath::kHandOver, pack(HandOverMessage{record}));
    stream->onClosed = [decide] { decide(false); };
    stream->onMessage = [decide, weak = std::weak_ptr<PeerStream>(stream)](std::string_view bytes) {
      const auto reply = unpack<HandOverReplyMessage>(bytes);
      decide(reply && reply->accepted);
      if (const PeerStreamPtr open = weak.lock()) open->close();
    };
    control_.loop().after(kOfferLimit, [decide, stream] {
      decide(false);
      stream->close();
    });
  });
  return accepted.get();
}

void PeerJobs::serveHandOver(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    const auto message = unpack<HandOverMessage>(bytes);
    if (!open) return;
    HandOverReplyMessage reply;
    Findings findings;
    if (message) {
      const HandOverRecord record = parseHandOver(message->record, findings);
      const auto settings = context_.settings.get();
      const bool leaving = control_.membership().self().state != MemberState::alive;
      if (findings.empty() && !leaving) {
        if (context_.jobs.find(record.request) == nullptr) {
          const JobPtr job = makeJob(record, settings->tree, context_.domain);
          records_.scheduleTakeOver(job->spec().request);
          starter_.start(job);
        }
        reply.accepted = true;
      }
    }
    open->send(pack(reply));
    open->finish();
  };
}

JobPtr PeerJobs::attach(const RequestId& request, const OrganisationName& organisation) {
  const std::vector<Peer> peers = peersFor(request);
  if (peers.empty()) return nullptr;
  auto search = std::make_shared<Search>();
  auto found = search->found.get_future();
  search->open = peers.size();
  control_.loop().post([this, peers, search, request, organisation] {
    for (const Peer& peer : peers) {
      const PeerStreamPtr stream = control_.transport().open(
          peer.address, PeerPath::kAttach, pack(AttachMessage{request, organisation, 0}));
      auto mirror = std::make_shared<JobPtr>();
      stream->onClosed = [search, mirror] {
        if (*mirror) {
          const JobStage stage = (*mirror)->stage();
          const bool ended = stage == JobStage::finished || stage == JobStage::refused;
          if (!ended) (*mirror)->refuse(lostRefusal());
        } else {
          search->oneLess();
        }
      };
      stream->onMessage = [search, mirror, request, organisation,
                           weak = std::weak_ptr<PeerStream>(stream)](std::string_view bytes) {
        const PeerStreamPtr open = weak.lock();
        const auto reply = unpack<AttachReplyMessage>(bytes);
        if (!open) return;
        if (!*mirror && (!reply || !reply->found || search->decided)) {
          open->close();
          search->oneLess();
          return;
        }
        if (!*mirror) {
          JobSpec spec;
          spec.request = request;
          spec.organisation = organisation;
          spec.service = reply->service;
          spec.chat = reply->chat;
          *mirror = std::make_shared<Job>(spec);
          search->decide(*mirror);
        }
        if (reply) onAttachReply(*reply, *mirror);
        if (reply && (reply->finished || reply->refusal)) open->close();
      };
    }
    control_.loop().after(kAttachLimit, [search] { search->decide(nullptr); });
  });
  return found.get();
}

void PeerJobs::serveAttach(const PeerStreamPtr& stream) {
  const std::weak_ptr<PeerStream> weak = stream;
  stream->onMessage = [this, weak](std::string_view bytes) {
    const PeerStreamPtr open = weak.lock();
    const auto message = unpack<AttachMessage>(bytes);
    if (!open || !message) return;
    const JobPtr job = context_.jobs.find(message->request);
    const bool mayRead = job != nullptr && job->stage() != JobStage::handedOver &&
                         job->spec().organisation == message->organisation;
    if (!mayRead) {
      open->send(pack(AttachReplyMessage{}));
      open->finish();
      return;
    }
    auto sent = std::make_shared<std::size_t>(static_cast<std::size_t>(message->offset));
    // The listener lives in the job: it must not keep the job alive.
    const auto sendNew = [weak, sent, weakJob = std::weak_ptr<Job>(job)] {
      const PeerStreamPtr to = weak.lock();
      const JobPtr job = weakJob.lock();
      if (!job || !to || !to->isOpen()) return;
      const JobView view = job->view(*sent, Millis(0));
      AttachReplyMessage reply;
      reply.found = true;
      reply.chat = job->spec().chat;
      reply.service = job->spec().service;
      reply.tokens = view.tokens;
      *sent += view.tokens.size();
      reply.finished = view.stage == JobStage::finished;
      reply.refusal = view.refusal;
      if (view.stage == JobStage::handedOver) reply.refusal = lostRefusal();
      to->send(pack(reply));
      if (reply.finished || reply.refusal) to->finish();
    };
    job->addListener([this, sendNew] { control_.loop().post(sendNew); });
    sendNew();
  };
}

}  // namespace Hallchute
