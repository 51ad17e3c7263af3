// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/GatewayFleet.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "test/UnusedAddress.h"

namespace Soak {
namespace {

/// Requests at once of a replica that doesn't say otherwise.
constexpr std::size_t kSlots = 64;

constexpr int kDomains = 3;
constexpr const char* kForeignEntry = "foreign";
constexpr std::size_t kSeeds = 3;
constexpr Millis kStartLimit{20'000};
constexpr Millis kStartPoll{50};
constexpr int kTenths = 10;
/// What a daemon's log has when a sanitizer or the C++ runtime found a fault in it.
constexpr std::array kFaultTexts{"Sanitizer", "runtime error: ", "terminate called"};

Poco::JSON::Array::Ptr splitJson(int sideTenths) {
  Poco::JSON::Array::Ptr split = new Poco::JSON::Array;
  const auto add = [&](const char* service, int weight) {
    if (weight == 0) return;
    Poco::JSON::Object::Ptr part = new Poco::JSON::Object;
    part->set("service", service);
    part->set("weight", weight);
    split->add(part);
  };
  add(GatewayFleet::kService, kTenths - sideTenths);
  add(GatewayFleet::kSideService, sideTenths);
  return split;
}

Poco::JSON::Object::Ptr routeJson(const std::string& name, const std::string& kind,
                                  const FleetSettings& settings) {
  Poco::JSON::Object::Ptr route = new Poco::JSON::Object;
  route->set("name", name);
  route->set("host", GatewayFleet::kRequestHost);
  route->set("path-prefix", "/" + name + "/");
  route->set("kind", kind);
  route->set("split", splitJson(settings.sideTenths));
  route->set("timeout-ms", settings.timeLimit.count());
  route->set("target-latency-ms", 1'000);
  route->set("max-attempts", 2);
  route->set("public", true);
  return route;
}

}  // namespace

GatewayFleet::GatewayFleet(std::string binaries, std::string work, int daemons)
    : binaries_(std::move(binaries)),
      work_(std::move(work)),
      storeServer_("127.0.0.1:0", [this](const Standin::Request& request,
                                         Poco::Net::HTTPServerResponse& response) {
        if (storeAway_ || isCutFromStore(request.raw.clientAddress().host().toString())) {
          Standin::hangUp(request);
          return;
        }
        store_.handle(request, response);
      }) {
  // Runners at the same time must not share addresses.
  const std::string net = absl::StrCat("127.", 1 + static_cast<unsigned>(getpid()) % 253, ".");
  std::vector<std::string> peers;
  for (int i = 0; i < daemons; ++i) {
    GatewayProcess daemon;
    daemon.name = absl::StrCat("gateway-", i);
    daemon.ip = absl::StrCat(net, i / 200, ".", 1 + i % 200);
    daemon.callers = Hallchute::newAddress(daemon.ip);
    peers.push_back(Hallchute::newAddress(daemon.ip));
    daemon.command = {binaries_ + "/hallchute", "gateway",
                      absl::StrCat("--config=", work_, "/", daemon.name, ".json")};
    daemons_.push_back(std::move(daemon));
  }
  Poco::JSON::Array::Ptr seeds = new Poco::JSON::Array;
  for (std::size_t i = 0; i < std::min(kSeeds, peers.size()); ++i) seeds->add(peers[i]);
  std::ostringstream seedText;
  seeds->stringify(seedText);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    writeStartup(daemons_[i], peers[i], seedText.str(), static_cast<int>(i) % kDomains);
  }
  writeSettings({});
}

GatewayFleet::~GatewayFleet() {
  if (unreadPipe_ >= 0) close(unreadPipe_);
}

void GatewayFleet::leaveOutputUnread() {
  constexpr mode_t kMode = 0600;
  if (mkfifo(pipePath().c_str(), kMode) == 0) {
    unreadPipe_ = open(pipePath().c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
  }
  if (unreadPipe_ < 0) throw std::runtime_error("can't make " + pipePath());
  while (write(unreadPipe_, "\n", 1) == 1) continue;
}

void GatewayFleet::writeSettings(const FleetSettings& settings) {
  Poco::JSON::Array::Ptr routes = new Poco::JSON::Array;
  routes->add(routeJson("run", "safe", settings));
  routes->add(routeJson("once", "unsafe", settings));
  Poco::JSON::Object::Ptr stream = routeJson("stream", "streaming", settings);
  stream->set("resumable", true);
  stream->set("gap-aim-ms", 500);
  routes->add(stream);
  for (int i = 0; i < settings.otherRoutes; ++i) {
    routes->add(routeJson(absl::StrCat("other-", i), "safe", settings));
  }
  Poco::JSON::Array::Ptr services = new Poco::JSON::Array;
  for (const char* name : {kService, kSideService}) {
    Poco::JSON::Object::Ptr service = new Poco::JSON::Object;
    service->set("name", name);
    service->set("max-connections", 600);
    services->add(service);
  }
  Poco::JSON::Array::Ptr tenants = new Poco::JSON::Array;
  for (int i = 0; i < settings.tenants; ++i) {
    Poco::JSON::Array::Ptr keys = new Poco::JSON::Array;
    keys->add(absl::StrCat("key-", i));
    Poco::JSON::Object::Ptr tenant = new Poco::JSON::Object;
    tenant->set("name", absl::StrCat("tenant-", i));
    tenant->set("api-keys", keys);
    tenants->add(tenant);
  }
  Poco::JSON::Object::Ptr spec = new Poco::JSON::Object;
  spec->set("version", settings.version);
  spec->set("routes", routes);
  spec->set("services", services);
  spec->set("tenants", tenants);
  if (settings.idleTime) {
    Poco::JSON::Object::Ptr limits = new Poco::JSON::Object;
    limits->set("idle-timeout-ms", settings.idleTime->count());
    spec->set("limits", limits);
  }
  store_.put("config", "main", spec);
}

void GatewayFleet::writeStartup(const GatewayProcess& daemon, const std::string& peers,
                                const std::string& seeds, int domain) const {
  const std::string store = storeServer_.address();
  std::ofstream(absl::StrCat(work_, "/", daemon.name, ".json")) << absl::StrCat(
      R"({"daemon":")", daemon.name, R"(","failureDomain":"domain-)", domain, R"(","ip":")",
      daemon.ip, R"(","seeds":)", seeds, R"(,"listen":{"callers":")", daemon.callers,
      R"(","readiness":")", Hallchute::newAddress(daemon.ip), R"(","peers":")", peers,
      R"("},"store":{"address":")", store, R"("},"duties":{"address":")", store,
      R"(","usage":true},"bounds":{"contactMs":)", kContact.count(), R"(,"retrySlack":50}})");
}

bool GatewayFleet::ready(const GatewayProcess& daemon) const {
  Hallchute::HttpExchange exchange({daemon.callers, "", Millis(500), Millis(2'000)});
  Hallchute::HttpRequest request;
  request.method = "POST";
  request.target = "/run/start";
  request.headers = {{"Host", kRequestHost}, {"Hallchute-Attempt-Id", "start"}};
  const auto result = exchange.run(request);
  const auto* answer = std::get_if<Hallchute::HttpResponse>(&result);
  return answer != nullptr && answer->status == 200;
}

void GatewayFleet::start() {
  for (std::size_t i = 0; i < daemons_.size(); ++i) startDaemon(i);
  const auto limit = Clock::now() + kStartLimit;
  for (const GatewayProcess& daemon : daemons_) {
    while (!ready(daemon)) {
      if (Clock::now() > limit) throw std::runtime_error(daemon.name + " is not ready");
      std::this_thread::sleep_for(kStartPoll);
    }
  }
}

void GatewayFleet::noteDisturbed(std::size_t index) {
  disturbances_.push_back({daemons_[index].ip, Clock::now()});
}

void GatewayFleet::startDaemon(std::size_t index) {
  GatewayProcess& daemon = daemons_[index];
  noteIfEnded(daemon);
  daemon.stopping = false;
  daemon.killed = false;
  const std::string log = absl::StrCat(work_, "/", daemon.name, ".log");
  daemon.process =
      std::make_unique<Scenario::ChildProcess>(daemon.command, unreadPipe_ < 0 ? log : pipePath());
  noteDisturbed(index);
}

void GatewayFleet::kill(std::size_t index) {
  noteIfEnded(daemons_[index]);
  daemons_[index].process->kill();
  daemons_[index].killed = true;
  noteDisturbed(index);
}

void GatewayFleet::stop(std::size_t index) {
  daemons_[index].process->signal(SIGTERM);
  daemons_[index].stopping = true;
  noteDisturbed(index);
}

bool GatewayFleet::stopped(std::size_t index) {
  return daemons_[index].stopping && !daemons_[index].process->running();
}

void GatewayFleet::noteIfEnded(const GatewayProcess& daemon) {
  const std::optional<int> code = daemon.process ? daemon.process->exitCode() : std::nullopt;
  if (!code || daemon.killed || (daemon.stopping && *code == 0)) return;
  const std::string how = daemon.stopping ? "ended after a stop" : "ended by itself";
  endedByThemselves_.push_back(absl::StrCat(daemon.name, " ", how, ": exit code ", *code));
}

bool GatewayFleet::noneEndedByItself() {
  for (const GatewayProcess& daemon : daemons_) {
    noteIfEnded(daemon);
    std::ifstream log(absl::StrCat(work_, "/", daemon.name, ".log"));
    for (std::string line; std::getline(log, line);) {
      const bool fault = std::any_of(kFaultTexts.begin(), kFaultTexts.end(), [&](const char* text) {
        return line.find(text) != std::string::npos;
      });
      if (fault) endedByThemselves_.push_back(absl::StrCat(daemon.name, ": ", line));
    }
  }
  for (const std::string& what : endedByThemselves_) std::cout << what << "\n";
  std::cout << endedByThemselves_.size() << " faults of daemons\n";
  return endedByThemselves_.empty();
}

void GatewayFleet::suspend(std::size_t index) {
  daemons_[index].process->signal(SIGSTOP);
  noteDisturbed(index);
}

void GatewayFleet::resume(std::size_t index) {
  daemons_[index].process->signal(SIGCONT);
  noteDisturbed(index);
}

void GatewayFleet::reload(std::size_t index) {
  if (inContact(daemons_[index].ip, Clock::now())) daemons_[index].process->signal(SIGHUP);
}

Standin::ReplicaStandin& GatewayFleet::addReplica(Millis workTime, const std::string& version,
                                                  const Standin::BrittleRoom& room,
                                                  const std::string& service) {
  const std::string id = absl::StrCat("replica-", replicas_.size());
  replicas_.push_back(std::make_unique<Standin::ReplicaStandin>(id, workTime, version));
  replicas_.back()->makeBrittle(room);
  Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
  entry->set("service", service);
  entry->set("address", replicas_.back()->address());
  entry->set("zone", absl::StrCat("domain-", replicas_.size() % kDomains));
  entry->set("version", version);
  entry->set("slots", static_cast<int>(room.slots > 0 ? room.slots : kSlots));
  entry->set("state", "ready");
  entry->set("cold-remaining-ms", 0);
  entry->set("sequence", 1);
  store_.put("servers", id, entry);
  return *replicas_.back();
}

void GatewayFleet::cutFromStore(std::size_t index, bool cut) {
  const std::lock_guard lock(cutMutex_);
  const std::string& ip = daemons_[index].ip;
  if (cut) {
    cutFromStore_.insert(ip);
  } else {
    cutFromStore_.erase(ip);
  }
}

bool GatewayFleet::isCutFromStore(const std::string& ip) const {
  const std::lock_guard lock(cutMutex_);
  return cutFromStore_.contains(ip);
}

void GatewayFleet::listForeignEntry(const Poco::JSON::Object::Ptr& entry) {
  store_.put("servers", kForeignEntry, entry);
}

void GatewayFleet::unlistForeignEntry() {
  store_.remove("servers", kForeignEntry);
}

void GatewayFleet::unlist(const Standin::ReplicaStandin& replica) {
  store_.remove("servers", replica.id());
}

std::vector<Standin::Arrival> GatewayFleet::arrivals() const {
  std::vector<Standin::Arrival> all;
  for (const auto& replica : replicas_) {
    const std::vector<Standin::Arrival> arrivals = replica->arrivals();
    all.insert(all.end(), arrivals.begin(), arrivals.end());
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
  return all;
}

bool GatewayFleet::inContact(const std::string& ip, Clock::time_point time) const {
  return std::none_of(disturbances_.begin(), disturbances_.end(), [&](const Disturbance& d) {
    return d.ip == ip && d.at <= time && time - d.at < kContact;
  });
}

}  // namespace Soak
