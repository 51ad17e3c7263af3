// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "GatewayFleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <thread>
#include <utility>

namespace Review {
namespace {

constexpr const char* kProgram = "target/hallchute";
constexpr Millis kStartLimit{15'000};
constexpr Millis kPoll{50};

std::string quoted(const std::string& text) {
  return "\"" + text + "\"";
}

}  // namespace

GatewayFleet::GatewayFleet(std::string folder, std::string store)
    : folder_(std::move(folder)),
      store_(std::move(store)),
      net_("127." + std::to_string(100 + ::getpid() % 100) + "." +
           std::to_string(::getpid() / 100 % 250) + ".") {
  choosePorts();
}

GatewayFleet::~GatewayFleet() {
  for (const pid_t process : processes_) ::kill(process, SIGKILL);
  for (const pid_t process : processes_) ::waitpid(process, nullptr, 0);
}

/// The same on all machines, as in a deployment.
void GatewayFleet::choosePorts() {
  for (std::size_t i = 0; i < kPorts; ++i) {
    const int socket = listenAt(net_ + "1:0");
    const std::string found = addressOf(socket);
    ports_.push_back(std::stoi(found.substr(found.rfind(':') + 1)));
    ::close(socket);
  }
}

std::string GatewayFleet::zone(std::size_t daemon) {
  return "zone-" + std::string(1, static_cast<char>('a' + daemon));
}

std::string GatewayFleet::address(std::size_t daemon, std::size_t port) const {
  return net_ + std::to_string(daemon + 1) + ":" + std::to_string(ports_[port]);
}

/// What `deploy/gateway.json` becomes for a machine of a small site.
std::string GatewayFleet::settings(std::size_t daemon) const {
  std::string zones;
  std::string seeds;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    zones += (i == 0 ? "" : ",") + quoted(zone(i));
    seeds += (i == 0 ? "" : ",") + quoted(address(i, 2));
  }
  const std::string name = "front-" + zone(daemon) + "-1";
  return "{\"daemon\": " + quoted(name) + ", \"failureDomain\": " + quoted(zone(daemon)) +
         ", \"failureDomains\": [" + zones +
         "], \"ip\": " + quoted(net_ + std::to_string(daemon + 1)) +
         ", \"processors\": 0.25, \"descriptors\": 4100, \"seeds\": [" + seeds +
         "], \"listen\": {\"callers\": " + quoted(address(daemon, 0)) +
         ", \"readiness\": " + quoted(address(daemon, 1)) +
         ", \"peers\": " + quoted(address(daemon, 2)) +
         ", \"metrics\": " + quoted(address(daemon, 3)) +
         "}, \"store\": {\"address\": " + quoted(store_) +
         "}, \"duties\": {\"address\": " + quoted(store_) +
         ", \"usage\": true, \"replicas\": true}, \"bounds\": {\"drainMs\": 2000, "
         "\"settingsMs\": 2000, \"contactMs\": 3000, \"leaseMs\": 3000, \"retryRatio\": 0.2, "
         "\"retryWindowS\": 10, \"retrySlack\": 52, \"quotaOver\": 0.1, \"quotaWindowS\": 8, "
         "\"quotaSlack\": 72000, \"usageWindowS\": 5, \"usageDueS\": 10, \"rollbackMs\": 250, "
         "\"graceS\": 8}}\n";
}

void GatewayFleet::startProcess(std::size_t daemon) {
  const std::string file = folder_ + "/settings-" + std::to_string(daemon) + ".json";
  const std::string log = folder_ + "/daemon-" + std::to_string(daemon) + ".log";
  std::ofstream(file) << settings(daemon);
  const std::string variable = "HALLCHUTE_SETTINGS=" + file;
  const pid_t process = ::fork();
  if (process != 0) {
    processes_.push_back(process);
    return;
  }
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  const char* const arguments[] = {kProgram, "gateway", nullptr};
  const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
  ::execve(kProgram, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
  ::_exit(127);
}

bool GatewayFleet::ready(std::size_t daemon) const {
  Connection connection(Connection::connectTo(address(daemon, 1)));
  if (!connection.open() || !connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
    return false;
  const auto answer = connection.read();
  return answer && answer->word(1) == "200";
}

bool GatewayFleet::start() {
  for (std::size_t i = 0; i < kDaemons; ++i) startProcess(i);
  const Instant end = Clock::now() + kStartLimit;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    while (!ready(i)) {
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

std::string routeText(const std::string& name, const std::string& service, Millis timeout) {
  return R"({"name":")" + name + R"(","host":"h.example","path-prefix":"/)" + name +
         R"(/","kind":"unsafe","service":")" + service + R"(","timeout-ms":)" +
         std::to_string(timeout.count()) +
         R"(,"target-latency-ms":300,"max-attempts":1,"priority":1,"public":true})";
}

std::string configText(int version, const std::string& service, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":")" + service +
         R"(","max-connections":96}],"tenants":[],"limits":{"max-header-bytes":16384,)"
         R"("max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

std::string orderConfig(int version, const std::string& service, Millis timeout) {
  return configText(version, service, routeText("orders", service, timeout));
}

std::string requestText(const std::string& name, const std::string& id, const std::string& body,
                        Millis deadline) {
  return "POST /" + name + "/new HTTP/1.1\r\nHost: h.example\r\nHallchute-Attempt-Id: " + id +
         "\r\nHallchute-Deadline-Ms: " + std::to_string(deadline.count()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string orderText(const std::string& id, Millis deadline) {
  return requestText("orders", id, "order " + id, deadline);
}

}  // namespace Review
