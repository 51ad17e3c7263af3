// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Hallchute/src/Net/PeerSession.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/ReplicaStandin.h"
#include "standin/StandinServer.h"
#include "test/ClientCrowd.h"
#include "test/GatewayProcess.h"
#include "test/GatewayRig.h"
#include "test/MemoryWatch.h"

namespace {

using Hallchute::RawCaller;
using std::chrono::milliseconds;
using TestSupport::ClientCrowd;
using TestSupport::ClientScript;
using TestSupport::MemoryWatch;

/// The smallest machine of any deployment.
constexpr std::size_t kMachineBytes = std::size_t{120} << 20U;
constexpr std::size_t kBodyLimit = std::size_t{1} << 20U;
constexpr std::size_t kDescriptors = 640;
/// Fewer than the places that so many descriptors give.
constexpr std::size_t kClients = 160;
/// Places for callers are few with so many.
constexpr std::size_t kFewDescriptors = 200;
/// How long a request runs, so that many large ones are in progress at the same time.
constexpr milliseconds kWorkTime{300};
constexpr milliseconds kStartLimit{10'000};
/// An ordinary caller tries again after a refusal.
constexpr int kAttempts = 25;
constexpr milliseconds kAttemptPause{200};

const std::string kHead =
    "POST /s/x HTTP/1.1\r\nHost: h.example\r\nHallchute-Attempt-Id: crowd\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string announced(std::size_t bytes) {
  return kHead + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string chunkOf(std::size_t bytes) {
  std::ostringstream size;
  size << std::hex << bytes;
  return size.str() + "\r\n" + std::string(bytes, 'a') + "\r\n";
}

std::string repeated(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t i = 0; i < times; ++i) all += text;
  return all;
}

int portOf(const std::string& address) {
  return Poco::Net::SocketAddress(address).port();
}

/// A real gateway process on the smallest machine, with a store and a replica.
class CrowdRig {
 public:
  explicit CrowdRig(const std::string& ip, std::size_t descriptors = kDescriptors) : gateway(ip) {
    put("config", "main",
        R"({"version":1,"services":[{"name":"s","max-connections":600}],
            "routes":[{"name":"r","host":"h.example","path-prefix":"/s/","kind":"unsafe",
              "timeout-ms":8000,"target-latency-ms":1000,"priority":0,"service":"s",
              "max-attempts":1,"public":true}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":)" +
            std::to_string(kBodyLimit) + R"(,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    put("servers", replica_.id(),
        R"({"service":"s","zone":"domain","version":"1","slots":512,"state":"ready",
            "cold-remaining-ms":0,"sequence":1,"address":")" +
            replica_.address() + "\"}");
    gateway.store = storeServer_.address();
    gateway.descriptors = descriptors;
    gateway.memoryMb = kMachineBytes >> 20U;
    gateway.start();
    CPPUNIT_ASSERT_MESSAGE(gateway.output(), gateway.answers(kStartLimit));
    CPPUNIT_ASSERT_MESSAGE("the largest request, in calm", serves(kBodyLimit));
  }

  /// Whether a request with so large a body is answered.
  bool serves(std::size_t bytes) const {
    for (int i = 0; i < kAttempts; ++i) {
      RawCaller caller(gateway.callers);
      caller.send(announced(bytes) + std::string(bytes, 'a'));
      if (caller.read("\r\n\r\n").starts_with("HTTP/1.1 200")) return true;
      std::this_thread::sleep_for(kAttemptPause);
    }
    return false;
  }

  /// Lets a crowd of clients loose on \p address and checks what must hold during it and after.
  void expectBounded(const std::string& address, std::size_t clients, ClientScript script) {
    expectBounded([&] {
      ClientCrowd crowd(address, clients, std::move(script));
      crowd.awaitSent();
      CPPUNIT_ASSERT_MESSAGE("an ordinary request, beside the crowd", serves(1'000));
    });
  }

  template <typename Crowd>
  void expectBounded(const Crowd& crowd) {
    const MemoryWatch watch(gateway.process().id(),
                            {portOf(gateway.callers), portOf(gateway.readiness),
                             portOf(gateway.peers), portOf(gateway.metrics)});
    crowd();
    CPPUNIT_ASSERT_MESSAGE("ended: " + gateway.output(), gateway.process().running());
    const std::size_t peak = watch.peakBytes();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak >> 20U) + " MiB", peak <= kMachineBytes);
    CPPUNIT_ASSERT(watch.peakDescriptors() < gateway.descriptors);
    CPPUNIT_ASSERT_MESSAGE("the largest request, after the crowd", serves(kBodyLimit));
  }

  TestSupport::GatewayProcess gateway;

 private:
  void put(const std::string& kind, const std::string& name, const std::string& text) {
    store_.put(kind, name, Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>());
  }

  Standin::ReplicaStandin replica_{"i-1", kWorkTime};
  Standin::ObjectStoreStandin store_;
  Standin::StandinServer storeServer_{
      "127.0.0.1:0",
      [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
        store_.handle(request, response);
      }};
};

/// A connection of a daemon that sends all but the end of one large message.
class UnfinishedPeer {
 public:
  UnfinishedPeer(const std::string& address, const std::string& secret)
      : session_(Hallchute::PeerSession::Role::client, secret, ignoredEvents()),
        socket_(Poco::Net::SocketAddress(address)) {
    socket_.setBlocking(false);
    session_.send(session_.open("/gateway/request"), std::string(kMessageBytes, 'a'));
  }

  /// Returns whether it has more to send.
  bool takeTurn() {
    std::array<char, 16'384> buffer;
    const ssize_t got = ::recv(fd(), buffer.data(), buffer.size(), 0);
    if (got > 0) session_.receive({buffer.data(), static_cast<std::size_t>(got)});
    out_ += session_.takeOutput();
    const std::size_t allowed = std::min(out_.size(), kMessageBytes - sent_);
    const ssize_t put = ::send(fd(), out_.data(), allowed, MSG_NOSIGNAL);
    if (put > 0) sent_ += static_cast<std::size_t>(put);
    if (put > 0) out_.erase(0, static_cast<std::size_t>(put));
    return got != 0 && sent_ < kMessageBytes && std::chrono::steady_clock::now() < end_;
  }

 private:
  static constexpr std::size_t kMessageBytes = std::size_t{4} << 20U;

  static Hallchute::PeerSession::Events ignoredEvents() {
    return {[](std::int32_t, const std::string&) {}, [](std::int32_t, const std::string&) {},
            [](std::int32_t) {}};
  }
  int fd() const { return socket_.impl()->sockfd(); }

  Hallchute::PeerSession session_;
  Poco::Net::StreamSocket socket_;
  std::string out_;
  std::size_t sent_ = 0;
  /// A stream that was reset sends no more.
  std::chrono::steady_clock::time_point end_ = std::chrono::steady_clock::now() + kStartLimit;
};

/// Guards against clients that don't behave: what was held of their requests ended the process, or
/// kept all others out.
class ClientCrowdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientCrowdTest);
  CPPUNIT_TEST(largeChunksStopJustShort);
  CPPUNIT_TEST(smallChunksStopJustShort);
  CPPUNIT_TEST(announcedBodiesStopJustShort);
  CPPUNIT_TEST(wholeBodiesComeAtOnce);
  CPPUNIT_TEST(bodiesFarOverTheLimitAreAnnounced);
  CPPUNIT_TEST(bodiesFarOverTheLimitAreSent);
  CPPUNIT_TEST(largeBodiesTrickle);
  CPPUNIT_TEST(slowClientsTakeAllPlaces);
  CPPUNIT_TEST(silentClientsTakeAllPlaces);
  CPPUNIT_TEST(requestsArePipelined);
  CPPUNIT_TEST(largeRequestsArePipelined);
  CPPUNIT_TEST(headsHaveManyFields);
  CPPUNIT_TEST(pagesGetBodies);
  CPPUNIT_TEST(peersLeaveMessagesUnfinished);
  CPPUNIT_TEST(strangersTakeThePeersPlaces);
  CPPUNIT_TEST_SUITE_END();

 public:
  void largeChunksStopJustShort() {
    expectBounded("127.12.0.1", {kChunked, chunkOf(65'536), 15, chunkOf(65'535)});
  }

  void smallChunksStopJustShort() {
    expectBounded("127.12.0.2", {kChunked, repeated(chunkOf(16), 64), 1'023, chunkOf(1'000)});
  }

  /// Piece by piece.
  void announcedBodiesStopJustShort() {
    const std::string piece(16'384, 'a');
    expectBounded("127.12.0.3", {announced(kBodyLimit), piece, 63, std::string(16'383, 'a')});
  }

  void wholeBodiesComeAtOnce() {
    expectBounded("127.12.0.4", {announced(kBodyLimit), std::string(kBodyLimit, 'a'), 1});
  }

  void bodiesFarOverTheLimitAreAnnounced() {
    expectBounded("127.12.0.5", {announced(50 * kBodyLimit), std::string(65'536, 'a'), 800});
  }

  void bodiesFarOverTheLimitAreSent() {
    expectBounded("127.12.0.6", {kChunked, chunkOf(65'536), 64});
  }

  void largeBodiesTrickle() {
    expectBounded("127.12.0.7",
                  {announced(kBodyLimit), std::string(kBodyLimit - 10'000, 'a'), 1, "", "a"});
  }

  void slowClientsTakeAllPlaces() {
    CrowdRig rig("127.12.0.8", kFewDescriptors);
    rig.expectBounded(rig.gateway.callers, kClients, {announced(20'000), "", 0, "a", "a"});
  }

  void silentClientsTakeAllPlaces() {
    CrowdRig rig("127.12.0.9", kFewDescriptors);
    rig.expectBounded(rig.gateway.callers, kClients, {""});
  }

  void requestsArePipelined() {
    const std::string request = "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n";
    expectBounded("127.12.0.10", {repeated(request, 400), repeated(request, 400), 9});
  }

  void largeRequestsArePipelined() {
    const std::string request = announced(200'000) + std::string(200'000, 'a');
    expectBounded("127.12.0.15", {request + request, request, 6});
  }

  void headsHaveManyFields() {
    expectBounded("127.12.0.11",
                  {kHead + repeated("a:\r\n", 4'000) + "Content-Length: 5\r\n\r\n1", "2345", 1});
  }

  void pagesGetBodies() {
    const ClientScript script{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n",
                              std::string(65'536, 'a'), 61};
    CrowdRig rig("127.12.0.12");
    rig.expectBounded(rig.gateway.readiness, kClients, script);
    rig.expectBounded(rig.gateway.metrics, kClients, script);
  }

  void peersLeaveMessagesUnfinished() {
    CrowdRig rig("127.12.0.13");
    rig.expectBounded([&] {
      std::vector<std::unique_ptr<UnfinishedPeer>> peers;
      constexpr std::size_t kPeers = 40;
      peers.reserve(kPeers);
      while (peers.size() < kPeers) {
        peers.push_back(std::make_unique<UnfinishedPeer>(rig.gateway.peers, rig.gateway.store));
      }
      bool sending = true;
      while (sending) {
        sending = false;
        for (const auto& peer : peers) sending = peer->takeTurn() || sending;
      }
      CPPUNIT_ASSERT_MESSAGE("an ordinary request, beside the peers", rig.serves(1'000));
    });
  }

  void strangersTakeThePeersPlaces() {
    CrowdRig rig("127.12.0.14", kFewDescriptors);
    rig.expectBounded(rig.gateway.peers, kFewDescriptors, {""});
  }

 private:
  static void expectBounded(const std::string& ip, ClientScript script) {
    CrowdRig rig(ip);
    rig.expectBounded(rig.gateway.callers, kClients, std::move(script));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientCrowdTest);

}  // namespace
