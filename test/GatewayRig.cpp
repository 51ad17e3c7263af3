// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "GatewayRig.h"

#include <sys/socket.h>

#include <array>

namespace Hallchute {

GatewayRig::GatewayRig(const RetryAllowance& retries, const HedgeLimits& hedges,
                       const AdmissionLimits& admission) {
  TrafficOptions options;
  options.domain = FailureDomainName("d1");
  options.ownIp = "127.0.0.1";
  options.retries = retries;
  options.hedges = hedges;
  options.admission = admission;
  // A quarter of the tolerance is there at a start.
  options.quotas = {0, 2'000, Millis(8'000)};
  engine_ = std::make_unique<TrafficEngine>(loop_, options, codec_, metrics_, memory_);
  engine_->setSlotExchange(&slots_);
  FleetTrafficView alone{1, {}, {1, 1, 1.0, false, Millis(0)}};
  alone.retrySharers = 1;
  engine_->setFleet(alone);
  server_ = std::make_unique<FrontServer>(loop_, "127.0.0.1:0", *engine_, metrics_, memory_);
  address_ = server_->address().toString();
  thread_ = std::thread([this] { loop_.run(); });
}

GatewayRig::~GatewayRig() {
  loop_.stop();
  thread_.join();
}

void GatewayRig::setSettings(GatewaySettings settings) {
  const auto routes = std::make_shared<const RouteTable>(std::move(settings));
  loop_.call([&] { engine_->setSettings(routes); });
}

void GatewayRig::setUpstreams(std::vector<UpstreamRecord> records) {
  loop_.call([&] { engine_->setUpstreams(records); });
}

void GatewayRig::setLimits(const FrontLimits& limits) {
  loop_.call([&] { server_->setLimits(limits); });
}

void GatewayRig::drain() {
  loop_.call([&] { server_->drain(); });
}

RawCaller::RawCaller(const std::string& address) : socket_(Poco::Net::SocketAddress(address)) {}

void RawCaller::send(const std::string& bytes) {
  // The other side may have closed already; what it sent is read all the same.
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t put =
        ::send(socket_.impl()->sockfd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (put <= 0) return;
    sent += static_cast<std::size_t>(put);
  }
}

std::string RawCaller::read(const std::string& until, std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  std::array<char, 4096> buffer;
  const Poco::Timespan turn(0, 20'000);
  while (!ended_ && std::chrono::steady_clock::now() < end) {
    if (!until.empty() && in_.find(until) != std::string::npos) break;
    if (!socket_.poll(turn, Poco::Net::Socket::SELECT_READ)) continue;
    const ssize_t got = ::recv(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (got <= 0) {
      ended_ = true;
    } else {
      in_.append(buffer.data(), static_cast<std::size_t>(got));
    }
  }
  return in_;
}

std::string RawCaller::readAll(std::chrono::milliseconds limit) {
  return read("", limit);
}

Route plainRoute(WorkKind kind) {
  Route route;
  route.name = "r";
  route.host = "h.example";
  route.pathPrefix = "/s/";
  route.kind = kind;
  route.targets = {{ServiceName("s"), 1}};
  route.timeLimit = Millis(3'000);
  route.latencyObjective = Millis(1'000);
  route.maxRuns = 2;
  route.allowsAnonymous = true;
  return route;
}

UpstreamRecord upstreamAt(const std::string& id, const std::string& address) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("s");
  record.address = address;
  record.domain = FailureDomainName("d1");
  record.slots = 8;
  record.version = SoftwareVersion("v1");
  return record;
}

GatewaySettings settingsWith(const Route& route, std::uint64_t version) {
  GatewaySettings settings;
  settings.version = version;
  settings.routes = {route};
  GatewayService service;
  service.name = ServiceName("s");
  settings.services = {service};
  return settings;
}

std::string requestText(const std::string& method, const std::string& fields,
                        const std::string& body) {
  std::string text = method + " /s/x HTTP/1.1\r\nHost: h.example\r\nHallchute-Attempt-Id: q1\r\n";
  text += fields;
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace Hallchute
