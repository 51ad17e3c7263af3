// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ROUTETABLE_H
#define HALLCHUTE_GATEWAY_ROUTETABLE_H

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Hallchute/src/Gateway/GatewaySettings.h"
#include "Hallchute/src/Gateway/RouteUrgency.h"

namespace Hallchute {

/// \brief Settings indexed for request lookup. Immutable and thread-safe.
/// \ingroup Gateway
///
/// A route lookup costs one hash and a linear scan of the host's routes, longest prefix first.
class RouteTable {
 public:
  explicit RouteTable(GatewaySettings settings);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  const GatewaySettings& settings() const { return settings_; }
  /// \param host as the caller sent it, with or without a port.
  /// \param target the request target; its query is ignored.
  /// \returns null if no route matches.
  const Route* find(std::string_view host, std::string_view target) const;
  /// \returns null if \p key is unknown.
  const GatewayOrganisation* organisationOf(std::string_view key) const;
  /// \returns null if there is no service of that name.
  const GatewayService* service(const ServiceName& name) const;
  /// \brief The rank of a priority among the routes of a service. Cost: one pass over the routes.
  RouteUrgency urgencyOf(const ServiceName& service, int priority) const;
  /// \brief Weighted choice of a service, deterministic in \p requestId.
  static const ServiceName& pickTarget(const Route& route, std::string_view requestId);

 private:
  GatewaySettings settings_;
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
  std::unordered_map<std::string, const GatewayOrganisation*> byKey_;
  std::unordered_map<std::string, const GatewayService*> byService_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ROUTETABLE_H
