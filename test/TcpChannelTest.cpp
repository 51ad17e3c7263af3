// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <memory>
#include <string>
#include <thread>

#include "Hallchute/src/Http/TcpChannel.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/HttpExchange.h"

namespace {

using namespace Hallchute;

constexpr Millis kLimit{200};
/// Connections of other programs, which share ports with ours, don't have it as their source.
constexpr const char* kOwnIp = "127.8.1.1";

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
  CPPUNIT_TEST(aCallerThatReadsLateGetsItsAnswer);
  CPPUNIT_TEST(aSourcePortCanBeListenedAt);
  CPPUNIT_TEST(aSourcePortInTimeWaitCanBeListenedAt);
  CPPUNIT_TEST(theSourcePortOfAnExchangeCanBeListenedAt);
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
    const bool refused = owner.channel->refused();
    stop(loop, thread, owner);
    CPPUNIT_ASSERT(owner.end == ChannelEnd::notConnected);
    CPPUNIT_ASSERT(refused);
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

  /// The kernel reset the connection of a caller that kept its window closed for 2.5 s.
  void aCallerThatReadsLateGetsItsAnswer() {
    constexpr std::size_t kBytes = 4U << 20U;
    constexpr std::chrono::milliseconds kUnread{4'000};
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket caller;
    caller.connectNB(listener.address());
    caller.setBlocking(true);
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    loop.call([&] {
      owner.channel = std::make_unique<TcpChannel>(loop, listener.acceptConnection(), owner);
      owner.channel->send(std::string(kBytes, 'x'));
    });
    std::this_thread::sleep_for(kUnread);
    std::size_t received = 0;
    char buffer[32'768];
    const int fd = caller.impl()->sockfd();
    while (received < kBytes) {
      const ssize_t got = ::recv(fd, buffer, sizeof buffer, 0);
      if (got <= 0) break;
      received += static_cast<std::size_t>(got);
    }
    stop(loop, thread, owner);
    CPPUNIT_ASSERT_EQUAL(kBytes, received);
  }

  /// An outgoing connection kept a daemon from starting whose listen port it had been given.
  void aSourcePortCanBeListenedAt() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress(kOwnIp, 0));
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    const Poco::Net::StreamSocket peer = connect(loop, owner, listener);
    const int error = listenError(peer.peerAddress());
    stop(loop, thread, owner);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::strerror(error), 0, error);
  }

  /// It went on for a minute after the connection's end.
  void aSourcePortInTimeWaitCanBeListenedAt() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress(kOwnIp, 0));
    EventLoop loop;
    Owner owner;
    std::thread thread([&] { loop.run(); });
    Poco::Net::StreamSocket peer = connect(loop, owner, listener);
    const Poco::Net::SocketAddress source = peer.peerAddress();
    // The side that closes first keeps the port.
    stop(loop, thread, owner);
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(0, peer.receiveBytes(&byte, 1));
    peer.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const int error = listenError(source);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::strerror(error), 0, error);
  }

  void theSourcePortOfAnExchangeCanBeListenedAt() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress(kOwnIp, 0));
    int error = -1;
    std::thread thread([&] {
      const Poco::Net::StreamSocket peer = listener.acceptConnection();
      error = listenError(peer.peerAddress());
    });
    HttpExchange exchange({listener.address().toString(), kOwnIp, kLimit, Millis(1'000)});
    exchange.run(HttpRequest{});
    thread.join();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::strerror(error), 0, error);
  }

 private:
  static Poco::Net::StreamSocket connect(EventLoop& loop, Owner& owner,
                                         Poco::Net::ServerSocket& listener) {
    loop.call([&] {
      owner.channel =
          std::make_unique<TcpChannel>(loop, listener.address().toString(), kOwnIp, kLimit, owner);
    });
    return listener.acceptConnection();
  }
  /// 0 if a socket with SO_REUSEADDR can listen at \p address, else the error.
  static int listenError(const Poco::Net::SocketAddress& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool listens = ::bind(fd, address.addr(), address.length()) == 0 && ::listen(fd, 1) == 0;
    const int error = listens ? 0 : errno;
    ::close(fd);
    return error;
  }
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
