// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_POLICYKEY_H
#define HALLCHUTE_SETTINGS_POLICYKEY_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Hallchute {

/// \brief A number that each level of the tree may set: fleet, failure domain, service,
/// organisation.
/// \ingroup Settings
enum class PolicyKey : std::size_t {
  queueLimitMs,
  maxQueue,
  maxInFlightPerUpstream,
  maxPrefillTokensPerUpstream,
  organisationInFlight,
  organisationTokensPerSecond,
  stallLimitMs,
  connectLimitMs,
  requestLimitMs,
  retryBudgetPercent,
  maxAttempts,
  recordLifetimeMs,
  drainLimitMs,
  leaveMarginMs,
  ownerAnswerMs,
  maxBodyBytes,
  maxOutputTokens,
  loadBoundPercent,
  agingMs,
  prefixTokensPerUpstream,
  transferTokensPerSecond,
  count
};

inline constexpr std::size_t kPolicyKeyCount = static_cast<std::size_t>(PolicyKey::count);

/// \brief The name, range, default and meaning of one PolicyKey.
/// \ingroup Settings
struct PolicySpec {
  PolicyKey key;
  std::string_view name;
  std::int64_t least;
  std::int64_t most;
  std::int64_t fallback;
  std::string_view unit;
  std::string_view meaning;
};

/// \brief All specifications, in the order of PolicyKey.
/// \ingroup Settings
std::span<const PolicySpec> policySpecs();

/// \brief The key called \p name, if there is one.
/// \ingroup Settings
std::optional<PolicyKey> findPolicyKey(std::string_view name);

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_POLICYKEY_H
