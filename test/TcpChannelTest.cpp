// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <memory>
#include <string>
#include <thread>

#include "Hallchute/src/Http/TcpChannel.h"
#include "Hallchute/src/Net/EventLoop.h"

namespace {

using namespace Hallchute;

constexpr Millis kLimit{200};

/// Records the callbacks, and aborts its channel when that ends.
class Owner final : public TcpChannelOwner {
 public:
  void onChannelBytes(std::string_view bytes) override { received += bytes; }
  void onChannelEnded(ChannelEnd how) override {
    end = how;
    channel->abort();
    ended = true;
  }

  std::unique_ptr<TcpChannel> channel;
  std::string received;
  ChannelEnd end = ChannelEnd::broken;
  std::atomic<bool> ended{false};
};

class TcpChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TcpChannelTest);
  CPPUNIT_TEST(anAbortResetsEvenAfterTheOtherSideFinished);
  CPPUNIT_TEST(nothingIsSentWhereNobodyListens);
  CPPUNIT_TEST(whatAPeerHasNoRoomForIsNotAcknowledged);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A plain close would leave bytes under way to be delivered after a cut has healed.
  void anAbortResetsEvenAfterTheOtherSideFinished() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    loop.call([&] {
      owner.channel = std::make_unique<TcpChannel>(loop, listener.address().toString(), "127.0.0.1",
                                                   kLimit, owner);
      owner.channel->send("hello");
    });
    Poco::Net::StreamSocket peer = listener.acceptConnection();
    char buffer[16];
    CPPUNIT_ASSERT_EQUAL(5, peer.receiveBytes(buffer, sizeof buffer));
    peer.shutdownSend();
    peer.setReceiveTimeout(Poco::Timespan(5, 0));
    awaitEnd(owner);
    CPPUNIT_ASSERT(owner.end == ChannelEnd::peerClosed);
    const ssize_t got = ::recv(peer.impl()->sockfd(), buffer, sizeof buffer, 0);
    const int error = errno;
    stop(loop, thread, owner);
    CPPUNIT_ASSERT_EQUAL(ssize_t{-1}, got);
    CPPUNIT_ASSERT_EQUAL(ECONNRESET, error);
  }

  void nothingIsSentWhereNobodyListens() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string address = listener.address().toString();
    listener.close();
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    loop.call([&] {
      owner.channel = std::make_unique<TcpChannel>(loop, address, "127.0.0.1", kLimit, owner);
      owner.channel->send("hello");
    });
    awaitEnd(owner);
    const std::uint64_t sent = owner.channel->sentBytes();
    stop(loop, thread, owner);
    CPPUNIT_ASSERT(owner.end == ChannelEnd::notConnected);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sent);
  }

  /// The kernel takes bytes that the other side has no room for; only their acknowledgement shows
  /// that they arrived.
  void whatAPeerHasNoRoomForIsNotAcknowledged() {
    Poco::Net::ServerSocket listener;
    listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    listener.setReceiveBufferSize(4'096);
    listener.listen();
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    loop.call([&] {
      owner.channel = std::make_unique<TcpChannel>(loop, listener.address().toString(), "127.0.0.1",
                                                   kLimit, owner);
      owner.channel->send("hello");
    });
    Poco::Net::StreamSocket peer = listener.acceptConnection();
    const bool small = awaitAcknowledged(loop, owner);
    bool full = true;
    std::size_t unsent = 1;
    loop.call([&] {
      owner.channel->send(std::string(32'768, 'x'));
      full = owner.channel->acknowledged();
      unsent = owner.channel->unsent();
    });
    char buffer[4'096];
    for (int got = 0; got < 32'773;) got += peer.receiveBytes(buffer, sizeof buffer);
    const bool emptied = awaitAcknowledged(loop, owner);
    stop(loop, thread, owner);
    CPPUNIT_ASSERT(small);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsent);
    CPPUNIT_ASSERT(!full);
    CPPUNIT_ASSERT(emptied);
  }

 private:
  static bool awaitAcknowledged(EventLoop& loop, const Owner& owner) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    bool acknowledged = false;
    while (!acknowledged && std::chrono::steady_clock::now() < limit) {
      loop.call([&] { acknowledged = owner.channel->acknowledged(); });
    }
    return acknowledged;
  }
  /// If the end of a channel is not reported, the test would wait for ever.
  static void awaitEnd(const Owner& owner) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!owner.ended && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  static void stop(EventLoop& loop, std::thread& thread, Owner& owner) {
    loop.call([&] { owner.channel.reset(); });
    loop.stop();
    thread.join();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TcpChannelTest);

}  // namespace
