// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/HttpExchange.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform/ObjectStore.h"

namespace {

using namespace Hallchute;

constexpr Millis kConnectTimeout{1'000};
constexpr Millis kAnswerTimeout{400};
constexpr std::size_t kMaxRequestBytes = 16'384;

/// Answers one connection with given bytes, in pieces, and closes it.
class OneAnswer {
 public:
  explicit OneAnswer(std::vector<std::string> pieces) : pieces_(std::move(pieces)) {
    listener_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), false);
    listener_.listen();
    thread_ = std::thread([this] { serve(); });
  }
  ~OneAnswer() { thread_.join(); }
  OneAnswer(const OneAnswer&) = delete;
  OneAnswer& operator=(const OneAnswer&) = delete;

  std::string address() const { return listener_.address().toString(); }

 private:
  void serve() {
    Poco::Net::StreamSocket peer = listener_.acceptConnection();
    peer.setNoDelay(true);
    peer.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string request;
    char buffer[1'024];
    while (request.find("\r\n\r\n") == std::string::npos && request.size() < kMaxRequestBytes) {
      const int got = peer.receiveBytes(buffer, sizeof buffer);
      if (got <= 0) return;
      request.append(buffer, static_cast<std::size_t>(got));
    }
    try {
      for (const std::string& piece : pieces_) {
        peer.sendBytes(piece.data(), static_cast<int>(piece.size()));
        std::this_thread::sleep_for(Millis(5));
      }
      peer.shutdownSend();
    } catch (const Poco::Exception&) {
      // The client has seen enough.
    }
  }

  std::vector<std::string> pieces_;
  Poco::Net::ServerSocket listener_;
  std::thread thread_;
};

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

HttpResult exchangeWith(const OneAnswer& server) {
  HttpExchange exchange({server.address(), "127.0.0.1", kConnectTimeout, kAnswerTimeout});
  HttpRequest call;
  call.target = "/objects/config";
  return exchange.run(call);
}

std::string describe(const HttpResult& result) {
  if (const auto* answer = std::get_if<HttpResponse>(&result)) {
    return std::to_string(answer->status) + " " + answer->body;
  }
  if (std::holds_alternative<HttpNeverSent>(result)) return "never sent";
  return "not complete";
}

class HttpExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpExchangeTest);
  CPPUNIT_TEST(chunkedAnswersAreReadWhole);
  CPPUNIT_TEST(cutOrFaultyAnswersAreNotComplete);
  CPPUNIT_TEST(anEndWithoutALengthIsNotComplete);
  CPPUNIT_TEST(aSilentChunkedAnswerTimesOut);
  CPPUNIT_TEST(theStoreMayAnswerChunked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void chunkedAnswersAreReadWhole() {
    const std::string longText(70'000, 'x');
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases{
        {{kChunkedHead, "5\r\nhello\r\n", "0\r\n\r\n"}, "200 hello"},
        {{kChunkedHead + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"}, "200 hello world"},
        // Pieces that end within a size, a line's end and a chunk.
        {{kChunkedHead, "0000", "5\r", "\nhel", "lo\r", "\n0", "\r\n\r", "\n"}, "200 hello"},
        {{kChunkedHead, "5;name=\"value\"\r\nhello\r\n", "0;last\r\nTrailer: t\r\n\r\n"},
         "200 hello"},
        {{kChunkedHead, "A\r\n0123456789\r\nb\r\n0123456789a\r\n", "000\r\n\r\n"},
         "200 01234567890123456789a"},
        {{kChunkedHead, "0\r\n\r\n"}, "200 "},
        {{kChunkedHead, "11170\r\n" + longText + "\r\n0\r\n\r\n"}, "200 " + longText},
        // A Content-Length beside it is overridden (RFC 9112, 6.3).
        {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: Chunked\r\n\r\n",
          "5\r\nhello\r\n0\r\n\r\n"},
         "200 hello"},
        {{"HTTP/1.1 410 Gone\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n!\r\n0\r\n\r\n"},
         "410 !"},
        {{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "hello"}, "200 hello"},
    };
    for (const auto& [pieces, expected] : cases) {
      const OneAnswer server(pieces);
      CPPUNIT_ASSERT_EQUAL(expected, describe(exchangeWith(server)));
    }
  }

  void cutOrFaultyAnswersAreNotComplete() {
    const std::vector<std::vector<std::string>> cases{
        {kChunkedHead},
        {kChunkedHead, "5\r\nhel"},
        {kChunkedHead, "5\r\nhello"},
        {kChunkedHead, "5\r\nhello\r\n"},
        {kChunkedHead, "5\r\nhello\r\n0"},
        {kChunkedHead, "5\r\nhello\r\n0\r\n"},
        {kChunkedHead, "5\r\nhello\r\n0\r\nTrailer: t\r\n"},
        // Faulty sizes and frames.
        {kChunkedHead, "x\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "5\r\nhello\r\n\r\n0\r\n\r\n"},
        {kChunkedHead, "-5\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "5\r\nhelloAB0\r\n\r\n"},
        {kChunkedHead, "4\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "5 5\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "0x5\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "10000000000000005\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "100000005\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "5;" + std::string(100'000, 'x') + "\r\nhello\r\n0\r\n\r\n"},
        {kChunkedHead, "5\r\nhello\r\n0\r\nT: " + std::string(100'000, 'x') + "\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n", "hello"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\n", "hello"},
        {"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", "hello"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "hello"},
        {"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n", "hello"},
    };
    for (const std::vector<std::string>& pieces : cases) {
      const OneAnswer server(pieces);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(pieces.back().substr(0, 80), std::string("not complete"),
                                   describe(exchangeWith(server)));
    }
  }

  /// A cut can't be told from the end of such an answer.
  void anEndWithoutALengthIsNotComplete() {
    const OneAnswer server({"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"});
    const HttpResult result = exchangeWith(server);
    CPPUNIT_ASSERT_EQUAL(std::string("not complete"), describe(result));
    const std::string& detail = std::get<HttpMaybeSent>(result).detail;
    CPPUNIT_ASSERT_MESSAGE(detail, detail.find("Content-Length") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(detail, detail.find("chunked") != std::string::npos);
  }

  void aSilentChunkedAnswerTimesOut() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::thread thread([&] {
      Poco::Net::StreamSocket peer = listener.acceptConnection();
      const std::string begun = kChunkedHead + "5\r\nhel";
      peer.sendBytes(begun.data(), static_cast<int>(begun.size()));
      // Until the client gives up.
      char buffer[1'024];
      try {
        while (peer.receiveBytes(buffer, sizeof buffer) > 0) {
        }
      } catch (const Poco::Exception&) {
      }
    });
    HttpResult result;
    {
      HttpExchange exchange(
          {listener.address().toString(), "127.0.0.1", kConnectTimeout, kAnswerTimeout});
      result = exchange.run(HttpRequest{});
    }
    thread.join();
    CPPUNIT_ASSERT_EQUAL(std::string("not complete"), describe(result));
    CPPUNIT_ASSERT(std::get<HttpMaybeSent>(result).timedOut);
  }

  /// A daemon never got its settings from such a store, and served nothing.
  void theStoreMayAnswerChunked() {
    const std::string page = R"({"as-of":7,"items":[{"metadata":{"name":"main","rev":3}}]})";
    char size[16];
    std::snprintf(size, sizeof size, "%zx", page.size());
    const OneAnswer server({kChunkedHead, size, "\r\n" + page + "\r\n", "0\r\n\r\n"});
    const ObjectStore store(server.address(), "127.0.0.1");
    const absl::StatusOr<SourceBatch> batch = store.list("config", ReadConsistency::latest);
    CPPUNIT_ASSERT_MESSAGE(batch.status().ToString(), batch.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, batch->asOf);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch->objects.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpExchangeTest);

}  // namespace
