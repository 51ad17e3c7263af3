// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include "Hallchute/Net"
#include "Hallchute/Recovery"
#include "Hallchute/Upstream"
#include "standin/EngineStandin.h"
#include "standin/PlainStandin.h"
#include "standin/TokenFunction.h"

namespace {

using namespace Hallchute;

constexpr Millis kConnect{300};
constexpr Millis kStall{300};

/// Answers every connection with the same bytes, then closes it. Counts connections.
class RawServer {
 public:
  RawServer(std::string reply, bool hold) : reply_(std::move(reply)), hold_(hold) {
    socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    socket_.listen();
    address_ = socket_.address().toString();
    thread_ = std::thread([this] { serve(); });
  }
  ~RawServer() {
    stopping_ = true;
    Poco::Net::StreamSocket wake{Poco::Net::SocketAddress(address_)};
    thread_.join();
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  const std::string& address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void serve() {
    std::vector<Poco::Net::StreamSocket> held;
    for (;;) {
      Poco::Net::StreamSocket peer = socket_.acceptConnection();
      if (stopping_) return;
      ++connections_;
      char buffer[4096];
      peer.receiveBytes(buffer, sizeof buffer);
      if (!reply_.empty()) peer.sendBytes(reply_.data(), static_cast<int>(reply_.size()));
      if (hold_) held.push_back(peer);
    }
  }

  std::string reply_;
  bool hold_;
  std::string address_;
  Poco::Net::ServerSocket socket_;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

std::string wordOf(const PlainResult& result) {
  if (const auto* answer = std::get_if<PlainResponse>(&result)) {
    return answer->leaving ? "leaving" : "answer";
  }
  return std::holds_alternative<PlainNeverSent>(result) ? "never-sent" : "maybe-sent";
}

std::string wordOf(StreamEnd end) {
  constexpr const char* kWords[] = {"stopped", "connect-failed", "refused", "leaving", "broke"};
  return kWords[static_cast<std::size_t>(end)];
}

/// An engine stand-in in this process.
class Engine {
 public:
  Engine()
      : engine_({1, 0, 1, 4, 10'000}),
        server_("127.0.0.1:0",
                [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
                  engine_.handle(request, response);
                }) {}
  std::string address() const { return server_.address(); }
  void control(const std::string& path, const std::string& json) {
    HttpExchange exchange({server_.address(), "", kConnect, kStall});
    exchange.run({"POST", path, "application/json", json, {}});
  }

 private:
  Standin::EngineStandin engine_;
  Standin::StandinServer server_;
};

class UpstreamContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamContractTest);
  CPPUNIT_TEST(plainFaultsHaveTheirWordAndOneDispatchIsOneRequest);
  CPPUNIT_TEST(plainServicesSayThatTheyLeave);
  CPPUNIT_TEST(enginesStreamResumeAndEnd);
  CPPUNIT_TEST(engineFaultsHaveTheirWord);
  CPPUNIT_TEST(onlyA503SaysThatAnEngineLeaves);
  CPPUNIT_TEST(cachesMoveBetweenEngines);
  CPPUNIT_TEST(oldFencingTokensAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void plainFaultsHaveTheirWordAndOneDispatchIsOneRequest() {
    struct Case {
      const char* reply;
      bool hold;
      const char* word;
    };
    const Case cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, "answer"},
        {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false, "answer"},
        {"", false, "maybe-sent"},
        {"", true, "maybe-sent"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, "maybe-sent"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, "maybe-sent"},
        {"HTTP/1.1 200 OK\r\n\r\nok", false, "maybe-sent"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok", false, "maybe-sent"},
        {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", false, "maybe-sent"},
        {"HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\nok", false, "maybe-sent"},
        {"nonsense", false, "maybe-sent"},
    };
    for (const Case& c : cases) {
      RawServer server(c.reply, c.hold);
      PlainServiceHttp service(server.address(), "127.0.0.1", kConnect);
      const PlainResult result = service.call({"POST", "/orders", "", "{}", {}}, kStall);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.reply, std::string(c.word), wordOf(result));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.reply, 1, server.connections());
    }
    PlainServiceHttp nowhere("127.0.0.1:1", "127.0.0.1", kConnect);
    CPPUNIT_ASSERT_EQUAL(std::string("never-sent"), wordOf(nowhere.call({}, kStall)));
  }

  void plainServicesSayThatTheyLeave() {
    RawServer server("HTTP/1.1 503 Bye\r\nService-Leaving: 1\r\nContent-Length: 0\r\n\r\n", false);
    PlainServiceHttp service(server.address(), "127.0.0.1", kConnect);
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"),
                         wordOf(service.call({"POST", "/", "", "", {}}, kStall)));
  }

  void enginesStreamResumeAndEnd() {
    Engine engine;
    EngineHttp port(engine.address(), "127.0.0.1", kConnect);
    for (const std::size_t start : {std::size_t(0), std::size_t(7), std::size_t(20)}) {
      AnswerAssembler answer;
      GenerateRequest request;
      request.request = "r" + std::to_string(start);
      request.prompt = "a prompt";
      request.maxTokens = 20;
      for (std::size_t i = 0; i < start; ++i) {
        request.tokensSoFar.push_back(Standin::tokenOf(request.prompt, i));
      }
      answer.restore(0, request.tokensSoFar);
      request.epoch = answer.beginAttempt();
      port.generate(request, kStall, [&](const EngineEvent& event) {
        const auto* chunk = std::get_if<AnswerChunk>(&event);
        return chunk == nullptr || answer.accept(*chunk) != ChunkResult::finished;
      });
      // An engine asked for nothing more sends no end mark, and none is made up.
      CPPUNIT_ASSERT_EQUAL(start < 20, answer.finished());
      CPPUNIT_ASSERT_EQUAL(Standin::answerOf("a prompt", 20), answer.textFrom(0));
    }
  }

  void engineFaultsHaveTheirWord() {
    struct Case {
      const char* path;
      const char* json;
      const char* word;
    };
    const Case cases[] = {
        {"/control/faults", R"({"cutAfter":3})", "broke"},
        {"/control/faults", R"({"refuse":true})", "refused"},
        {"/control/leave", R"({"inMs":5000,"die":false})", "leaving"},
    };
    GenerateRequest request;
    request.request = "r";
    request.epoch = 1;
    request.prompt = "p";
    request.maxTokens = 10;
    const auto accept = [](const EngineEvent&) { return true; };
    for (const Case& c : cases) {
      Engine engine;
      engine.control(c.path, c.json);
      EngineHttp port(engine.address(), "127.0.0.1", kConnect);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.json, std::string(c.word),
                                   wordOf(port.generate(request, kStall, accept).end));
    }
    EngineHttp nowhere("127.0.0.1:1", "127.0.0.1", kConnect);
    CPPUNIT_ASSERT_EQUAL(std::string("connect-failed"),
                         wordOf(nowhere.generate(request, kStall, accept).end));
    RawServer silent("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {}", true);
    EngineHttp frozen(silent.address(), "127.0.0.1", kConnect);
    const auto start = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(std::string("broke"),
                         wordOf(frozen.generate(request, kStall, accept).end));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 5 * kStall);
  }

  void onlyA503SaysThatAnEngineLeaves() {
    for (const auto& [status, word] : {std::pair{"503 Bye", "leaving"}, {"500 Oh", "refused"}}) {
      RawServer server(std::string("HTTP/1.1 ") + status +
                           "\r\nEngine-Leaving: 500\r\nContent-Length: 0\r\n\r\n",
                       false);
      EngineHttp engine(server.address(), "127.0.0.1", kConnect);
      const StreamResult result = engine.generate({}, kStall, [](const auto&) { return true; });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::string(word), wordOf(result.end));
    }
  }

  void cachesMoveBetweenEngines() {
    Engine from;
    Engine to;
    EngineHttp source(from.address(), "127.0.0.1", kConnect);
    EngineHttp target(to.address(), "127.0.0.1", kConnect);
    GenerateRequest request;
    request.request = "r";
    request.epoch = 1;
    for (int i = 0; i < 100; ++i) request.prompt += "w" + std::to_string(i) + " ";
    request.maxTokens = 1'000;
    std::string cache;
    source.generate(request, kStall, [&](const EngineEvent& event) {
      const auto* chunk = std::get_if<AnswerChunk>(&event);
      if (chunk != nullptr && chunk->offset == 3) cache = source.exportCache("r", 1);
      return cache.empty();
    });
    CPPUNIT_ASSERT(!cache.empty());
    CPPUNIT_ASSERT(source.exportCache("r", 2).empty());
    request.epoch = 2;
    request.cacheHandle = target.importCache(cache);
    CPPUNIT_ASSERT(!request.cacheHandle.empty());
    std::size_t computed = 99'999;
    target.generate(request, kStall, [&](const EngineEvent& event) {
      const auto* word = std::get_if<ComputedTokens>(&event);
      if (word != nullptr) computed = word->tokens;
      return false;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), computed);
  }

  void oldFencingTokensAreRejected() {
    Engine engine;
    const auto order = [&](const char* token) {
      HttpExchange exchange({engine.address(), "", kConnect, kStall});
      const auto result = exchange.run({"POST",
                                        "/v1/orders",
                                        "application/json",
                                        std::string("{\"fencingToken\":") + token + "}",
                                        {}});
      return std::get<HttpResponse>(result).status;
    };
    CPPUNIT_ASSERT_EQUAL(200, order("5"));
    CPPUNIT_ASSERT_EQUAL(200, order("6"));
    CPPUNIT_ASSERT_EQUAL(409, order("5"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamContractTest);

}  // namespace
