// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/Fleet.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Net/HttpExchange.h"
#include "test/UnusedAddress.h"
#include "test/scenario/Wait.h"

namespace Scenario {
namespace {

using Hallchute::HttpExchange;
using Hallchute::HttpRequest;
using Hallchute::HttpResponse;
using Hallchute::JsonObject;
using Hallchute::jsonText;
using Hallchute::Millis;

constexpr Millis kCallLimit{5'000};
constexpr Millis kStartLimit{20'000};
/// The smallest machine of any deployment.
constexpr int kMemoryMb = 120;
constexpr int kHostsPerNet = 250;

}  // namespace

Fleet::Fleet(std::string binaries, std::string work)
    : binaries_(std::move(binaries)), work_(std::move(work)) {
  // Concurrent runners must not share addresses.
  const auto pid = static_cast<unsigned>(getpid());
  net_ = "127." + std::to_string(1 + pid % 253) + ".";
}

Fleet::~Fleet() = default;

Node& Fleet::add(const std::string& name, Kind kind, const std::string& domain) {
  Node node;
  node.name = name;
  node.kind = kind;
  node.domain = domain;
  std::size_t net = 0;
  for (std::size_t i = 0; i < domains.size(); ++i) {
    if (domains[i] == domain) net = i + 1;
  }
  node.ip = net_ + std::to_string(net) + "." + std::to_string(1 + nextHost_++ % kHostsPerNet);
  node.address = Hallchute::newAddress(node.ip);
  node.reached = node.address;
  return nodes_[name] = std::move(node);
}

std::string Fleet::placeOf(const std::string& name) const {
  for (std::size_t i = 0; i < domains.size(); ++i) {
    if (domains[i] == name) return net_ + std::to_string(i + 1) + ".";
  }
  return net_ + "0.";
}

void Fleet::plan() {
  const std::string standin = binaries_ + "/hallchute-standin";
  Node& platform = add("platform", Kind::platform, "");
  platform.command = {standin, "platform", "--listen=" + platform.address};
  if (links) {
    Node& link = add("link", Kind::link, "");
    link.command = {standin, "link", "--listen=" + link.address};
  }
  for (const std::string& domain : domains) {
    for (const ServicePlan& service : services) {
      for (int i = 1; i <= service.perDomain; ++i) {
        const std::string name = service.name + "-" + domain + "-" + std::to_string(i);
        Node& node = add(name, service.model ? Kind::engine : Kind::plain, domain);
        node.service = service.name;
        node.command = {standin, service.model ? "engine" : "plain", "--listen=" + node.address};
        for (const std::string& flag : service.flags) node.command.push_back("--" + flag);
      }
    }
    for (int i = 1; i <= daemonsPerDomain; ++i) {
      Node& node = add(domain + "-" + std::to_string(i), Kind::daemon, domain);
      node.operatorAddress = Hallchute::newAddress(node.ip);
      node.peerAddress = Hallchute::newAddress(node.ip);
      node.reached = node.peerAddress;
      const std::string config = work_ + "/" + node.name + ".json";
      node.command = {binaries_ + "/hallchute", "serve", "--config=" + config};
    }
  }
}

void Fleet::route(Node& node, const std::string& target) {
  if (!links) return;
  node.reached = Hallchute::newAddress(nodes_.at("link").ip);
  JsonObject json = new Poco::JSON::Object;
  json->set("listen", node.reached);
  json->set("target", target);
  control("link", "/control/route", jsonText(json));
}

void Fleet::start() {
  plan();
  if (links) startNode(node("link"));
  startNode(node("platform"));
  route(node("platform"), node("platform").address);
  for (const Kind kind : {Kind::engine, Kind::plain}) {
    for (Node* upstream : all(kind)) {
      startNode(*upstream);
      route(*upstream, upstream->address);
      listHost(*upstream, -1);
    }
  }
  for (Node* daemon : all(Kind::daemon)) {
    route(*daemon, daemon->peerAddress);
    listHost(*daemon, -1);
  }
  for (Node* daemon : all(Kind::daemon)) {
    writeStartup(*daemon);
    startNode(*daemon);
  }
  applySettings();
  awaitMembers();
}

void Fleet::writeStartup(Node& node) {
  JsonObject callers = new Poco::JSON::Object;
  callers->set("listen", node.address);
  JsonObject operators = new Poco::JSON::Object;
  operators->set("listen", node.operatorAddress);
  operators->set("token", std::string(kOperatorToken));
  JsonObject peers = new Poco::JSON::Object;
  peers->set("listen", node.peerAddress);
  peers->set("advertise", node.reached);
  peers->set("secret", std::string("peer-secret"));
  Poco::JSON::Array::Ptr seeds = new Poco::JSON::Array;
  for (const Node* other : all(Kind::daemon)) {
    if (other->domain == node.domain && other->name != node.name) seeds->add(other->reached);
  }
  peers->set("seeds", seeds);
  JsonObject platform = new Poco::JSON::Object;
  platform->set("address", nodes_.at("platform").reached);
  platform->set("token", std::string("platform-secret"));
  JsonObject json = new Poco::JSON::Object;
  json->set("daemon", node.name);
  json->set("failureDomain", node.domain);
  json->set("memoryMb", kMemoryMb);
  json->set("callers", callers);
  json->set("operators", operators);
  json->set("peers", peers);
  json->set("platform", platform);
  std::ofstream(work_ + "/" + node.name + ".json") << jsonText(json);
}

void Fleet::startNode(Node& node) {
  node.process = std::make_unique<ChildProcess>(node.command, work_ + "/" + node.name + ".log");
  awaitHealth(node);
}

void Fleet::awaitHealth(const Node& node) {
  waitFor(node.name + " to answer", kStartLimit, [&] {
    HttpRequest call;
    call.target = "/healthz";
    HttpExchange exchange({node.address, "", kCallLimit, kCallLimit});
    if (node.kind != Kind::daemon) {
      call.method = "POST";
      call.target = "/control/none";
      call.body = "{}";
    }
    return std::holds_alternative<HttpResponse>(exchange.run(call));
  });
}

std::string Fleet::settingsPatch() const {
  std::string text = R"({"workClasses":{
    "chat":{"priority":8},"history":{"priority":2,"durable":true},
    "patient":{"priority":2},"instant":{"priority":9},
    "order":{"priority":9,"repeatable":false}},"services":{)";
  std::string names;
  const char* separator = "";
  for (const ServicePlan& service : services) {
    text += separator + std::string("\"") + service.name + "\":{\"kind\":\"" +
            (service.model ? "model" : "plain") + "\",\"defaultClass\":\"" +
            (service.model ? "chat" : "instant") + "\"}";
    names += separator + std::string("\"") + service.name + "\"";
    separator = ",";
  }
  text += R"(},"organisations":{"alliance":{"keySha256":[")" + Hallchute::secretHash(kCallerToken) +
          R"("],"services":[)" + names + R"(]},"riverside":{"keySha256":[")" +
          Hallchute::secretHash(kOtherCallerToken) + R"("],"services":[)" + names + "]}}}";
  return text;
}

void Fleet::applySettings() {
  const std::string body =
      R"({"author":"scenario","reason":"first settings","patch":)" + settingsPatch() + "}";
  const std::string first = all(Kind::daemon).front()->name;
  const auto [status, answer] = operatorPost(first, "/settings", body);
  if (status != 200) throw std::runtime_error("the first settings were not accepted: " + answer);
}

void Fleet::awaitMembers() {
  const auto daemons = all(Kind::daemon);
  std::size_t upstreams = all(Kind::engine).size() + all(Kind::plain).size();
  for (const Node* daemon : daemons) {
    waitFor(daemon->name + " to see the whole fleet", kStartLimit, [&] {
      Hallchute::Findings findings;
      const JsonObject status =
          Hallchute::parseJsonObject(operatorGet(daemon->name, "/status"), findings);
      return status && status->getArray("members")->size() + 1 == daemons.size() &&
             status->getArray("upstreams")->size() == upstreams &&
             status->getValue<int>("settingsRevision") >= 1;
    });
  }
}

Node& Fleet::node(const std::string& name) {
  const auto it = nodes_.find(name);
  if (it == nodes_.end()) throw std::runtime_error("there is no process called " + name);
  return it->second;
}

std::vector<Node*> Fleet::all(Kind kind) {
  std::vector<Node*> found;
  for (auto& [name, node] : nodes_) {
    if (node.kind == kind) found.push_back(&node);
  }
  return found;
}

void Fleet::kill(const std::string& name) {
  if (node(name).process) node(name).process->kill();
}

JsonObject Fleet::control(const std::string& name, const std::string& path,
                          const std::string& json) {
  HttpExchange exchange({node(name).address, "", kCallLimit, kCallLimit});
  const auto result = exchange.run({"POST", path, "application/json", json, {}});
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) throw std::runtime_error(name + " gives no answer at " + path);
  Hallchute::Findings findings;
  return Hallchute::parseJsonObject(answer->body, findings);
}

std::string Fleet::operatorGet(const std::string& name, const std::string& path) {
  HttpExchange exchange({node(name).operatorAddress, "", kCallLimit, kCallLimit});
  HttpRequest call;
  call.target = path;
  call.headers.emplace_back("Authorization", std::string("Bearer ") + kOperatorToken);
  const auto result = exchange.run(call);
  const auto* answer = std::get_if<HttpResponse>(&result);
  return answer != nullptr ? answer->body : "{}";
}

std::pair<int, std::string> Fleet::operatorPost(const std::string& name, const std::string& path,
                                                const std::string& body) {
  HttpExchange exchange({node(name).operatorAddress, "", kCallLimit, kCallLimit});
  HttpRequest call{"POST", path, "application/json", body, {}};
  call.headers.emplace_back("Authorization", std::string("Bearer ") + kOperatorToken);
  const auto result = exchange.run(call);
  const auto* answer = std::get_if<HttpResponse>(&result);
  return answer != nullptr ? std::pair(answer->status, answer->body) : std::pair(0, std::string());
}

void Fleet::listHost(const Node& node, int leavesInMs) {
  JsonObject host = new Poco::JSON::Object;
  host->set("host", node.name);
  host->set("role", std::string(node.kind == Kind::daemon ? "entry" : "upstream"));
  host->set("failureDomain", node.domain);
  host->set("address", node.reached);
  if (node.kind != Kind::daemon) host->set("service", node.service);
  if (leavesInMs >= 0) host->set("leavesInMs", leavesInMs);
  Poco::JSON::Array::Ptr set = new Poco::JSON::Array;
  set->add(host);
  JsonObject json = new Poco::JSON::Object;
  json->set("set", set);
  control("platform", "/control/hosts", jsonText(json));
}

}  // namespace Scenario
