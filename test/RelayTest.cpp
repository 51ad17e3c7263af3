// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/Relay"
#include "Hallchute/src/Core/Overloaded.h"

namespace {

using namespace Hallchute;
namespace Events = RelayEvents;
namespace Actions = RelayActions;

const ExecutionProof kNotSent = *ExecutionProof::of(DispatchEvidences::NotSent{});
const ExecutionProof kRejected =
    *ExecutionProof::of(DispatchEvidences::Answered{503, true, true, false});
/// Every event that can follow a dispatch, in all variants.
const std::array<RelayEvent, 11> kEvents{
    Events::NoUpstreamAvailable{}, Events::NotSent{kNotSent},      Events::NotExecuted{kRejected},
    Events::StreamEventReceived{}, Events::ResponseComplete{true}, Events::ResponseComplete{false},
    Events::ConnectionBroken{},    Events::UpstreamSilent{},       Events::HedgeDue{},
    Events::CallerDisconnected{},  Events::DeadlineExceeded{}};

/// Checks the invariants of one RelayStateMachine for events in any order.
class InvariantChecker {
 public:
  explicit InvariantChecker(RelayPolicy policy) : policy_(policy), stateMachine_(policy) {
    process(Events::Begin{});
  }

  bool ended() const { return stateMachine_.ended(); }

  /// \returns the violated invariant; empty if there is none.
  std::string process(const RelayEvent& event) {
    const bool wasEnded = stateMachine_.ended();
    const bool deadlineExceeded = std::holds_alternative<Events::DeadlineExceeded>(event);
    // Of the dispatches at work, the one that the event comes from goes on after these.
    sourceAtWork_ = running_ > 0 && std::holds_alternative<Events::StreamEventReceived>(event);
    mayReplace_ = deadlineExceeded || sourceAtWork_ ||
                  std::holds_alternative<Events::CallerDisconnected>(event) || succeeds(event);
    recordEvent(event);
    const std::vector<RelayAction> actions = stateMachine_.step(event);
    if (wasEnded && !actions.empty()) return "actions after the end";
    for (const RelayAction& action : actions) {
      std::string violation = std::visit([&](const auto& a) { return check(a); }, action);
      if (!violation.empty()) return violation;
    }
    if (!wasEnded && stateMachine_.ended() && finalResponses_ == 0 && !callerDisconnected_)
      return "no final response";
    if (finalResponses_ > 1) return "two final responses";
    if (stateMachine_.ended() && running_ > 0) return "an upstream continues after the end";
    if (sourceAtWork_ && running_ > 1) return "two upstreams continue one stream";
    if (!stateMachine_.ended() && running_ == 0) return "nothing is at work, yet no response";
    return {};
  }

 private:
  static bool succeeds(const RelayEvent& event) {
    const auto* complete = std::get_if<Events::ResponseComplete>(&event);
    return complete != nullptr && complete->success;
  }
  /// Updates the expected state of upstreams and caller, independently of the state machine.
  void recordEvent(const RelayEvent& event) {
    if (running_ == 0) {
      if (std::holds_alternative<Events::CallerDisconnected>(event)) callerDisconnected_ = true;
      return;
    }
    std::visit(Overloaded{[&](const Events::NotSent&) { endRun(false); },
                          [&](const Events::NotExecuted&) { endRun(false); },
                          [&](const Events::NoUpstreamAvailable&) { endRun(false); },
                          [&](const Events::ResponseComplete& response) {
                            lastComplete_ = true;
                            lastSuccess_ = response.success;
                            endRun(true);
                          },
                          [&](const Events::ConnectionBroken&) { endRun(true); },
                          [&](const Events::CallerDisconnected&) { callerDisconnected_ = true; },
                          [&](const auto&) {}},
               event);
  }
  void endRun(bool mayHaveRun) {
    --running_;
    if (mayHaveRun) ++runs_;
  }

  std::string check(const Actions::Dispatch& action) {
    const int mayRun = runs_ + running_;
    if (mayRun > 0 && !started_ && !policy_.repeatable)
      return "a request that is not repeatable is sent again";
    if (started_ && !policy_.resumable) return "a stream that is not resumable is sent again";
    if (action.resume != started_)
      return "resumes a stream that has not started, or restarts one that has";
    if (mayRun >= policy_.maxRuns) return "runs at more than maxRuns upstreams";
    if (finalResponses_ > 0) return "dispatch after the final response";
    if (mayRun > 0 && !action.retry) return "a repeated run is not marked as a retry";
    if (action.hedge && (started_ || running_ != 1)) return "hedges without one silent upstream";
    ++running_;
    return {};
  }
  std::string check(const Actions::Cancel&) {
    const int others = running_ - (sourceAtWork_ ? 1 : 0);
    if (others == 0) return "cancels a request that is not running";
    if (!mayReplace_) return "cancels an upstream at work before its replacement sent data";
    for (int i = 0; i < others; ++i) endRun(true);
    return {};
  }
  std::string check(const Actions::ForwardEvent& action) {
    if (action.first == started_) return "the response head is missing or sent twice";
    started_ = true;
    return {};
  }
  std::string check(const Actions::EndStream&) {
    ++finalResponses_;
    return started_ && lastComplete_ && lastSuccess_ ? "" : "ends a stream that is not complete";
  }
  std::string check(const Actions::ForwardResponse&) {
    ++finalResponses_;
    return !started_ && lastComplete_ ? "" : "forwards a response that was not received";
  }
  std::string check(const Actions::Refuse&) {
    ++finalResponses_;
    if (runs_ > 0 || running_ > 0) return "reports that the request did not run, but it may have";
    return started_ ? "refuses after the response has started" : "";
  }
  std::string check(const Actions::Fail&) {
    ++finalResponses_;
    return started_ ? "a second response head" : "";
  }
  std::string check(const Actions::AbortStream&) {
    ++finalResponses_;
    return started_ ? "" : "aborts a stream that has not started";
  }

  RelayPolicy policy_;
  RelayStateMachine stateMachine_;
  /// Dispatches at work.
  int running_ = 0;
  bool sourceAtWork_ = false;
  bool mayReplace_ = false;
  bool started_ = false;
  bool callerDisconnected_ = false;
  bool lastComplete_ = false;
  bool lastSuccess_ = false;
  int runs_ = 0;
  int finalResponses_ = 0;
};

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(everySequenceKeepsTheInvariants);
  CPPUNIT_TEST(longSequencesKeepTheInvariants);
  CPPUNIT_TEST(oneOfAHedgedPairGoesOnAlone);
  CPPUNIT_TEST(splitsEventsByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Explores all sequences of events up to a fixed length, for all policies.
  void everySequenceKeepsTheInvariants() {
    constexpr int kDepth = 6;
    std::size_t steps = 0;
    for (const bool repeatable : {false, true}) {
      for (const bool resumable : {false, true}) {
        for (const int maxRuns : {1, 2, 3}) {
          // A resumable request is always repeatable.
          if (resumable && !repeatable) continue;
          explore(InvariantChecker({repeatable, resumable, maxRuns}), "", kDepth, steps);
        }
      }
    }
    CPPUNIT_ASSERT(steps > 100'000);
  }

  /// Long sequences at random, of which most continue a stream many times.
  void longSequencesKeepTheInvariants() {
    constexpr unsigned kSeed = 1'701;
    constexpr int kSequences = 200'000;
    constexpr int kMaxLength = 60;
    std::mt19937 random(kSeed);
    int continued = 0;
    for (int i = 0; i < kSequences; ++i) {
      const bool repeatable = random() % 2 == 0;
      const bool resumable = random() % 2 == 0;
      InvariantChecker checker({repeatable, resumable, static_cast<int>(random() % 5) + 1});
      std::string path;
      int length = 0;
      for (; length < kMaxLength && !checker.ended(); ++length) {
        // Events that end most requests are rare, or most sequences would be short.
        constexpr std::array<std::size_t, 4> kHarmless{2, 3, 7, 8};
        const std::size_t event =
            random() % 6 == 0 ? random() % kEvents.size() : kHarmless[random() % 4];
        path.append(" ").append(std::to_string(event));
        std::string violation = checker.process(kEvents[event]);
        if (!violation.empty()) CPPUNIT_FAIL(violation.append(" after events").append(path));
      }
      if (length > 10) ++continued;
    }
    CPPUNIT_ASSERT(continued > kSequences / 100);
  }

  /// Guards against a hedge that causes further dispatches, or costs a request its answer.
  void oneOfAHedgedPairGoesOnAlone() {
    const std::array<RelayEvent, 5> ends{Events::NotSent{kNotSent}, Events::NotExecuted{kRejected},
                                         Events::NoUpstreamAvailable{}, Events::ConnectionBroken{},
                                         Events::ResponseComplete{false}};
    for (const RelayEvent& end : ends) {
      RelayStateMachine relay({true, false, 3});
      relay.step(Events::Begin{});
      const std::vector<RelayAction> hedge = relay.step(Events::HedgeDue{});
      CPPUNIT_ASSERT(hedge == std::vector<RelayAction>({Actions::Dispatch{true, false, true}}));
      CPPUNIT_ASSERT(relay.step(end).empty());
      CPPUNIT_ASSERT(!relay.ended());
      // The rejection of the hedge doesn't count: two more upstreams may reject the request.
      for (int i = 0; i < 2; ++i)
        CPPUNIT_ASSERT(!relay.step(Events::NotExecuted{kRejected}).empty());
      CPPUNIT_ASSERT(!relay.ended());
      const std::vector<RelayAction> last = relay.step(Events::ResponseComplete{true});
      CPPUNIT_ASSERT(last == std::vector<RelayAction>({Actions::ForwardResponse{}}));
    }
  }

  void splitsEventsByTable() {
    struct Row {
      std::vector<std::string> parts;
      std::vector<std::string> events;
      std::vector<std::string> ids;
      std::string incompleteEvent;
    };
    const std::vector<Row> rows{
        {{"id: 1\ndata: a\n\n"}, {"id: 1\ndata: a\n\n"}, {"1"}, ""},
        {{"id: 1\nda", "ta: a\n", "\nid: 2\n"}, {"id: 1\ndata: a\n\n"}, {"1"}, "id: 2\n"},
        {{"data: a\r\n\r\ndata: b\r\n\r\n"}, {"data: a\r\n\r\n", "data: b\r\n\r\n"}, {"", ""}, ""},
        // What has no data is no event, and part of the next one.
        {{"id:7\n\n\n\n"}, {}, {}, "id:7\n\n\n\n"},
        {{": c\n", "\n: c\n\nid:7\ndata\n\n: c\n\n"},
         {": c\n\n: c\n\nid:7\ndata\n\n"},
         {"7"},
         ": c\n\n"},
        {{":\r", "\n\r", "\ndatabase: 1\r\n\r\n", "data: a\r\n\r\n"},
         {":\r\n\r\ndatabase: 1\r\n\r\ndata: a\r\n\r\n"},
         {""},
         ""},
        {{""}, {}, {}, ""},
    };
    for (const Row& row : rows) {
      EventSplitter splitter;
      std::vector<std::string> events;
      std::vector<std::string> ids;
      for (const std::string& part : row.parts) {
        splitter.add(part);
        while (const auto event = splitter.next()) {
          events.push_back(event->bytes);
          ids.push_back(event->id);
        }
      }
      CPPUNIT_ASSERT(row.events == events);
      CPPUNIT_ASSERT(row.ids == ids);
      CPPUNIT_ASSERT_EQUAL(row.incompleteEvent, splitter.incompleteEvent());
    }
  }

 private:
  static void explore(const InvariantChecker& checker, const std::string& path, int depth,
                      std::size_t& steps) {
    if (depth == 0) return;
    for (std::size_t i = 0; i < kEvents.size(); ++i) {
      InvariantChecker next = checker;
      std::string nextPath = path;
      nextPath.append(" ").append(std::to_string(i));
      ++steps;
      const std::string violation = next.process(kEvents[i]);
      std::string message = violation;
      message.append(" after events").append(nextPath);
      CPPUNIT_ASSERT_MESSAGE(message, violation.empty());
      explore(next, nextPath, depth - 1, steps);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
