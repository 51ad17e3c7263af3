// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_FORWARDINGPAIR_H
#define HALLCHUTE_TEST_FORWARDINGPAIR_H

#include <cppunit/TestAssert.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/Net"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Node/ForwardingLink.h"
#include "ScriptedUpstream.h"
#include "UnusedAddress.h"

namespace Hallchute {

/// \brief A daemon's data path with the link to its peers.
class Node {
 public:
  Node()
      : address_(unusedAddress()),
        transport_(control_, address_, "secret"),
        thread_([this] { control_.run(); }) {
    control_.call([this] {
      link_.emplace(
          rig.loop(), control_, transport_,
          ForwardingLink::Callbacks{
              [this](const ForwardedRequest&, const std::set<DaemonId>& excluded) {
                return choose(excluded);
              },
              [this](std::uint64_t id, ForwardedRequest request, ForwardingLink::ReplySink reply) {
                rig.engine().assist(id, std::move(request), std::move(reply));
              },
              [this](std::uint64_t id) { rig.engine().cancelAssist(id); }});
    });
    rig.loop().call([this] { rig.engine().setForwarder(&*link_); });
  }
  ~Node() {
    control_.stop();
    thread_.join();
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  const std::string& address() const { return address_; }
  bool pathLost() {
    bool lost = false;
    rig.loop().call([&] { lost = rig.engine().paths().lost(ServiceName("s")); });
    return lost;
  }
  std::size_t crashes() {
    std::size_t count = 0;
    rig.loop().call([&] { count = rig.engine().crashes().report(false, clockNow()).size(); });
    return count;
  }

  /// Peer addresses in order of preference.
  std::vector<std::string> peers;

 private:
  std::optional<FleetMember> choose(const std::set<DaemonId>& excluded) const {
    for (const std::string& peer : peers) {
      if (!excluded.contains(DaemonId(peer))) return FleetMember(DaemonId(peer), peer, 1);
    }
    return std::nullopt;
  }

  std::string address_;
  EventLoop control_;
  PeerTransport transport_;
  std::optional<ForwardingLink> link_;

 public:
  GatewayRig rig;

 private:
  std::thread thread_;
};

/// \brief Takes requests of other daemons and ends before any reply.
class DyingPeer {
 public:
  DyingPeer() : transport_(control_, address_, "secret"), thread_([this] { control_.run(); }) {
    control_.call([this] {
      transport_.serve("/gateway/request", [](const PeerStreamPtr& stream) {
        stream->onMessage = [weak = std::weak_ptr(stream)](std::string_view) {
          if (const PeerStreamPtr open = weak.lock()) open->close();
        };
      });
    });
  }
  ~DyingPeer() {
    control_.stop();
    thread_.join();
  }
  DyingPeer(const DyingPeer&) = delete;
  DyingPeer& operator=(const DyingPeer&) = delete;
  const std::string& address() const { return address_; }

 private:
  std::string address_ = unusedAddress();
  EventLoop control_;
  PeerTransport transport_;
  std::thread thread_;
};

/// \brief A daemon that can't reach two upstreams, and another that can.
class CutPair {
 public:
  CutPair(WorkKind kind, const UpstreamScript& first, const UpstreamScript& second)
      : firstUpstream({first}), secondUpstream({second}) {
    Route route = plainRoute(kind);
    route.resumable = kind == WorkKind::stream;
    route.maxRuns = 3;
    for (Node* node : {&origin, &helper}) node->rig.setSettings(settingsWith(route));
    origin.rig.setUpstreams(
        {upstreamAt("i-1", unusedAddress()), upstreamAt("i-2", unusedAddress())});
    helper.rig.setUpstreams(
        {upstreamAt("i-1", firstUpstream.address()), upstreamAt("i-2", secondUpstream.address())});
    // Two refused connections show that the path is lost.
    CPPUNIT_ASSERT(ask().find("HTTP/1.1 503") == 0);
    CPPUNIT_ASSERT(origin.pathLost());
    origin.peers = {helper.address()};
  }

  std::string ask(const std::string& fields = "", const std::string& until = "\r\n\r\n") {
    RawCaller caller(origin.rig.address());
    caller.send(requestText("POST", fields, "body"));
    return caller.read(until);
  }
  std::size_t arrivals() const {
    return firstUpstream.requests().size() + secondUpstream.requests().size();
  }

  ScriptedUpstream firstUpstream;
  ScriptedUpstream secondUpstream;
  DyingPeer dying;
  Node origin;
  Node helper;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_FORWARDINGPAIR_H
