// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SOAKOPTIONS_H
#define HALLCHUTE_TEST_SOAK_SOAKOPTIONS_H

#include <string>

namespace Soak {

/// \brief Options of a soak run.
struct SoakOptions {
  std::string binaries;
  /// An empty folder for settings and logs.
  std::string work;
  int daemons = 7;
  int seconds = 20;
  unsigned seed = 1;
  /// Whether the daemons' standard output is a full pipe that nobody reads.
  bool unread = false;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SOAKOPTIONS_H
