// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_SERVICESETTINGS_H
#define HALLCHUTE_SETTINGS_SERVICESETTINGS_H

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Settings/PolicyValues.h"

namespace Hallchute {

/// \brief Whether a service is a model engine or a plain HTTP service.
/// \ingroup Settings
enum class ServiceKind { model, plain };

/// \brief Whether hallchute manages a service's upstreams or only routes requests to them.
/// \ingroup Settings
enum class ServiceMode { observe, manage };

/// \brief The settings of one service.
/// \ingroup Settings
struct ServiceSettings {
  ServiceName name;
  ServiceKind kind = ServiceKind::model;
  ServiceMode mode = ServiceMode::observe;
  WorkClassName defaultClass;
  /// Whether its upstreams reject orders with a fencing token older than the newest one seen.
  bool checksOrders = false;
  PolicyValues policy;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SERVICESETTINGS_H
