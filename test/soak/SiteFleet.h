// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SITEFLEET_H
#define HALLCHUTE_TEST_SOAK_SITEFLEET_H

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "standin/LinkStandin.h"
#include "standin/ObjectStoreStandin.h"
#include "standin/ReplicaStandin.h"
#include "standin/StandinServer.h"
#include "test/scenario/ChildProcess.h"

namespace Soak {

/// \brief A daemon of a site; its process may be down.
struct SiteDaemon {
  std::string name;
  std::size_t zone = 0;
  std::string ip;
  std::string front;
  std::string readiness;
  std::string control;
  /// How callers and the load balancer reach it.
  std::string frontLink;
  std::string readinessLink;
  std::unique_ptr<Scenario::ChildProcess> process;
  std::chrono::steady_clock::time_point startedAt;
  /// Whether this soak ends it, so that its end is no finding.
  bool ending = false;
  bool throttled = false;
  /// Whether no process listens at its addresses.
  std::atomic<bool> down{true};
  std::optional<std::chrono::steady_clock::time_point> readyAt;
};

/// \brief Gateway processes with the settings of a small deployment, three zones, two services, a
/// store and a link between them that delays and can be cut. Everything runs on loopback addresses.
class SiteFleet {
 public:
  static constexpr std::size_t kZones = 3;
  static constexpr std::size_t kTenants = 5;
  static constexpr const char* kHost = "site.example";

  /// \param binaries the build folder; \param work an empty folder for settings and logs.
  SiteFleet(std::string binaries, std::string work, int daemons, unsigned seed);
  ~SiteFleet();
  SiteFleet(const SiteFleet&) = delete;
  SiteFleet& operator=(const SiteFleet&) = delete;

  std::vector<SiteDaemon>& daemons() { return daemons_; }
  /// \brief A tenant's quota, in tokens a second.
  double quota(std::size_t tenant) const;
  /// \brief How much a tenant may spend at once, in seconds of its quota.
  static constexpr double kBurstSeconds = 2;
  /// \brief Fills the daemon's settings and starts its process.
  void start(std::size_t index);
  void kill(std::size_t index);
  void signal(std::size_t index, int number, bool ends = false);
  /// \brief Holds the process to a quarter of a core.
  void throttle(std::size_t index, bool on);
  /// \brief The exit code once its process has ended.
  std::optional<int> ended(std::size_t index);
  /// \brief Whether the daemon says that it is ready, asked directly.
  bool isReady(std::size_t index) const;

  void cutFromStore(std::string_view ipPrefix);
  /// \brief Cuts daemons from the store, the replicas, callers and the load balancer.
  void cutFromAll(std::string_view ipPrefix);
  void healLinks();
  /// \brief What the addresses of all daemons, or of those of a zone, begin with.
  std::string ipOfAll() const { return net_ + "."; }
  std::string ipOfZone(std::size_t zone) const {
    return net_ + "." + std::to_string(1 + zone) + ".";
  }
  void delayStore(std::chrono::milliseconds delay) { storeDelayMs_ = delay.count(); }
  void setStoreFails(bool fails) { storeFails_ = fails; }

 private:
  void writeSettings(const SiteDaemon& daemon) const;
  void writeOperatorSettings();
  void addReplicas(const std::string& service, int count, std::chrono::milliseconds workTime);
  void tendReplicas();
  void throttleInTurn();

  std::string binaries_;
  std::string work_;
  std::string net_;
  std::string text_;
  std::atomic<std::int64_t> storeDelayMs_{0};
  std::atomic<bool> storeFails_{false};
  std::atomic<bool> stopping_{false};
  Standin::ObjectStoreStandin store_;
  Standin::StandinServer storeServer_;
  /// Its threads run until the process ends.
  Standin::LinkStandin& link_;
  std::string storeLink_;
  /// Guards the processes.
  std::mutex mutex_;
  std::vector<SiteDaemon> daemons_;
  std::vector<std::unique_ptr<Standin::ReplicaStandin>> replicas_;
  std::vector<Poco::JSON::Object::Ptr> entries_;
  std::thread heartbeats_;
  std::thread throttler_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SITEFLEET_H
