// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_NODEPORTS_H
#define HALLCHUTE_NODE_NODEPORTS_H

#include <functional>
#include <optional>
#include <string_view>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Duty/RolloutRecord.h"
#include "Hallchute/src/Gateway/GatewaySettings.h"
#include "Hallchute/src/Gateway/UpstreamRecord.h"
#include "Hallchute/src/Ports/ObjectSource.h"

namespace Hallchute {

class DutyPort;
class OriginArchivePort;
class RolloutPort;
class TrafficCodec;

/// \brief The interfaces that a platform adapter provides to a gateway daemon. \ingroup Node
struct NodePorts {
  const TrafficCodec& codec;
  /// Has one object, the current settings.
  ObjectSource& settings;
  /// Has one object per upstream.
  ObjectSource& upstreams;
  /// The name of the settings object among those of its kind.
  std::string_view settingsName;
  /// Adds faults to the findings; returns nothing if the settings are unusable.
  std::function<std::optional<GatewaySettings>(const JsonObject&, Findings&)> readSettings;
  std::function<std::optional<UpstreamRecord>(const SourceObject&, Findings&)> readUpstream;
  /// Null where the deployment has no duties.
  DutyPort* duties = nullptr;
  /// Null where streams aren't archived: after a restart of all daemons none is continued.
  OriginArchivePort* archive = nullptr;
  /// Has one object per rollout; null where operators can't order any, as the next two.
  ObjectSource* rollouts = nullptr;
  RolloutPort* rolloutStatus = nullptr;
  std::function<std::optional<RolloutOrder>(const SourceObject&, Findings&)> readRollout{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_NODEPORTS_H
