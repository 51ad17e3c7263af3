// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_FLEETSETTINGS_H
#define HALLCHUTE_TEST_SOAK_FLEETSETTINGS_H

#include <chrono>
#include <optional>

namespace Soak {

/// \brief What a soak changes in the daemons' settings.
struct FleetSettings {
  int version = 1;
  /// Of all routes.
  std::chrono::milliseconds timeLimit{4'000};
  /// Of callers' connections.
  std::optional<std::chrono::milliseconds> idleTime{};
  /// Part of the requests, in tenths, that go to the side service.
  int sideTenths = 0;
  int tenants = 0;
  int otherRoutes = 0;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_FLEETSETTINGS_H
