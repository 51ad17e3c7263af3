// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <memory>
#include <string>
#include <thread>

#include "Hallchute/src/Http/HttpReader.h"
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
  CPPUNIT_TEST(onlyTheHeadHoldsFields);
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

  /// The fields of a trailer were added to the head if they came in one piece with it: a trailer
  /// could state that a request had not run.
  void onlyTheHeadHoldsFields() {
    const std::string head = "HTTP/1.1 503 X\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = "2\r\nok\r\n0\r\nA: 2\r\nB: 1\r\nHost: i\r\n\r\n";
    for (const bool isRequest : {false, true}) {
      for (const std::size_t pieces : std::array<std::size_t, 2>{1, 1'000}) {
        HttpReader reader(isRequest ? HttpMessageType::requests : HttpMessageType::responses, {});
        const std::string text = (isRequest ? request : head) + body;
        const std::size_t step = text.size() / pieces + 1;
        std::string input;
        HttpProgress progress = HttpProgress::needsMore;
        for (std::size_t i = 0; i < text.size(); i += step) {
          input += text.substr(i, step);
          progress = reader.read(input);
        }
        CPPUNIT_ASSERT(progress == HttpProgress::complete);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), reader.takeBody());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reader.head().fields.count("A"));
        CPPUNIT_ASSERT(!reader.head().fields.has("B"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{isRequest ? 1U : 0U}, reader.head().fields.count("Host"));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamChannelTest);

}  // namespace
