// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_GATEWAYRIG_H
#define HALLCHUTE_TEST_GATEWAYRIG_H

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Front/FrontServer.h"
#include "Hallchute/src/Gateway/RequestMemory.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Traffic/TrafficEngine.h"
#include "LocalSlots.h"
#include "platform/PlatformCodec.h"

namespace Hallchute {

/// \brief The whole data path on a thread of its own, at a loopback port from the kernel.
class GatewayRig {
 public:
  /// \param retries by default enough in a few milliseconds, as if the daemon had run for long.
  explicit GatewayRig(const RetryAllowance& retries = {0.2, 1e6, Millis(10'000)},
                      const HedgeLimits& hedges = {}, const AdmissionLimits& admission = {});
  ~GatewayRig();
  GatewayRig(const GatewayRig&) = delete;
  GatewayRig& operator=(const GatewayRig&) = delete;

  void setSettings(GatewaySettings settings);
  void setUpstreams(std::vector<UpstreamRecord> records);
  void setLimits(const FrontLimits& limits);
  void drain();
  std::string address() const { return address_; }
  EventLoop& loop() { return loop_; }
  TrafficEngine& engine() { return *engine_; }
  FrontServer& server() { return *server_; }
  Metrics& metrics() { return metrics_; }
  RequestMemory& memory() { return memory_; }

 private:
  EventLoop loop_;
  Metrics metrics_;
  PlatformCodec codec_;
  LocalSlots slots_{loop_};
  RequestMemory memory_{RequestMemoryLimits::divide(std::size_t{256} << 20U, 0)};
  std::unique_ptr<TrafficEngine> engine_;
  std::unique_ptr<FrontServer> server_;
  std::string address_;
  std::thread thread_;
};

/// \brief A caller's connection in bytes.
class RawCaller {
 public:
  explicit RawCaller(const std::string& address);
  void send(const std::string& bytes);
  /// \brief Reads until \p until is in what came, the other side ends, or \p limit passes.
  /// \returns all bytes so far.
  std::string read(const std::string& until,
                   std::chrono::milliseconds limit = std::chrono::milliseconds(5'000));
  /// \brief Reads until the other side ends the connection, or \p limit passes.
  std::string readAll(std::chrono::milliseconds limit = std::chrono::milliseconds(5'000));
  /// \brief Whether the other side has ended the connection.
  bool ended() const { return ended_; }
  void close() { socket_.close(); }

 private:
  Poco::Net::StreamSocket socket_;
  std::string in_;
  bool ended_ = false;
};

/// \brief A route at host `h.example` under `/s/` to service `s`.
Route plainRoute(WorkKind kind);
/// \brief An upstream of service `s`.
UpstreamRecord upstreamAt(const std::string& id, const std::string& address);
/// \brief Settings with the one route and service `s`.
GatewaySettings settingsWith(const Route& route, std::uint64_t version = 1);
/// \brief A request's bytes: `METHOD /s/x` with an id, \p fields (whole lines) and a body.
std::string requestText(const std::string& method, const std::string& fields = "",
                        const std::string& body = "");

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_GATEWAYRIG_H
