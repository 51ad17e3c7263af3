// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/Runner.h"

#include <Poco/Net/SocketAddress.h>
#include <absl/strings/str_cat.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "Hallchute/src/Settings/JsonTree.h"
#include "test/scenario/Wait.h"

namespace Scenario {
namespace {

using Hallchute::JsonObject;
using Hallchute::jsonText;
using Hallchute::Millis;

constexpr int kDefaultLimitMs = 30'000;

void require(bool holds, const std::string& what) {
  if (!holds) throw std::runtime_error(what);
}

const std::string& word(const Step& step, std::size_t index) {
  require(step.words.size() > index, "a word is missing");
  return step.words[index];
}

JsonObject parse(const std::string& text) {
  Hallchute::Findings findings;
  return Hallchute::parseJsonObject(text, findings);
}

bool compare(double left, const std::string& comparison, double right) {
  if (comparison == "<=") return left <= right;
  if (comparison == ">=") return left >= right;
  if (comparison == "==") return left == right;
  if (comparison == "<") return left < right;
  if (comparison == ">") return left > right;
  throw std::runtime_error("no such comparison: " + comparison);
}

std::string number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

/// Turns `name=value` pairs into JSON: numbers and true/false as such, else strings.
std::string jsonOf(const std::map<std::string, std::string>& options) {
  std::string text = "{";
  for (const auto& [name, value] : options) {
    const bool bare = value == "true" || value == "false" ||
                      value.find_first_not_of("-0123456789") == std::string::npos;
    text +=
        (text.size() > 1 ? "," : "") + ("\"" + name + "\":") + (bare ? value : "\"" + value + "\"");
  }
  return text + "}";
}

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Runner::Runner(std::string binaries, std::string work)
    : fleet_(std::move(binaries), std::move(work)) {}

Runner::~Runner() {
  watching_ = false;
  if (revisionWatch_.joinable()) revisionWatch_.join();
  // Callers whose daemons are gone come to an end: their connections close.
  for (Node* node : fleet_.all(Kind::daemon)) {
    if (node->process) node->process->kill();
  }
  for (std::thread& thread : later_) thread.join();
  for (std::thread& thread : applying_) thread.join();
}

const std::map<std::string, Runner::Verb>& Runner::verbs() {
  static const std::map<std::string, Verb> kVerbs{
      {"domains", &Runner::domains},
      {"daemons", &Runner::daemons},
      {"engines", &Runner::engines},
      {"plain", &Runner::plain},
      {"links", &Runner::links},
      {"start", &Runner::startVerb},
      {"kill", &Runner::kill},
      {"stop", &Runner::stop},
      {"freeze", &Runner::freeze},
      {"thaw", &Runner::thaw},
      {"cut", &Runner::cut},
      {"heal", &Runner::heal},
      {"platform", &Runner::platformFault},
      {"fault", &Runner::fault},
      {"notice", &Runner::notice},
      {"own-word", &Runner::ownWord},
      {"host-list", &Runner::hostList},
      {"operator-leave", &Runner::operatorLeave},
      {"drain", &Runner::drain},
      {"send", &Runner::send},
      {"apply", &Runner::apply},
      {"cli", &Runner::cli},
      {"run", &Runner::runProgram},
      {"raw", &Runner::raw},
      {"mark", &Runner::mark},
      {"storm", &Runner::storm},
      {"expect", &Runner::expect},
      {"show", &Runner::show},
      {"eventually", &Runner::eventually},
      {"started", &Runner::started},
      {"no-new-work", &Runner::noNewWork},
      {"never-lower", &Runner::neverLower},
  };
  return kVerbs;
}

void Runner::run(const std::vector<Step>& steps) {
  for (const Step& step : steps) {
    const std::string place = step.file + ":" + std::to_string(step.line) + ": ";
    std::cout << "  " << step.text << std::endl;
    const auto it = verbs().find(word(step, 0));
    if (it == verbs().end()) throw std::runtime_error(place + "no such verb: " + step.words[0]);
    try {
      (this->*it->second)(step);
    } catch (const std::exception& e) {
      throw std::runtime_error(place + e.what());
    }
  }
}

// The fleet.

void Runner::domains(const Step& step) {
  fleet_.domains.assign(step.words.begin() + 1, step.words.end());
}

void Runner::daemons(const Step& step) {
  fleet_.daemonsPerDomain = std::stoi(word(step, 1));
}

void Runner::engines(const Step& step) {
  ServicePlan plan{word(step, 1), true, std::stoi(word(step, 2)), {}};
  for (const auto& [name, value] : step.options)
    plan.flags.push_back(absl::StrCat(name, "=", value));
  fleet_.services.push_back(std::move(plan));
}

void Runner::plain(const Step& step) {
  fleet_.services.push_back({word(step, 1), false, std::stoi(word(step, 2)), {}});
}

void Runner::links(const Step&) {
  fleet_.links = true;
}

void Runner::startVerb(const Step& step) {
  if (step.words.size() == 1) {
    fleet_.start();
  } else {
    fleet_.startNode(fleet_.node(word(step, 1)));
  }
}

// What fails.

void Runner::kill(const Step& step) {
  fleet_.kill(word(step, 1));
}

void Runner::stop(const Step& step) {
  fleet_.node(word(step, 1)).process->signal(SIGTERM);
}

void Runner::freeze(const Step& step) {
  fleet_.node(word(step, 1)).process->signal(SIGSTOP);
}

void Runner::thaw(const Step& step) {
  fleet_.node(word(step, 1)).process->signal(SIGCONT);
}

void Runner::cut(const Step& step) {
  JsonObject json = new Poco::JSON::Object;
  json->set("a", fleet_.placeOf(word(step, 1)));
  json->set("b", fleet_.placeOf(word(step, 2)));
  fleet_.control("link", "/control/cut", jsonText(json));
}

void Runner::heal(const Step&) {
  fleet_.control("link", "/control/heal", "{}");
}

void Runner::platformFault(const Step& step) {
  fleet_.control("platform", "/control/faults", jsonOf(step.options));
}

void Runner::fault(const Step& step) {
  fleet_.control(word(step, 1), "/control/faults", jsonOf(step.options));
}

/// The process dies when its time is up, whether it was ready or not.
void Runner::leaveAt(const std::string& name, int inMs) {
  later_.emplace_back([this, name, inMs] {
    std::this_thread::sleep_for(Millis(inMs));
    fleet_.kill(name);
  });
}

void Runner::notice(const Step& step) {
  const int inMs = step.number("in", 5'000);
  for (std::size_t i = 1; i < step.words.size(); ++i) {
    JsonObject json = new Poco::JSON::Object;
    json->set("host", step.words[i]);
    json->set("inMs", inMs);
    fleet_.control("platform", "/control/notice", jsonText(json));
    if (step.option("die", "true") == "true") leaveAt(step.words[i], inMs);
  }
}

void Runner::ownWord(const Step& step) {
  JsonObject json = new Poco::JSON::Object;
  json->set("inMs", step.number("in", 5'000));
  json->set("die", step.option("die", "true") == "true");
  fleet_.control(word(step, 1), "/control/leave", jsonText(json));
}

void Runner::hostList(const Step& step) {
  if (word(step, 1) == "leaving") {
    fleet_.listHost(fleet_.node(word(step, 2)), step.number("in", 5'000));
    return;
  }
  require(word(step, 1) == "remove", "host-list leaving|remove NAME");
  Poco::JSON::Array::Ptr gone = new Poco::JSON::Array;
  gone->add(word(step, 2));
  JsonObject json = new Poco::JSON::Object;
  json->set("remove", gone);
  fleet_.control("platform", "/control/hosts", jsonText(json));
}

void Runner::operatorLeave(const Step& step) {
  const auto [status, body] = fleet_.operatorPost(
      step.option("via", ""),
      "/upstreams/" + word(step, 1) + "/leave?inMs=" + step.option("in", "5000"), "");
  require(status == 202, "the daemon answered " + std::to_string(status));
}

void Runner::drain(const Step& step) {
  const auto [status, body] = fleet_.operatorPost(word(step, 1), "/drain", "");
  require(status == 202, "the daemon answered " + std::to_string(status));
}

// What is asked.

CallPlan Runner::planCall(const Step& step, int number) {
  CallPlan plan;
  plan.kind = word(step, 1);
  require(plan.kind == "chat" || plan.kind == "order", "send chat|order ID");
  std::stringstream via(step.option("via", ""));
  for (std::string name; std::getline(via, name, ',');) {
    plan.daemons.push_back(fleet_.node(name).address);
  }
  require(!plan.daemons.empty(), "via=DAEMON is missing");
  const auto spread =
      static_cast<std::ptrdiff_t>(static_cast<std::size_t>(number) % plan.daemons.size());
  if (step.option("spread", "") == "true") {
    std::rotate(plan.daemons.begin(), plan.daemons.begin() + spread, plan.daemons.end());
  }
  plan.token = step.option("token", kCallerToken);
  for (const ServicePlan& service : fleet_.services) {
    if (plan.service.empty() && service.model == (plan.kind == "chat")) plan.service = service.name;
  }
  plan.service = step.option("service", plan.service);
  plan.workClass = step.option("class", "");
  plan.prompt = step.option("prompt", "caption " + word(step, 2)) + " " + std::to_string(number);
  for (int i = 0; i < step.number("prompt_words", 0); ++i) plan.prompt += " p" + std::to_string(i);
  plan.tokens = static_cast<std::size_t>(step.number("tokens", 20));
  plan.stream = step.option("stream", "true") == "true";
  plan.async = step.option("async", "false") == "true";
  plan.follow = step.option("follow", "false") == "true";
  plan.retry = step.option("retry", "false") == "true";
  plan.key = step.option("key", "");
  plan.body = step.option("body", "{\"pages\":40}");
  return plan;
}

void Runner::send(const Step& step) {
  const int count = step.number("count", 1);
  auto& callers = callers_[word(step, 2)];
  for (int i = 0; i < count; ++i) callers.push_back(std::make_unique<Caller>(planCall(step, i)));
}

void Runner::apply(const Step& step) {
  const std::string id = word(step, 1);
  const std::string body = "{\"author\":\"" + id +
                           "\",\"reason\":\"scenario\",\"patch\":" + step.option("patch", "{}") +
                           ",\"baseRevision\":" + step.option("base", "0") + "}";
  const std::string via = step.option("via", "");
  const bool retry = step.option("retry", "false") == "true";
  const auto ask = [this, id, via, body, retry] {
    constexpr int kUnavailable = 503;
    auto answer = fleet_.operatorPost(via, "/settings", body);
    while (retry && answer.first == kUnavailable) {
      std::this_thread::sleep_for(Millis(50));
      answer = fleet_.operatorPost(via, "/settings", body);
    }
    const std::lock_guard lock(mutex_);
    applied_[id] = answer;
  };
  if (step.option("wait", "true") == "true") {
    ask();
  } else {
    applying_.emplace_back(ask);
  }
}

void Runner::cli(const Step& step) {
  std::string command = fleet_.binaries() + "/hallchute";
  for (std::size_t i = 2; i < step.words.size(); ++i) command += " '" + step.words[i] + "'";
  for (const auto& [name, value] : step.options)
    absl::StrAppend(&command, " '--", name, "=", value, "'");
  command += " --operator=" + fleet_.node(word(step, 1)).operatorAddress +
             " --token=" + kOperatorToken + " 2>&1";
  std::cout << std::flush;
  const int status = std::system(command.c_str());  // NOLINT(cert-env33-c): the scenario's own text
  require(status == 0, "the command ended with status " + std::to_string(status));
}

/// Puts the address of a process in the place of its name in braces.
std::string Runner::withAddresses(std::string text) {
  for (std::size_t open = text.find('{'); open != std::string::npos; open = text.find('{')) {
    const std::size_t close = text.find('}', open);
    require(close != std::string::npos, "a brace is not closed");
    const std::string name = text.substr(open + 1, close - open - 1);
    text.replace(open, close - open + 1, fleet_.node(name).address);
  }
  return text;
}

/// `run PROGRAM flag=value ..`: a program of the build, with {NAME} for addresses.
void Runner::runProgram(const Step& step) {
  std::string command = absl::StrCat(fleet_.binaries(), "/", word(step, 1));
  for (const auto& [name, value] : step.options) {
    absl::StrAppend(&command, " '--", name, "=", withAddresses(value), "'");
  }
  const int status = std::system(command.c_str());  // NOLINT(cert-env33-c): the scenario's own text
  require(status == 0, "the command ended with status " + std::to_string(status));
}

/// `raw DAEMON text=LINE [header=..] [length=N] [body=..] status=N`: sends these bytes and reads
/// the status; status 0 opens `count` connections that stay silent.
void Runner::raw(const Step& step) {
  const Poco::Net::SocketAddress address(fleet_.node(word(step, 1)).address);
  const int expected = step.number("status", 0);
  if (expected == 0) {
    for (int i = 0; i < step.number("count", 1); ++i) silent_.emplace_back(address);
    return;
  }
  const std::string body = step.option("body", "");
  std::string text = step.option("text", "") + "\r\nHost: x\r\n";
  if (step.options.contains("header")) text += step.option("header", "") + "\r\n";
  text +=
      "Content-Length: " + step.option("length", std::to_string(body.size())) + "\r\n\r\n" + body;
  Poco::Net::StreamSocket socket(address);
  socket.setReceiveTimeout(Poco::Timespan(5, 0));
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
  std::string answer(64, ' ');
  const int got = socket.receiveBytes(answer.data(), static_cast<int>(answer.size()));
  answer.resize(static_cast<std::size_t>(std::max(got, 0)));
  require(answer.find(" " + std::to_string(expected) + " ") != std::string::npos, answer);
}

void Runner::mark(const Step& step) {
  marks_[word(step, 1)] = value(step, 2);
}

// What must hold.

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

/// `started ID tokens=N`: every caller of ID has got so many tokens.
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

/// `no-new-work NODE after=MARK within=MS`: the last work began at most so long after the mark.
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
      // A daemon that starts anew begins at nothing: it is another life.
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
