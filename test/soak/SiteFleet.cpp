// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/SiteFleet.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <absl/strings/str_cat.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "test/UnusedAddress.h"
#include "test/soak/SettingsTemplate.h"

namespace Soak {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr std::chrono::microseconds kLinkDelay{1'400};
constexpr Millis kHeartbeat{1'200};
/// A process that is throttled runs for the first part of each period.
constexpr Millis kThrottledRun{25};
constexpr Millis kThrottledPause{75};
constexpr Millis kAskLimit{100};
constexpr Millis kPlainWork{15};
constexpr Millis kFirstEvent{60};
/// Runs with other seeds take other addresses where they can.
constexpr std::size_t kSeedAddresses = 200;
constexpr std::size_t kSeeds = 3;
/// Tokens a second of all requests of the smaller fleet, for each tenant by its part of them, with
/// the room that its quota leaves.
constexpr double kTokensPerSecond = 110'000;
constexpr double kQuotaRoom = 1.8;
constexpr double kLeastQuota = 18'000;
constexpr std::array<double, SiteFleet::kTenants> kTenantParts{0.4, 0.25, 0.15, 0.1, 0.1};
constexpr std::size_t kSmallerFleet = 6;
constexpr double kLargerSize = 1.48;

constexpr const char* kBounds =
    R"({"contact-ms":3000,"drain-ms":2000,"grace-s":8,"config-ms":2000,"lease-ms":3000,
"retry-budget":0.2,"budget-window-s":10,"budget-slack":52,"quota-window-s":8,"quota-over":0.1,
"quota-slack":72000,"window-s":5,"usage-late-s":10})";
constexpr const char* kRoutes =
    R"([{"name":"long","path-prefix":"/stream/long/","kind":"streaming","service":"engines",
"timeout-ms":8000,"target-latency-ms":1200,"gap-aim-ms":500,"max-attempts":3,"resumable":true,
"sticky":true,"priority":1},
{"name":"middle","path-prefix":"/stream/middle/","kind":"streaming","service":"engines",
"timeout-ms":4000,"target-latency-ms":1000,"gap-aim-ms":500,"max-attempts":3,"resumable":true,
"sticky":true,"priority":1},
{"name":"chat","path-prefix":"/stream/chat/","kind":"streaming","service":"engines",
"timeout-ms":15000,"target-latency-ms":800,"gap-aim-ms":500,"max-attempts":3,"resumable":true,
"sticky":true,"priority":0},
{"name":"order","path-prefix":"/order/","kind":"unsafe","service":"plain","timeout-ms":600,
"target-latency-ms":100,"max-attempts":3,"priority":0},
{"name":"look","path-prefix":"/look/","kind":"safe","service":"plain","timeout-ms":600,
"target-latency-ms":100,"max-attempts":3,"priority":0}])";
constexpr const char* kServices =
    R"([{"name":"engines","max-connections":610,"engine":{"slots":128,"kv-capacity":264479}},
{"name":"plain","max-connections":96}])";

Poco::Dynamic::Var parsed(const char* text) {
  return Poco::JSON::Parser().parse(text);
}

std::string zoneName(std::size_t zone) {
  return absl::StrCat("zone-", zone);
}

/// Zones of 3, 2 and 1 daemons, or 3, 3 and 2.
std::size_t zoneOf(std::size_t daemon, std::size_t daemons) {
  if (daemon < 3) return 0;
  return daemon < (daemons > kSmallerFleet ? 6 : 5) ? 1 : 2;
}

}  // namespace

SiteFleet::SiteFleet(std::string binaries, std::string work, int daemons, unsigned seed)
    : binaries_(std::move(binaries)),
      work_(std::move(work)),
      // Runners at the same time must not share addresses.
      net_(absl::StrCat("127.", 1 + static_cast<unsigned>(getpid()) % 253)),
      storeServer_(
          net_ + ".250.1:0",
          [this](const Standin::Request& request, Poco::Net::HTTPServerResponse& response) {
            std::this_thread::sleep_for(Millis(storeDelayMs_));
            if (storeFails_) {
              Standin::sendJson(response, 503, new Object);
            } else {
              store_.handle(request, response);
            }
          }),
      link_(*new Standin::LinkStandin(kLinkDelay)),
      storeLink_(link_.addRoute(net_ + ".251.1:0", storeServer_.address())),
      daemons_(static_cast<std::size_t>(daemons)) {
  std::ostringstream text;
  text << std::ifstream("deploy/gateway.json").rdbuf();
  text_ = text.str();
  if (text_.empty()) throw std::runtime_error("no deploy/gateway.json: not run in the repository");
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    SiteDaemon& daemon = daemons_[i];
    daemon.name = absl::StrCat("front-", i + 1);
    daemon.zone = zoneOf(i, daemons_.size());
    daemon.ip = absl::StrCat(net_, ".", 1 + daemon.zone, ".", 1 + i + seed % kSeedAddresses);
    daemon.front = Hallchute::newAddress(daemon.ip);
    daemon.readiness = Hallchute::newAddress(daemon.ip);
    daemon.control = Hallchute::newAddress(daemon.ip);
    daemon.frontLink = link_.addRoute(net_ + ".251.1:0", daemon.front);
    daemon.readinessLink = link_.addRoute(net_ + ".251.1:0", daemon.readiness);
  }
  writeOperatorSettings();
  addReplicas("engines", 9, kFirstEvent);
  addReplicas("plain", 3, kPlainWork);
  heartbeats_ = std::thread([this] { tendReplicas(); });
  throttler_ = std::thread([this] { throttleInTurn(); });
}

SiteFleet::~SiteFleet() {
  stopping_ = true;
  heartbeats_.join();
  throttler_.join();
  daemons_.clear();
}

void SiteFleet::writeOperatorSettings() {
  const Array::Ptr routes = parsed(kRoutes).extract<Array::Ptr>();
  for (std::size_t i = 0; i < routes->size(); ++i) {
    routes->getObject(static_cast<unsigned>(i))->set("host", kHost);
  }
  Array::Ptr tenants = new Array;
  for (std::size_t i = 0; i < kTenants; ++i) {
    const double rate = quota(i);
    Array::Ptr keys = new Array;
    keys->add(absl::StrCat("key-", i));
    Object::Ptr tenant = new Object;
    tenant->set("name", absl::StrCat("tenant-", i));
    tenant->set("api-keys", keys);
    tenant->set("unit", "tokens");
    tenant->set("plain-tokens", 200);
    tenant->set("rate-per-s", rate);
    tenant->set("burst", kBurstSeconds * rate);
    tenants->add(tenant);
  }
  Object::Ptr limits = new Object;
  limits->set("idle-timeout-ms", 5'000);
  Object::Ptr settings = new Object;
  settings->set("version", 1);
  settings->set("routes", routes);
  settings->set("services", parsed(kServices));
  settings->set("tenants", tenants);
  settings->set("limits", limits);
  store_.put("config", "main", settings);
}

double SiteFleet::quota(std::size_t tenant) const {
  const double size = daemons_.size() > kSmallerFleet ? kLargerSize : 1;
  return std::max(kLeastQuota, kQuotaRoom * size * kTokensPerSecond * kTenantParts.at(tenant));
}

void SiteFleet::addReplicas(const std::string& service, int count, Millis workTime) {
  for (int i = 0; i < count; ++i) {
    replicas_.push_back(
        std::make_unique<Standin::ReplicaStandin>(absl::StrCat(service, "-", i), workTime));
    Object::Ptr entry = new Object;
    entry->set("service", service);
    entry->set("address", link_.addRoute(net_ + ".251.1:0", replicas_.back()->address()));
    entry->set("zone", zoneName(static_cast<std::size_t>(i) % kZones));
    entry->set("version", "1");
    entry->set("slots", 128);
    entry->set("state", "ready");
    entry->set("cold-remaining-ms", 0);
    entry->set("sequence", 1);
    store_.put("servers", replicas_.back()->id(), entry);
    entries_.push_back(entry);
  }
}

/// Writes an entry of a replica anew in turn, each of them once a heartbeat.
void SiteFleet::tendReplicas() {
  for (std::size_t turn = 0; !stopping_; ++turn) {
    std::this_thread::sleep_for(kHeartbeat / entries_.size());
    const std::size_t index = turn % entries_.size();
    Object::Ptr entry = new Object(*entries_[index]);
    entry->set("sequence", 2 + turn / entries_.size());
    store_.put("servers", replicas_[index]->id(), entry);
  }
}

void SiteFleet::throttleInTurn() {
  const auto signalAll = [this](int number) {
    const std::lock_guard lock(mutex_);
    for (SiteDaemon& daemon : daemons_) {
      if (daemon.throttled && daemon.process && daemon.process->running()) {
        daemon.process->signal(number);
      }
    }
  };
  while (!stopping_) {
    signalAll(SIGCONT);
    std::this_thread::sleep_for(kThrottledRun);
    signalAll(SIGSTOP);
    std::this_thread::sleep_for(kThrottledPause);
  }
}

void SiteFleet::writeSettings(const SiteDaemon& daemon) const {
  Object::Ptr fields = new Object;
  Object::Ptr zones = new Object;
  for (std::size_t i = 0; i < kZones; ++i) zones->set(zoneName(i), "region");
  Object::Ptr listen = new Object;
  listen->set("front", daemon.front);
  listen->set("readiness", daemon.readiness);
  listen->set("control", daemon.control);
  Object::Ptr limits = new Object;
  limits->set("cpu-share", 0.25);
  limits->set("max-fds", 4'100);
  Object::Ptr store = new Object;
  store->set("address", storeLink_);
  Array::Ptr seeds = new Array;
  for (std::size_t i = 0; i < kSeeds; ++i) seeds->add(daemons_[i * 2].control);
  fields->set("node-name", daemon.name);
  fields->set("zone", zoneName(daemon.zone));
  fields->set("zones", zones);
  fields->set("ip", daemon.ip);
  fields->set("limits", limits);
  fields->set("seeds", seeds);
  fields->set("listen", listen);
  fields->set("platform", store);
  fields->set("cloud-api", store);
  fields->set("bounds", parsed(kBounds));
  std::ofstream(absl::StrCat(work_, "/", daemon.name, ".json"))
      << SettingsTemplate(fields).fill(text_);
}

void SiteFleet::start(std::size_t index) {
  SiteDaemon& daemon = daemons_[index];
  writeSettings(daemon);
  const std::lock_guard lock(mutex_);
  daemon.startedAt = Clock::now();
  daemon.process = std::make_unique<Scenario::ChildProcess>(
      std::vector<std::string>{binaries_ + "/hallchute", "gateway"},
      absl::StrCat(work_, "/", daemon.name, ".log"),
      std::vector<std::string>{
          absl::StrCat("HALLCHUTE_SETTINGS=", work_, "/", daemon.name, ".json")});
  daemon.ending = false;
  daemon.down = false;
  daemon.readyAt.reset();
}

void SiteFleet::kill(std::size_t index) {
  const std::lock_guard lock(mutex_);
  daemons_[index].ending = true;
  daemons_[index].process->kill();
  daemons_[index].down = true;
}

void SiteFleet::signal(std::size_t index, int number, bool ends) {
  const std::lock_guard lock(mutex_);
  SiteDaemon& daemon = daemons_[index];
  if (!daemon.process->running()) return;
  daemon.ending = daemon.ending || ends;
  daemon.process->signal(number);
}

void SiteFleet::throttle(std::size_t index, bool on) {
  const std::lock_guard lock(mutex_);
  daemons_[index].throttled = on;
  if (!on && daemons_[index].process->running()) daemons_[index].process->signal(SIGCONT);
}

std::optional<int> SiteFleet::ended(std::size_t index) {
  const std::lock_guard lock(mutex_);
  SiteDaemon& daemon = daemons_[index];
  const std::optional<int> code = daemon.process ? daemon.process->exitCode() : std::nullopt;
  if (code) daemon.down = true;
  return code;
}

bool SiteFleet::isReady(std::size_t index) const {
  Hallchute::HttpExchange exchange({daemons_[index].readiness, "", kAskLimit, kAskLimit});
  Hallchute::HttpRequest request;
  request.method = "GET";
  request.target = "/ready";
  request.headers = {{"Host", kHost}};
  const auto result = exchange.run(request);
  const auto* answer = std::get_if<Hallchute::HttpResponse>(&result);
  return answer != nullptr && answer->status == 200;
}

void SiteFleet::cutFromStore(std::string_view ipPrefix) {
  link_.cut(std::string(ipPrefix), net_ + ".250.1");
}

void SiteFleet::cutFromAll(std::string_view ipPrefix) {
  link_.cut(std::string(ipPrefix), net_ + ".250.1");
  link_.cut(std::string(ipPrefix), "127.0.0.1");
}

void SiteFleet::healLinks() {
  link_.healAll();
}

}  // namespace Soak
