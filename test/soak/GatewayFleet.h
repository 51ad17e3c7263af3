// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_GATEWAYFLEET_H
#define HALLCHUTE_TEST_SOAK_GATEWAYFLEET_H

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "standin/ObjectStoreStandin.h"
#include "standin/ReplicaStandin.h"
#include "standin/StandinServer.h"
#include "test/scenario/ChildProcess.h"
#include "test/soak/FleetSettings.h"

namespace Soak {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// \brief A daemon of the fleet; its process may be down.
struct GatewayProcess {
  std::string name;
  std::string ip;
  std::string callers;
  std::vector<std::string> command;
  std::unique_ptr<Scenario::ChildProcess> process;
  /// Whether stop() or kill() was called since its start.
  bool stopping = false;
  bool killed = false;
};

/// \brief Real gateway processes in front of replicas of one service, with a store that lists
/// them. Everything runs on loopback addresses.
class GatewayFleet {
 public:
  /// The bound after which a daemon counts as in contact, as in the daemons' settings.
  static constexpr Millis kContact{3'000};
  static constexpr const char* kRequestHost = "soak.example";
  static constexpr const char* kService = "pool";
  /// Gets requests only if the settings say so.
  static constexpr const char* kSideService = "side";

  /// \param binaries the build folder; \param work an empty folder for settings and logs.
  GatewayFleet(std::string binaries, std::string work, int daemons);
  ~GatewayFleet();
  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;

  /// \brief The daemons write to a full pipe that nobody reads, instead of to their logs.
  void leaveOutputUnread();

  void writeSettings(const FleetSettings& settings);

  /// \brief Starts all daemons and waits until they are ready.
  void start();
  void startDaemon(std::size_t index);
  void kill(std::size_t index);
  void suspend(std::size_t index);
  void resume(std::size_t index);
  /// \brief Sends SIGHUP to a daemon that is in contact; others may not handle it yet.
  void reload(std::size_t index);
  /// \brief Sends SIGTERM; once it has ended, stopped() says so and startDaemon() starts it again.
  void stop(std::size_t index);
  /// \brief Whether the daemon has ended after stop(); any exit code but 0 counts as a fault.
  bool stopped(std::size_t index);
  /// \brief While \p away, the store hangs up on every request.
  void setStoreAway(bool away) { storeAway_ = away; }
  /// \brief Calls to the store from a daemon are hung up on.
  void cutFromStore(std::size_t index, bool cut);
  /// \brief Reads of the store that allow it are answered from a state this old.
  void setStoreStaleness(Millis staleness) { store_.setStaleness(staleness); }
  /// \brief Lists an entry that no replica wrote, or removes it.
  void listForeignEntry(const Poco::JSON::Object::Ptr& entry);
  void unlistForeignEntry();
  /// \brief Whether no daemon ended but by stop() and kill(), and none wrote the report of a
  /// sanitizer or of an uncaught exception. Prints what was seen otherwise.
  bool noneEndedByItself();
  std::vector<GatewayProcess>& daemons() { return daemons_; }

  /// \brief Adds a replica to a service and lists it in the store.
  Standin::ReplicaStandin& addReplica(Millis workTime, const std::string& version = "1",
                                      const Standin::BrittleRoom& room = {},
                                      const std::string& service = kService);
  /// \brief Removes a crashed replica from the store, as its heartbeats have ended.
  void unlist(const Standin::ReplicaStandin& replica);
  /// \brief All replicas that ever ran.
  const std::vector<std::unique_ptr<Standin::ReplicaStandin>>& replicas() const {
    return replicas_;
  }
  /// \brief All arrivals at all replicas in order of time.
  std::vector<Standin::Arrival> arrivals() const;
  /// \brief Whether the daemon at \p ip had run undisturbed for the contact time before \p time.
  bool inContact(const std::string& ip, Clock::time_point time) const;
  void noteDisturbed(std::size_t index);

 private:
  struct Disturbance {
    std::string ip;
    Clock::time_point at;
  };

  void writeStartup(const GatewayProcess& daemon, const std::string& peers,
                    const std::string& seeds, int domain) const;
  bool ready(const GatewayProcess& daemon) const;
  void noteIfEnded(const GatewayProcess& daemon);
  bool isCutFromStore(const std::string& ip) const;
  std::string pipePath() const { return work_ + "/unread"; }

  std::string binaries_;
  std::string work_;
  Standin::ObjectStoreStandin store_;
  std::atomic<bool> storeAway_{false};
  mutable std::mutex cutMutex_;
  /// IP addresses.
  std::set<std::string> cutFromStore_;
  Standin::StandinServer storeServer_;
  std::vector<GatewayProcess> daemons_;
  std::vector<std::unique_ptr<Standin::ReplicaStandin>> replicas_;
  std::vector<Disturbance> disturbances_;
  std::vector<std::string> endedByThemselves_;
  int unreadPipe_ = -1;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_GATEWAYFLEET_H
