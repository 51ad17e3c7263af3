// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/Relay"
#include "Hallchute/src/Core/Overloaded.h"

namespace {

using namespace Hallchute;
namespace Events = RelayEvents;
namespace Actions = RelayActions;

/// Every event that can follow a dispatch, in each form.
const std::array<RelayEvent, 10> kEvents{
    Events::NoUpstreamAvailable{},  Events::NotSent{},
    Events::NotExecuted{},          Events::StreamEventReceived{},
    Events::ResponseComplete{true}, Events::ResponseComplete{false},
    Events::ConnectionBroken{},     Events::UpstreamSilent{},
    Events::CallerDisconnected{},   Events::DeadlineExceeded{}};

/// Checks one course against the promises while events come in any order.
class Witness {
 public:
  explicit Witness(RelayPolicy terms) : terms_(terms), course_(terms) { take(Events::Begin{}); }

  bool ended() const { return course_.ended(); }

  /// \returns what promise was broken; empty if none was.
  std::string take(const RelayEvent& event) {
    const bool wasEnded = course_.ended();
    noteWorld(event);
    const std::vector<RelayAction> actions = course_.step(event);
    if (wasEnded && !actions.empty()) return "actions after the end";
    for (const RelayAction& action : actions) {
      std::string broken = std::visit([&](const auto& a) { return check(a); }, action);
      if (!broken.empty()) return broken;
    }
    if (!wasEnded && course_.ended() && finals_ == 0 && !callerLeft_) return "no final answer";
    if (finals_ > 1) return "two final answers";
    if (callerLeft_ && atWork_) return "the upstream works on for nobody";
    return {};
  }

 private:
  /// What happened outside, as the upstreams would tell it.
  void noteWorld(const RelayEvent& event) {
    if (!atWork_) {
      if (std::holds_alternative<Events::CallerDisconnected>(event)) callerLeft_ = true;
      return;
    }
    std::visit(Overloaded{[&](const Events::NotSent&) { endRun(false); },
                          [&](const Events::NotExecuted&) { endRun(false); },
                          [&](const Events::NoUpstreamAvailable&) { endRun(false); },
                          [&](const Events::ResponseComplete& whole) {
                            lastWhole_ = true;
                            lastSuccess_ = whole.success;
                            endRun(true);
                          },
                          [&](const Events::ConnectionBroken&) { endRun(true); },
                          [&](const Events::CallerDisconnected&) { callerLeft_ = true; },
                          [&](const auto&) {}},
               event);
  }
  void endRun(bool mayHaveRun) {
    atWork_ = false;
    if (mayHaveRun) ++runs_;
  }

  std::string check(const Actions::Dispatch& action) {
    if (atWork_) return "two dispatches at once";
    if (runs_ > 0 && !started_ && !terms_.repeatable) return "what may not repeat is sent again";
    if (started_ && !terms_.resumable) return "a stream that may not go on is sent again";
    if (action.resume != started_) return "resumes what has not started, or starts over";
    if (runs_ >= terms_.maxRuns) return "runs at more upstreams than allowed";
    if (finals_ > 0) return "dispatched after the answer";
    if (runs_ > 0 && !action.retry) return "a repeat outside the budget";
    atWork_ = true;
    return {};
  }
  std::string check(const Actions::Cancel&) {
    if (!atWork_) return "cancels what is not at work";
    endRun(true);
    return {};
  }
  std::string check(const Actions::ForwardEvent& action) {
    if (action.first == started_) return "a head too many or none";
    started_ = true;
    return {};
  }
  std::string check(const Actions::EndStream&) {
    ++finals_;
    return started_ && lastWhole_ && lastSuccess_ ? "" : "an end that is none";
  }
  std::string check(const Actions::ForwardResponse&) {
    ++finals_;
    return !started_ && lastWhole_ ? "" : "passes an answer that did not come";
  }
  std::string check(const Actions::Refuse&) {
    ++finals_;
    if (runs_ > 0 || atWork_) return "promises that nothing ran";
    return started_ ? "refuses a started answer" : "";
  }
  std::string check(const Actions::Fail&) {
    ++finals_;
    return started_ ? "a second head" : "";
  }
  std::string check(const Actions::AbortStream&) {
    ++finals_;
    return started_ ? "" : "breaks off what has not started";
  }

  RelayPolicy terms_;
  RelayStateMachine course_;
  bool atWork_ = false;
  bool started_ = false;
  bool callerLeft_ = false;
  bool lastWhole_ = false;
  bool lastSuccess_ = false;
  int runs_ = 0;
  int finals_ = 0;
};

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(everySequenceKeepsThePromises);
  CPPUNIT_TEST(splitsEventsByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Walks all sequences of events to a fixed depth for all terms.
  void everySequenceKeepsThePromises() {
    constexpr int kDepth = 6;
    std::size_t walked = 0;
    for (const bool repeatable : {false, true}) {
      for (const bool resumable : {false, true}) {
        for (const int maxRuns : {1, 2, 3}) {
          // A stream that may go on may also start over.
          if (resumable && !repeatable) continue;
          walk(Witness({repeatable, resumable, maxRuns}), "", kDepth, walked);
        }
      }
    }
    CPPUNIT_ASSERT(walked > 100'000);
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
        {{"id:7\n\n\n\n"}, {"id:7\n\n", "\n\n"}, {"7", ""}, ""},
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
  static void walk(const Witness& witness, const std::string& path, int depth,
                   std::size_t& walked) {
    if (depth == 0) return;
    for (std::size_t i = 0; i < kEvents.size(); ++i) {
      Witness next = witness;
      std::string here = path;
      here.append(" ").append(std::to_string(i));
      ++walked;
      const std::string broken = next.take(kEvents[i]);
      std::string told = broken;
      told.append(" after events").append(here);
      CPPUNIT_ASSERT_MESSAGE(told, broken.empty());
      walk(next, here, depth - 1, walked);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
