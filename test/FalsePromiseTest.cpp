// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "AnswerScripts.h"
#include "ForwardingPair.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

/// Of requestText().
const std::string kOwnId = "Hallchute-Attempt-Id: q1\r\n";

enum class Id { own, other, none };
enum class Statement { none, stated, negated };
enum class End { whole, cutOff };

/// The first answer of each upstream to a request that may run once. An answer to another request
/// is followed by the upstream's own.
struct Answer {
  int status = 503;
  Statement statement = Statement::none;
  Id id = Id::own;
  bool isSigned = false;
  End end = End::whole;

  bool forThisRequest() const { return id == Id::own; }
  bool promises() const { return status == 408 || status == 421 || status == 429 || status == 503; }
  /// Whether an upstream that answers so did not run the request.
  bool provesNoRun() const {
    const bool mayState = status == 400 || status == 421 || status == 429 || status == 503;
    return mayState && statement == Statement::stated && forThisRequest() && !isSigned &&
           end == End::whole;
  }
  UpstreamScript script() const {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    if (id != Id::none)
      head += std::string("Hallchute-Attempt-Id: ") + (forThisRequest() ? "{id}" : "z9") + "\r\n";
    if (isSigned) head += "Hallchute-Replica-Signature: s\r\n";
    if (statement != Statement::none)
      head += std::string("Hallchute-Not-Executed: ") +
              (statement == Statement::stated ? "1" : "0") + "\r\n";
    head += "Content-Length: 4\r\n\r\n";
    if (end == End::cutOff) return {head + "up", Then::close};
    return {head + "upst" + (forThisRequest() ? "" : kPlainAnswer), Then::keep};
  }
  std::string describe() const {
    return "status " + std::to_string(status) + ", statement " +
           std::to_string(static_cast<int>(statement)) + ", id " +
           std::to_string(static_cast<int>(id)) + ", signed " + std::to_string(isSigned) +
           ", cut off " + std::to_string(end == End::cutOff);
  }
};

struct Outcome {
  int status = 0;
  std::size_t arrivals = 0;
};

/// What a caller may get if each of \p upstreams answers so.
Outcome expected(const Answer& answer, std::size_t upstreams) {
  constexpr std::size_t kMostRejections = 3;
  if (answer.end == End::cutOff) return {502, 1};
  if (!answer.forThisRequest()) return {200, 1};
  if (answer.provesNoRun()) return {503, std::min(upstreams, kMostRejections)};
  if (!answer.isSigned || answer.promises()) return {502, 1};
  return {answer.status, 1};
}

std::vector<Answer> allAnswers() {
  std::vector<Answer> answers;
  for (const int status : {200, 400, 408, 421, 429, 500, 503})
    for (const Statement statement : {Statement::none, Statement::stated, Statement::negated})
      for (const Id id : {Id::own, Id::other, Id::none})
        for (const bool isSigned : {false, true})
          for (const End end : {End::whole, End::cutOff})
            answers.push_back({status, statement, id, isSigned, end});
  return answers;
}

class Upstreams {
 public:
  explicit Upstreams(const std::vector<UpstreamScript>& scripts) {
    for (const UpstreamScript& script : scripts) {
      upstreams_.push_back(std::make_unique<ScriptedUpstream>(std::vector{script}));
    }
  }
  /// They are listed in the order of preference.
  std::vector<UpstreamRecord> records() const {
    std::vector<UpstreamRecord> records;
    for (const auto& upstream : upstreams_) {
      records.push_back(upstreamAt("i-" + std::to_string(records.size() + 1), upstream->address()));
      if (records.size() > 1) records.back().domain = FailureDomainName("d2");
    }
    return records;
  }
  std::size_t arrivals() const {
    std::size_t all = 0;
    for (const auto& upstream : upstreams_) all += upstream->requests().size();
    return all;
  }

 private:
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams_;
};

ForwardedReplies::Head peerHead(int status, const std::string& id,
                                const std::vector<std::string>& more) {
  HttpHead head;
  head.status = status;
  head.keepAlive = true;
  head.fields.add("Hallchute-Attempt-Id", id);
  for (const std::string& name : more) head.fields.add(name, "1");
  return {head};
}

/// Guards against requests that ran although the caller was told that they hadn't, or that were
/// sent to another upstream without proof that the first one didn't run them.
class FalsePromiseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FalsePromiseTest);
  CPPUNIT_TEST(directAnswersByTable);
  CPPUNIT_TEST(answersThroughAnotherDaemonByTableOfProofs);
  CPPUNIT_TEST(mixedAnswersByTable);
  CPPUNIT_TEST(repliesOfAPeerByTable);
  CPPUNIT_TEST(answersOfAnotherRequestThroughAPeerAreNotPassedOn);
  CPPUNIT_TEST(answersToRequestsWithoutAnIdByTable);
  CPPUNIT_TEST(ambiguousFieldsAreNoProof);
  CPPUNIT_TEST_SUITE_END();

 public:
  void directAnswersByTable() {
    for (const std::size_t count : {1, 2, 3}) {
      for (const Answer& answer : allAnswers()) {
        const Upstreams upstreams(std::vector(count, answer.script()));
        GatewayRig rig;
        rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
        rig.setUpstreams(upstreams.records());
        RawCaller caller(rig.address());
        const std::string got = ask(caller);
        check(answer.describe() + ", upstreams " + std::to_string(count), got, upstreams.arrivals(),
              expected(answer, count));
      }
    }
    report();
  }

  void answersThroughAnotherDaemonByTableOfProofs() {
    for (const Answer& answer : allAnswers()) {
      if (answer.end == End::cutOff && answer.status != 503) continue;
      CutPair pair(WorkKind::once, answer.script(), answer.script());
      RawCaller caller(pair.origin.rig.address());
      const std::string got = ask(caller);
      check(answer.describe(), got, pair.arrivals(), expected(answer, 2));
    }
    report();
  }

  void mixedAnswersByTable() {
    struct Row {
      const char* name;
      WorkKind kind;
      std::vector<UpstreamScript> upstreams;
      Outcome expected;
    };
    const UpstreamScript rejects{kRejection};
    const UpstreamScript ranAndFailed = Answer{503, Statement::none, Id::own, true}.script();
    const UpstreamScript fine{kPlainAnswer};
    const std::vector<Row> rows{
        {"rejected, then failed after it ran", WorkKind::once, {rejects, ranAndFailed}, {502, 2}},
        {"rejected, then served", WorkKind::once, {rejects, fine}, {200, 2}},
        {"rejected, then reset", WorkKind::once, {rejects, {"", Then::reset}}, {502, 2}},
        {"a stream that can't be resumed", WorkKind::stream, {ranAndFailed, fine}, {502, 1}},
        {"a repeatable request, failed, then rejected",
         WorkKind::repeatable,
         {ranAndFailed, rejects},
         {502, 2}},
        {"a repeatable request, failed twice",
         WorkKind::repeatable,
         {ranAndFailed, ranAndFailed},
         {502, 2}},
        {"a repeatable request, reset, then rejected",
         WorkKind::repeatable,
         {{"", Then::reset}, rejects},
         {502, 2}},
    };
    for (const Row& row : rows) {
      const Upstreams upstreams(row.upstreams);
      GatewayRig rig;
      rig.setSettings(settingsWith(plainRoute(row.kind)));
      rig.setUpstreams(upstreams.records());
      RawCaller caller(rig.address());
      const std::string got = ask(caller);
      check(row.name, got, upstreams.arrivals(), row.expected);
    }
    report();
  }

  void repliesOfAPeerByTable() {
    using namespace ForwardedReplies;
    const Dispatched sending{{UpstreamId("i-1"), 1}, SoftwareVersion("v1")};
    const Head rejection = peerHead(503, "q1", {"Hallchute-Not-Executed"});
    checkPeer("declined", {Declined{"noRoom"}}, 503);
    checkPeer("not sent", {sending, Failed{ExchangeFailure::notSent}}, 503);
    checkPeer("rejected", {sending, rejection, Done{}}, 503);
    checkPeer("sent, then declined", {sending, Declined{"noRoom"}}, 502);
    checkPeer("answered, then not sent", {sending, rejection, Failed{ExchangeFailure::notSent}},
              502);
    report();
  }

  /// A daemon of another version may pass them on.
  void answersOfAnotherRequestThroughAPeerAreNotPassedOn() {
    using namespace ForwardedReplies;
    const Dispatched sending{{UpstreamId("i-1"), 1}, SoftwareVersion("v1")};
    const Body body{"ok"};
    checkPeer(
        "signed",
        {sending, peerHead(200, "z9", {"Hallchute-Replica-Signature", "Hallchute-Not-Executed"}),
         body, Done{}},
        502);
    report();
  }

  void answersToRequestsWithoutAnIdByTable() {
    const std::string stated = "Hallchute-Not-Executed: 1\r\n";
    checkFields("a rejection", false, 503, stated, 502);
    checkFields("a 400", false, 400, stated, 503);
    report();
  }

  /// Guards against a field that occurs twice or is empty and counts as the proof's half.
  void ambiguousFieldsAreNoProof() {
    const std::string stated = "Hallchute-Not-Executed: 1\r\n";
    checkFields("stated twice", true, 503, kOwnId + stated + stated, 502);
    checkFields("two ids", true, 503, kOwnId + "Hallchute-Attempt-Id: z9\r\n" + stated, 502);
    checkFields("an empty signature", true, 503,
                kOwnId + stated + "Hallchute-Replica-Signature:\r\n", 502);
    report();
  }

 private:
  void checkPeer(const std::string& name, std::vector<ForwardedReply> replies, int status) {
    const ScriptedPeer peer(std::move(replies));
    CutPair pair(WorkKind::once, {kPlainAnswer}, {kPlainAnswer});
    pair.origin.peers = {peer.address()};
    check(name, pair.ask(), 0, {status, 0});
  }

  void checkFields(const std::string& name, bool requestHasId, int answered,
                   const std::string& fields, int status) {
    const Upstreams upstreams({{"HTTP/1.1 " + std::to_string(answered) + " X\r\n" + fields +
                                "Content-Length: 0\r\n\r\n"}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams(upstreams.records());
    RawCaller caller(rig.address());
    std::string request = requestText("POST", "Connection: close\r\n", "body");
    if (!requestHasId) request.erase(request.find(kOwnId), kOwnId.size());
    caller.send(request);
    const std::string got = caller.readAll();
    check(name, got, upstreams.arrivals(), {status, 1});
  }

  static std::string ask(RawCaller& caller) {
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    return caller.readAll();
  }

  void check(const std::string& name, const std::string& answer, std::size_t arrivals,
             const Outcome& expected) {
    ++cases_;
    const std::string start = "HTTP/1.1 " + std::to_string(expected.status);
    // A failure of the daemon's own must not carry the upstream's signature.
    const bool ownFailure = expected.status == 502;
    const bool kept = answer.starts_with(start) && arrivals == expected.arrivals &&
                      !(ownFailure && answer.find("Signature") != std::string::npos);
    if (kept) return;
    ++broken_;
    told_ += "\n" + name + ": expected " + start + ", " + std::to_string(expected.arrivals) +
             " arrivals; got " + answer.substr(0, 12) + ", " + std::to_string(arrivals);
  }
  void report() const {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(broken_) + " of " + std::to_string(cases_) + told_,
                           broken_ == 0);
  }

  int cases_ = 0;
  int broken_ = 0;
  std::string told_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FalsePromiseTest);

}  // namespace
