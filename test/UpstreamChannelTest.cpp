// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <memory>
#include <string>
#include <thread>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Upstream/AnswerMemory.h"
#include "Hallchute/src/Upstream/UpstreamChannel.h"

namespace {

using namespace Hallchute;

constexpr Millis kConnectLimit{500};
constexpr std::size_t kRequestSize = 256U << 10U;

class Listener final : public UpstreamListener {
 public:
  bool upstreamHead(const HttpHead&) override { return true; }
  HeldBytes upstreamBody(std::string_view) override { return {}; }
  void upstreamDone() override { done = true; }
  void upstreamFailed(ExchangeFailure failure) override {
    failedSent = failure != ExchangeFailure::notSent;
    unacknowledged = failure == ExchangeFailure::unacknowledged;
    failed = true;
  }

  std::atomic<bool> done{false};
  std::atomic<bool> failed{false};
  std::atomic<bool> failedSent{false};
  std::atomic<bool> unacknowledged{false};
};

/// An upstream's host that takes a little and no more.
class FullHost {
 public:
  FullHost() {
    server_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    server_.setReceiveBufferSize(4'096);
    server_.listen();
  }
  std::string address() const { return server_.address().toString(); }
  void accept() { peer_ = server_.acceptConnection(); }
  /// Reads until the other side ends. \returns the bytes, and the error in \p error.
  std::size_t drain(int& error) {
    peer_.setReceiveTimeout(Poco::Timespan(5, 0));
    char buffer[4'096];
    std::size_t all = 0;
    ssize_t got = 0;
    while ((got = ::recv(peer_.impl()->sockfd(), buffer, sizeof buffer, 0)) > 0) {
      all += static_cast<std::size_t>(got);
    }
    error = got < 0 ? errno : 0;
    return all;
  }

 private:
  Poco::Net::ServerSocket server_;
  Poco::Net::StreamSocket peer_;
};

class UpstreamChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamChannelTest);
  CPPUNIT_TEST(aRequestThatIsHeldUpIsResetAndNeverArrives);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// A request was sent into a cut on a kept connection; the kernel ended the connection, and the
  /// request reached the upstream 3.9 s later, when the cut had healed and the upstream was
  /// leaving.
  void aRequestThatIsHeldUpIsResetAndNeverArrives() {
    FullHost host;
    EventLoop loop;
    Listener listener;
    std::unique_ptr<UpstreamChannel> channel;
    std::thread thread([&] { loop.run(); });
    loop.call([&] {
      channel =
          std::make_unique<UpstreamChannel>(loop, host.address(), "127.0.0.1", kConnectLimit,
                                            std::make_shared<AnswerMemory>(loop, AnswerBounds{}));
      channel->start(std::string(kRequestSize, 'x'), false, listener);
    });
    host.accept();
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (!listener.failed && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const bool failed = listener.failed;
    loop.call([&] { channel.reset(); });
    loop.stop();
    thread.join();
    int error = 0;
    const std::size_t arrived = host.drain(error);
    CPPUNIT_ASSERT(failed);
    CPPUNIT_ASSERT(listener.failedSent);
    // The upstream may be well: its end isn't what was seen.
    CPPUNIT_ASSERT(listener.unacknowledged);
    CPPUNIT_ASSERT(!listener.done);
    CPPUNIT_ASSERT(arrived < kRequestSize);
    CPPUNIT_ASSERT_EQUAL(ECONNRESET, error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamChannelTest);

}  // namespace
