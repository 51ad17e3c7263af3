// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <random>
#include <thread>

#include "Hallchute/Net"
#include "Hallchute/src/Net/PeerSession.h"
#include "UnusedAddress.h"

namespace {

using namespace Hallchute;

/// A loop on a thread of its own with a transport on it.
class Peer {
 public:
  explicit Peer(const std::string& secret)
      : address_(unusedAddress()),
        transport_(loop_, address_, secret),
        thread_([this] { loop_.run(); }) {}
  ~Peer() {
    loop_.stop();
    thread_.join();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  EventLoop& loop() { return loop_; }
  PeerTransport& transport() { return transport_; }
  const std::string& address() const { return address_; }

 private:
  std::string address_;
  EventLoop loop_;
  PeerTransport transport_;
  std::thread thread_;
};

/// Sends one message and returns what came first: the answer, or `closed`.
std::string ask(Peer& from, const std::string& address, const std::string& path,
                const std::string& message) {
  auto answer = std::make_shared<std::promise<std::string>>();
  auto result = answer->get_future();
  from.loop().post([&from, answer, address, path, message] {
    const PeerStreamPtr stream = from.transport().open(address, path, message);
    stream->onMessage = [answer, weak = std::weak_ptr<PeerStream>(stream)](std::string_view bytes) {
      answer->set_value(std::string(bytes));
      if (const auto open = weak.lock()) open->close();
    };
    stream->onClosed = [answer] { answer->set_value("closed"); };
  });
  return result.get();
}

void serveEcho(Peer& peer) {
  peer.loop().call([&peer] {
    peer.transport().serve("/echo", [](const PeerStreamPtr& stream) {
      stream->onMessage = [weak = std::weak_ptr<PeerStream>(stream)](std::string_view bytes) {
        if (const auto open = weak.lock()) open->send(bytes);
      };
    });
  });
}

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(messagesComeBackWhole);
  CPPUNIT_TEST(faultsCloseTheStream);
  CPPUNIT_TEST(aPeerThatGoesClosesItsStreamsOnce);
  CPPUNIT_TEST(garbageIsNoMessage);
  CPPUNIT_TEST(garbageOnTheConnectionHarmsNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void messagesComeBackWhole() {
    Peer a("secret");
    Peer b("secret");
    serveEcho(b);
    for (const std::size_t size :
         {std::size_t(0), std::size_t(1), std::size_t(70'000), std::size_t(3'000'000)}) {
      const std::string message(size, 'x');
      CPPUNIT_ASSERT(ask(a, b.address(), "/echo", message) == message);
    }
  }

  void faultsCloseTheStream() {
    Peer good("secret");
    Peer other("another");
    serveEcho(good);
    struct Case {
      Peer& from;
      std::string address;
      const char* path;
      std::size_t size;
    };
    const Case cases[] = {
        {other, good.address(), "/echo", 1},
        {good, good.address(), "/nothing", 1},
        {good, unusedAddress(), "/echo", 1},
        {good, good.address(), "/echo", PeerSession::kMaxMessageBytes + 1},
    };
    for (const Case& c : cases) {
      CPPUNIT_ASSERT_EQUAL(std::string("closed"),
                           ask(c.from, c.address, c.path, std::string(c.size, 'x')));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("x"), ask(good, good.address(), "/echo", "x"));
  }

  void aPeerThatGoesClosesItsStreamsOnce() {
    Peer a("secret");
    auto b = std::make_unique<Peer>("secret");
    serveEcho(*b);
    std::promise<void> opened;
    std::promise<void> closed;
    int closings = 0;
    a.loop().post([&] {
      const PeerStreamPtr stream = a.transport().open(b->address(), "/echo", "x");
      stream->onMessage = [&opened, stream](std::string_view) { opened.set_value(); };
      stream->onClosed = [&] {
        if (++closings == 1) closed.set_value();
      };
    });
    opened.get_future().get();
    b.reset();
    closed.get_future().get();
    a.loop().call([] {});
    CPPUNIT_ASSERT_EQUAL(1, closings);
  }

  void garbageIsNoMessage() {
    GrantRequestMessage message;
    message.shard = {ServiceName("s"), FailureDomainName("d"), 3};
    message.wanted.prefixHashes = {1, 2, 3};
    message.wanted.failedUpstreams = {UpstreamId("u")};
    message.remaining = Millis(250);
    const std::string bytes = pack(message);
    const auto read = unpack<GrantRequestMessage>(bytes);
    CPPUNIT_ASSERT(read && read->shard == message.shard && read->remaining == Millis(250));
    CPPUNIT_ASSERT(read->wanted.prefixHashes == message.wanted.prefixHashes);
    std::mt19937 random(3);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      CPPUNIT_ASSERT(!unpack<GrantRequestMessage>(bytes.substr(0, cut)));
    }
    for (int i = 0; i < 2'000; ++i) {
      std::string noise(random() % 64, '\0');
      for (char& c : noise) c = static_cast<char>(random());
      unpack<GrantRequestMessage>(noise);
      unpack<GossipMessage>(noise);
    }
    CPPUNIT_ASSERT(!unpack<GossipMessage>(bytes));
  }

  void garbageOnTheConnectionHarmsNobody() {
    Peer a("secret");
    Peer b("secret");
    serveEcho(b);
    for (const char* noise :
         {"GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnoise....", "\x01\x02\x03"}) {
      Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(b.address())};
      socket.sendBytes(noise, static_cast<int>(std::strlen(noise)));
      CPPUNIT_ASSERT_EQUAL(std::string("x"), ask(a, b.address(), "/echo", "x"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}  // namespace
