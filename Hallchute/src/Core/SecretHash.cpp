// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Core/SecretHash.h"

#include <Poco/SHA2Engine.h>

namespace Hallchute {

std::string secretHash(std::string_view secret) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(secret.data(), secret.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool equalInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const unsigned differingBits =
        static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    difference |= differingBits;
  }
  return difference == 0;
}

}  // namespace Hallchute
