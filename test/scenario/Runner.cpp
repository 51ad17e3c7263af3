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
#include "test/scenario/StepTools.h"

namespace Scenario {
namespace {

using Hallchute::JsonObject;
using Hallchute::jsonText;
using Hallchute::Millis;

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

}  // namespace

Runner::Runner(std::string binaries, std::string work)
    : fleet_(std::move(binaries), std::move(work)) {}

Runner::~Runner() {
  watching_ = false;
  if (revisionWatch_.joinable()) revisionWatch_.join();
  // Callers end when their daemons are killed: their connections close.
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
      {"crowd", &Runner::crowd},
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

// Faults.

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

/// Kills the process after \p inMs, whether it is ready or not.
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

// Requests.

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

/// Replaces the name of a process in braces by its address.
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

/// `crowd DAEMON clients=N bytes=B`: requests that stop one byte short of the end of their body and
/// stay open until the script ends. `memory-mb` is what they cost the daemon at most.
void Runner::crowd(const Step& step) {
  const Node& daemon = fleet_.node(word(step, 1));
  const auto bytes = static_cast<std::size_t>(step.number("bytes", 0));
  memory_ = std::make_unique<TestSupport::MemoryWatch>(
      daemon.process->id(), std::vector<int>{Poco::Net::SocketAddress(daemon.address).port()});
  const std::string head =
      absl::StrCat("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ",
                   kCallerToken, "\r\nContent-Length: ", bytes, "\r\n\r\n");
  crowds_.push_back(std::make_unique<TestSupport::ClientCrowd>(
      daemon.address, static_cast<std::size_t>(step.number("clients", 1)),
      TestSupport::ClientScript{head, std::string(bytes - 1, 'a'), 1}));
  crowds_.back()->awaitSent();
}

void Runner::mark(const Step& step) {
  marks_[word(step, 1)] = value(step, 2);
}

}  // namespace Scenario
