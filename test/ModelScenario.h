// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_MODELSCENARIO_H
#define HALLCHUTE_TEST_MODELSCENARIO_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Hallchute {

/// Requests of one route in a simulation of engines.
struct ModelRequestKind {
  double sharedTokens = 6'000;
  double ownTokens = 3'000;
  /// Time from the first event to the end of the response, at the speed of 1.
  double streamMs = 0;
  int objectiveMs = 0;
  /// Fraction of all requests.
  double fraction = 1;
};

/// What happens in a simulation of engines.
struct ModelScenario {
  std::size_t daemons = 1;
  std::size_t engines = 40;
  bool estimates = false;
  std::vector<ModelRequestKind> kinds{{}};
  double tokensPerMs = 32;
  std::uint32_t slots = 48;
  /// Requests that an engine queues in addition to those in its slots.
  std::size_t queueLimit = 100'000;
  std::size_t cachedPrefixes = 16;
  /// Relative speed of an engine at a time in ms.
  std::function<double(std::size_t engine, int ms)> speed = [](std::size_t, int) { return 1.0; };
  /// Whether the directory lists an engine as ready.
  std::function<bool(std::size_t engine, int ms)> listed = [](std::size_t, int) { return true; };
  /// Whether reports arrive.
  std::function<bool(int ms)> reports = [](int) { return true; };
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_MODELSCENARIO_H
