// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_FLEET_H
#define HALLCHUTE_TEST_SCENARIO_FLEET_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/src/Settings/JsonTree.h"
#include "test/scenario/ChildProcess.h"

namespace Scenario {

/// \brief The kind of process that a name of the scenario denotes.
enum class Kind { platform, link, daemon, engine, plain };

/// \brief A process of the fleet, running or not.
struct Node {
  std::string name;
  Kind kind = Kind::daemon;
  std::string domain;
  std::string service;
  std::string ip;
  /// Where it listens: a daemon for callers.
  std::string address;
  std::string operatorAddress;
  std::string peerAddress;
  /// Where others reach it if there is a link between them; else `address` or `peerAddress`.
  std::string reached;
  std::vector<std::string> command;
  std::unique_ptr<ChildProcess> process;
};

/// \brief What a service of the fleet needs.
struct ServicePlan {
  std::string name;
  bool model = true;
  int perDomain = 1;
  std::vector<std::string> flags;
};

/// \brief The processes of a scenario: platform, daemons, upstreams and the links between them.
///
/// Every process gets an IP of its own in 127.0.0.0/8, and its ports from the operating system.
class Fleet {
 public:
  /// \param binaries the folder of the programs; \param work an empty folder for files and logs.
  Fleet(std::string binaries, std::string work);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::vector<std::string> domains;
  int daemonsPerDomain = 2;
  std::vector<ServicePlan> services;
  bool links = false;

  /// \brief Starts all processes, waits until they are ready and the settings are active.
  void start();
  Node& node(const std::string& name);
  bool has(const std::string& name) const { return nodes_.contains(name); }
  std::vector<Node*> all(Kind kind);
  void startNode(Node& node);
  void kill(const std::string& name);
  /// \brief POSTs JSON to a stand-in's control path. \returns the answer.
  Hallchute::JsonObject control(const std::string& name, const std::string& path,
                                const std::string& json);
  /// \brief GETs from a daemon's operator address. \returns null if there is no response.
  std::string operatorGet(const std::string& name, const std::string& path);
  /// \brief POSTs to a daemon's operator address. \returns status and body, status 0 for none.
  std::pair<int, std::string> operatorPost(const std::string& name, const std::string& path,
                                           const std::string& body);
  /// \brief Adds a host to the platform's list; negative \p leavesInMs: it stays.
  void listHost(const Node& node, int leavesInMs);
  std::string placeOf(const std::string& domainOrPlatform) const;
  const std::string& binaries() const { return binaries_; }
  std::string settingsPatch() const;

 private:
  void plan();
  Node& add(const std::string& name, Kind kind, const std::string& domain);
  void route(Node& node, const std::string& target);
  void writeStartup(Node& node);
  void awaitHealth(const Node& node);
  void applySettings();
  void awaitMembers();

  std::string binaries_;
  std::string work_;
  std::string net_;
  int nextHost_ = 1;
  std::map<std::string, Node> nodes_;
};

inline constexpr const char* kOperatorToken = "operator-secret";
inline constexpr const char* kCallerToken = "alliance-key";
inline constexpr const char* kOtherCallerToken = "riverside-key";

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_FLEET_H
