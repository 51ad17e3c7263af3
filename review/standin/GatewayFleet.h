// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_GATEWAYFLEET_H
#define REVIEW_STANDIN_GATEWAYFLEET_H

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

#include "Connection.h"

namespace Review {

/// \brief Gateway processes of a small deployment, one in each of three zones, started as the
/// deploy file says, with the settings that its template gives.
class GatewayFleet {
 public:
  static constexpr std::size_t kDaemons = 3;
  /// Bounds of the deployment.
  static constexpr Millis kDrain{2'000};
  static constexpr Millis kSettings{2'000};
  static constexpr Millis kContact{3'000};

  /// \param folder an empty folder for settings and logs. \param store the store's address.
  GatewayFleet(std::string folder, std::string store);
  /// Ends the processes.
  ~GatewayFleet();
  GatewayFleet(const GatewayFleet&) = delete;
  GatewayFleet& operator=(const GatewayFleet&) = delete;

  /// \returns whether all are ready in time.
  bool start();
  static std::string zone(std::size_t daemon);
  /// \brief Where a daemon takes requests.
  std::string callers(std::size_t daemon) const { return address(daemon, 0); }

 private:
  static constexpr std::size_t kPorts = 4;

  std::string address(std::size_t daemon, std::size_t port) const;
  void choosePorts();
  std::string settings(std::size_t daemon) const;
  void startProcess(std::size_t daemon);
  bool ready(std::size_t daemon) const;

  std::string folder_;
  std::string store_;
  std::string net_;
  std::vector<int> ports_;
  std::vector<pid_t> processes_;
};

/// \brief An unsafe route to \p service, `/NAME/` at `h.example`.
std::string routeText(const std::string& name, const std::string& service, Millis timeout);
/// \brief A configuration with these routes, all to \p service.
std::string configText(int version, const std::string& service, const std::string& routes);
/// \brief One with the route `orders` only.
std::string orderConfig(int version, const std::string& service, Millis timeout);
/// \brief The bytes of a request on the route \p name.
std::string requestText(const std::string& name, const std::string& id, const std::string& body,
                        Millis deadline);
/// \brief The bytes of an order.
std::string orderText(const std::string& id, Millis deadline);

}  // namespace Review

#endif  // REVIEW_STANDIN_GATEWAYFLEET_H
