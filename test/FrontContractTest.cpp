// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

const std::string kFine =
    "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: sig\r\n"
    "Content-Length: 4\r\n\r\nfine";

/// The statuses of all answers in \p bytes, in order.
std::vector<std::string> statuses(const std::string& bytes) {
  std::vector<std::string> found;
  const std::string mark = "HTTP/1.1 ";
  for (std::size_t at = bytes.find(mark); at != std::string::npos; at = bytes.find(mark, at + 1)) {
    found.push_back(bytes.substr(at + mark.size(), 3));
  }
  return found;
}

std::string joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : " ") + word;
  return text;
}

/// What a caller sends on one connection, what it is answered, and what the upstream sees.
struct Row {
  std::string name;
  std::string sent;
  std::string statuses;
  /// The bodies that the upstream got, joined by `|`.
  std::string bodies;
  bool closed;
};

class FrontContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrontContractTest);
  CPPUNIT_TEST(readsRequestsByTable);
  CPPUNIT_TEST(anIdleConnectionIsClosed);
  CPPUNIT_TEST(aSlowHeadIsRefused);
  CPPUNIT_TEST(aDrainingServerClosesAfterTheAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsRequestsByTable() {
    const std::string host = "Host: h.example\r\n";
    const std::string post = "POST /s/x HTTP/1.1\r\n" + host;
    const std::string unknown = "POST /none HTTP/1.1\r\n" + host;
    const std::string get = "GET /s/x HTTP/1.1\r\n" + host + "\r\n";
    const std::string inner = "POST /s/x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    const std::vector<Row> rows{
        {"a body with a length", post + "Content-Length: 5\r\n\r\nhello", "200", "hello", false},
        {"a body in chunks", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
         "200", "hello", false},
        {"requests sent ahead are answered in order", get + get + get, "200 200 200", "||", false},
        // The body of a request that is refused is never the next request.
        {"a refused body with a length",
         unknown + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner + get,
         "404 200", "", false},
        {"a refused body in chunks",
         unknown + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get, "404 200", "",
         false},
        {"a length and chunks",
         post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, "400", "",
         true},
        {"two lengths", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "400", "", true},
        {"an unknown coding", post + "Transfer-Encoding: gzip\r\n\r\nhello", "400", "", true},
        {"a coding after chunked", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
         "400", "", true},
        {"a length below zero", post + "Content-Length: -1\r\n\r\n", "400", "", true},
        {"a chunk size that is none", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "",
         true},
        {"a line folded", "GET /s/x HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n", "200", "", false},
        {"a blank before the colon", "GET /s/x HTTP/1.1\r\n" + host + "A : b\r\n\r\n", "400", "",
         true},
        {"no HTTP", "hello there\r\n\r\n", "400", "", true},
        {"a head too large",
         "GET /s/x HTTP/1.1\r\n" + host + "A: " + std::string(2'000, 'a') + "\r\n\r\n", "431", "",
         true},
        {"a body too large", post + "Content-Length: 5000\r\n\r\n" + std::string(5'000, 'b'), "413",
         "", true},
        {"chunks too large together",
         post + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5'000, 'b') +
             "\r\n0\r\n\r\n",
         "413", "", true},
        {"a wish to close", "GET /s/x HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n" + get,
         "200", "", true},
        {"HTTP/1.0", "GET /s/x HTTP/1.0\r\n" + host + "\r\n", "200", "", true},
        {"a wish to go on", post + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", "200",
         "hello", false},
    };
    for (const Row& row : rows) check(row);
  }

  void anIdleConnectionIsClosed() {
    GatewayRig rig;
    FrontLimits limits;
    limits.idleTimeout = Millis(50);
    rig.setLimits(limits);
    RawCaller caller(rig.address());
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.readAll());
    CPPUNIT_ASSERT(caller.ended());
  }

  void aSlowHeadIsRefused() {
    GatewayRig rig;
    FrontLimits limits;
    limits.headTimeout = Millis(50);
    rig.setLimits(limits);
    RawCaller caller(rig.address());
    caller.send("GET /s/x HT");
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 408"));
    CPPUNIT_ASSERT(caller.ended());
  }

  void aDrainingServerClosesAfterTheAnswer() {
    ScriptedUpstream upstream({{kFine, Then::keep}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(requestText("GET"));
    CPPUNIT_ASSERT(caller.read("fine").find("Connection: close") == std::string::npos);
    rig.drain();
    caller.send(requestText("GET"));
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(caller.ended());
  }

 private:
  static void check(const Row& row) {
    ScriptedUpstream upstream({{kFine, Then::keep}});
    GatewayRig rig;
    FrontLimits limits;
    limits.headBytes = 1'000;
    limits.bodyBytes = 4'000;
    rig.setLimits(limits);
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    RawCaller caller(rig.address());
    caller.send(row.sent);
    const std::vector<std::string> expected = statuses(withMarks(row.statuses));
    std::string answers;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < end) {
      answers = caller.read("", std::chrono::milliseconds(40));
      std::vector<std::string> seen = statuses(answers);
      std::erase(seen, "100");
      if (seen.size() >= expected.size() && caller.ended() == row.closed) break;
    }
    std::vector<std::string> seen = statuses(answers);
    std::erase(seen, "100");
    const std::string told = row.name + ": " + answers;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(told, row.statuses, joined(seen));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(told, row.closed, caller.ended());
    std::string bodies;
    for (const std::string& request : upstream.requests()) {
      bodies += request.substr(request.find("\r\n\r\n") + 4) + "|";
    }
    if (!bodies.empty()) bodies.pop_back();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(told, row.bodies, bodies);
  }

  static std::string withMarks(const std::string& words) {
    std::string text;
    for (std::size_t at = 0; at < words.size(); at += 4) text += "HTTP/1.1 " + words.substr(at, 3);
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrontContractTest);

}  // namespace
