// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/RandomName.h"

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>

#include <array>

namespace Hallchute {
namespace {

constexpr std::size_t kRandomBytes = 16;

}  // namespace

std::string randomName() {
  std::array<char, kRandomBytes> bytes{};
  Poco::RandomInputStream random;
  random.read(bytes.data(), bytes.size());
  return Poco::DigestEngine::digestToHex({bytes.begin(), bytes.end()});
}

}  // namespace Hallchute
