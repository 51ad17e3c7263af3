// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RequestFingerprint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

constexpr std::size_t kHexDigits = 16;

}  // namespace

RequestFingerprint fingerprintOf(std::string_view method, std::string_view target,
                                 const OrganisationName& organisation, std::string_view body) {
  std::uint64_t hash = stableHash(method);
  hash = stableHash(target, hash);
  hash = stableHash(organisation.str(), hash);
  return RequestFingerprint{stableHash(body, hash)};
}

RequestFingerprint fingerprintOfPart(const ServiceName& service, std::string_view partId) {
  // The seed keeps parts apart from contents.
  const std::uint64_t seed = stableHash(service.str(), stableHash("part"));
  return RequestFingerprint{stableHash(partId, seed)};
}

std::string describe(RequestFingerprint fingerprint) {
  return absl::StrCat(absl::Hex(static_cast<std::uint64_t>(fingerprint), absl::kZeroPad16));
}

bool parseFingerprint(std::string_view text, RequestFingerprint& fingerprint) {
  std::uint64_t value = 0;
  if (text.size() != kHexDigits) return false;
  if (!absl::SimpleHexAtoi(absl::string_view(text.data(), text.size()), &value)) return false;
  fingerprint = RequestFingerprint{value};
  return true;
}

}  // namespace Hallchute
