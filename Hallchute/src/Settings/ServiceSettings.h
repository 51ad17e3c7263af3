// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_SERVICESETTINGS_H
#define HALLCHUTE_SETTINGS_SERVICESETTINGS_H

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Settings/PolicyValues.h"

namespace Hallchute {

/// \brief What stands behind a service's name.
/// \ingroup Settings
enum class ServiceKind { model, plain };

/// \brief Whether hallchute may order a service's upstreams about, or only routes to them.
/// \ingroup Settings
enum class ServiceMode { observe, manage };

/// \brief One declared service.
/// \ingroup Settings
struct ServiceSettings {
  ServiceName name;
  ServiceKind kind = ServiceKind::model;
  ServiceMode mode = ServiceMode::observe;
  ClassName defaultClass;
  /// Whether its upstreams reject an order whose fencing token is older than one seen.
  bool checksOrders = false;
  PolicyValues policy;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_SERVICESETTINGS_H
