// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "Hallchute/src/Net/Clock.h"
#include "test/scenario/Runner.h"
#include "test/scenario/StepTools.h"
#include "test/scenario/Wait.h"

/// \file
/// \brief The verbs that check conditions, and the values they query.

namespace Scenario {
namespace {

using Hallchute::JsonObject;
using Hallchute::Millis;
using Hallchute::wallClockMs;

constexpr int kDefaultLimitMs = 30'000;

}  // namespace

std::vector<Caller*> Runner::callersOf(const std::string& id) {
  const auto it = callers_.find(id);
  require(it != callers_.end(), "nothing was sent as " + id);
  std::vector<Caller*> found;
  for (const auto& caller : it->second) found.push_back(caller.get());
  return found;
}

void Runner::awaitCallers(const std::string& id, int limitMs) {
  for (const Caller* caller : callersOf(id)) {
    waitFor(id + " to be answered", Millis(limitMs), [&] { return caller->finished(); });
  }
}

void Runner::checkCaller(const Caller& caller, const Step& step) {
  const CallResult& got = caller.result();
  const std::string seen = "got status " + std::to_string(got.status) + ", outcome '" +
                           got.outcome + "', " + std::to_string(caller.received()) + " tokens, " +
                           std::to_string(got.resumptions) + " resumptions, " + number(got.tookMs) +
                           " ms, " + got.problem;
  for (std::size_t i = 2; i < step.words.size(); ++i) {
    if (step.words[i] == "whole") require(caller.whole(), "the answer is not whole: " + seen);
    if (step.words[i] == "moved") require(got.moved, "the answer did not move: " + seen);
    if (step.words[i] == "answered") require(got.status != 0, "no answer came: " + seen);
  }
  if (step.options.contains("status")) {
    const std::string allowed = "," + step.option("status", "") + ",";
    require(allowed.find("," + std::to_string(got.status) + ",") != std::string::npos, seen);
  }
  if (step.options.contains("outcome")) {
    const std::string allowed = "," + step.option("outcome", "") + ",";
    require(allowed.find("," + got.outcome + ",") != std::string::npos, seen);
  }
  if (step.options.contains("under")) require(got.tookMs <= step.number("under", 0), seen);
  if (step.options.contains("same-as")) {
    const Caller* other = callersOf(step.option("same-as", "")).front();
    require(!got.text.empty() && got.text == other->result().text, "another answer: " + seen);
  }
  if (step.options.contains("problem")) {
    require(got.problem.find(step.option("problem", "")) != std::string::npos, seen);
  }
}

/// `expect ID [whole] [status=..] [outcome=..]`, `expect applied ID status=..`, or
/// `expect VALUE <= NUMBER`.
void Runner::expect(const Step& step) {
  if (callers_.contains(word(step, 1))) {
    awaitCallers(step.words[1], step.number("within", kDefaultLimitMs));
    for (const Caller* caller : callersOf(step.words[1])) checkCaller(*caller, step);
    return;
  }
  if (step.words[1] == "applied") {
    const std::string& id = word(step, 2);
    waitFor("the answer to " + id, Millis(kDefaultLimitMs), [&] {
      const std::lock_guard lock(mutex_);
      return applied_.contains(id);
    });
    const auto& [status, body] = applied_[id];
    require(("," + step.option("status", "") + ",").find("," + std::to_string(status) + ",") !=
                std::string::npos,
            "status " + std::to_string(status) + ": " + body);
    return;
  }
  const std::size_t size = step.words.size();
  const double right = std::stod(word(step, size - 1));
  const double left = value(step, 1);
  require(compare(left, step.words[size - 2], right), "it is " + number(left));
}

void Runner::show(const Step& step) {
  std::cout << "    " << number(value(step, 1)) << std::endl;
}

void Runner::eventually(const Step& step) {
  const std::size_t size = step.words.size();
  const double right = std::stod(word(step, size - 1));
  double left = 0;
  Millis took{0};
  try {
    took = waitFor("the value", Millis(step.number("within", kDefaultLimitMs)), [&] {
      left = value(step, 1);
      return compare(left, step.words[size - 2], right);
    });
  } catch (const std::exception& e) {
    throw std::runtime_error(std::string(e.what()) + "; it is " + number(left));
  }
  std::cout << "    after " << took.count() << " ms" << std::endl;
}

/// Values: `count NODE MEMBER`, `grown MARK NODE MEMBER`, `most KIND MEMBER`, `sum KIND MEMBER`,
/// `metric DAEMON NAME`, `metrics NAME` (over all daemons), `revision DAEMON`, `least-revision`,
/// `least-leaves`, `members DAEMON` (alive), `listed DAEMON` (not dead), `running NODE`, `received
/// ID`, `exit NODE`, `since MARK` (ms), `now`.
double Runner::value(const Step& step, std::size_t from) {
  const std::string& kind = word(step, from);
  const auto argument = [&](std::size_t index) { return word(step, from + index); };
  if (kind == "count") {
    return fleet_.control(argument(1), "/control/counts", "{}")->getValue<double>(argument(2));
  }
  if (kind == "grown") {
    const auto counts = fleet_.control(argument(2), "/control/counts", "{}");
    return counts->getValue<double>(argument(3)) - marks_.at(argument(1));
  }
  if (kind == "most" || kind == "sum") {
    return sumOver(argument(1) == "engines" ? Kind::engine : Kind::plain, argument(2),
                   kind == "most");
  }
  if (kind == "memory-mb") return static_cast<double>(memory_->peakBytes() >> 20U);
  if (kind == "metric") return metric(argument(1), argument(2));
  if (kind == "metrics") {
    double sum = 0;
    for (Node* node : fleet_.all(Kind::daemon)) {
      if (node->process && node->process->running()) sum += metric(node->name, argument(1));
    }
    return sum;
  }
  if (kind == "least-leaves") {
    double least = 1e9;
    for (Node* node : fleet_.all(Kind::daemon)) {
      least = std::min(least, metric(node->name, "hallchute_leaves_total"));
    }
    return least;
  }
  if (kind == "least-revision") {
    double least = 1e9;
    for (Node* node : fleet_.all(Kind::daemon)) {
      if (!node->process || !node->process->running()) continue;
      const JsonObject status = parse(fleet_.operatorGet(node->name, "/status"));
      least = std::min(least, status ? status->optValue("settingsRevision", 0.0) : 0.0);
    }
    return least;
  }
  if (kind == "revision" || kind == "members" || kind == "listed") {
    const JsonObject status = parse(fleet_.operatorGet(argument(1), "/status"));
    require(!status.isNull(), argument(1) + " gives no status");
    if (kind == "revision") return status->optValue("settingsRevision", 0.0);
    const auto members = status->getArray("members");
    if (kind == "listed") return members ? static_cast<double>(members->size()) + 1 : 0;
    double alive = 1;
    for (unsigned i = 0; members && i < members->size(); ++i) {
      if (members->getObject(i)->getValue<std::string>("state") == "alive") ++alive;
    }
    return alive;
  }
  if (kind == "running") {
    Node& node = fleet_.node(argument(1));
    return node.process && node.process->running() ? 1 : 0;
  }
  if (kind == "exit") {
    const auto code = fleet_.node(argument(1)).process->exitCode();
    return code ? *code : 1'000;
  }
  if (kind == "received") {
    std::size_t least = SIZE_MAX;
    for (const Caller* caller : callersOf(argument(1))) least = std::min(least, caller->received());
    return static_cast<double>(least);
  }
  if (kind == "now") return static_cast<double>(wallClockMs());
  if (kind == "since") return static_cast<double>(wallClockMs()) - marks_.at(argument(1));
  throw std::runtime_error("no such value: " + kind);
}

double Runner::metric(const std::string& daemon, const std::string& name) {
  std::istringstream page(fleet_.operatorGet(daemon, "/metrics"));
  double sum = 0;
  for (std::string line; std::getline(page, line);) {
    if (line.rfind(name, 0) != 0) continue;
    const char after = line[name.size()];
    if (after == ' ' || after == '{') sum += std::stod(line.substr(line.rfind(' ')));
  }
  return sum;
}

double Runner::sumOver(Kind kind, const std::string& member, bool most) {
  double result = 0;
  for (Node* node : fleet_.all(kind)) {
    if (!node->process || !node->process->running()) continue;
    const double here =
        fleet_.control(node->name, "/control/counts", "{}")->getValue<double>(member);
    result = most ? std::max(result, here) : result + here;
  }
  return result;
}

/// `started ID tokens=N`: every caller of ID has received at least N tokens.
void Runner::started(const Step& step) {
  const int tokens = step.number("tokens", 1);
  for (const Caller* caller : callersOf(word(step, 1))) {
    waitFor("tokens of " + step.words[1], Millis(kDefaultLimitMs), [&] {
      return caller->received() >= static_cast<std::size_t>(tokens) || caller->finished();
    });
    if (caller->received() >= static_cast<std::size_t>(tokens)) continue;
    require(false, "the caller ended early: status " + std::to_string(caller->result().status) +
                       " " + caller->result().problem);
  }
}

/// `no-new-work NODE after=MARK within=MS`: the last work began at most that long after the mark.
void Runner::noNewWork(const Step& step) {
  const double last =
      fleet_.control(word(step, 1), "/control/counts", "{}")->getValue<double>("lastStartMs");
  const double late = last - marks_.at(step.option("after", ""));
  std::cout << "    last new work " << std::max(0.0, late) << " ms after the source" << std::endl;
  require(late <= step.number("within", 0), "new work came " + number(late) + " ms after");
}

/// From here to the end no daemon may ever show a lower revision than before.
void Runner::neverLower(const Step& step) {
  if (step.words.size() == 1) {
    watching_ = true;
    revisionWatch_ = std::thread([this] { watchRevisions(); });
    return;
  }
  watching_ = false;
  revisionWatch_.join();
  require(revisionFell_.empty(), revisionFell_);
}

void Runner::watchRevisions() {
  std::map<std::string, double> highest;
  while (watching_) {
    for (Node* node : fleet_.all(Kind::daemon)) {
      const JsonObject status = parse(fleet_.operatorGet(node->name, "/status"));
      if (!status || !status->has("settingsRevision")) continue;
      // A restarted daemon begins without a revision: it is another incarnation.
      const std::string life =
          node->name + "#" + status->getObject("daemon")->get("incarnation").toString();
      const auto seen = status->getValue<double>("settingsRevision");
      if (seen < highest[life]) revisionFell_ = life + " fell to " + number(seen);
      highest[life] = std::max(highest[life], seen);
    }
    std::this_thread::sleep_for(Millis(20));
  }
}

}  // namespace Scenario
