// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/PolicyKey.h"

#include <array>

namespace Hallchute {
namespace {

constexpr std::int64_t kDayMs = 86'400'000;

constexpr std::array<PolicySpec, kPolicyKeyCount> kSpecs{{
    {PolicyKey::queueLimitMs, "queueLimitMs", 0, 600'000, 5'000, "ms",
     "longest time in the queue for an upstream; then the request is refused as not run"},
    {PolicyKey::maxQueue, "maxQueue", 0, 100'000, 200, "requests",
     "requests that may be queued at one shard owner; further ones are refused at once"},
    {PolicyKey::maxInFlightPerUpstream, "maxInFlightPerUpstream", 1, 4'096, 16, "requests",
     "requests granted to one upstream at a time"},
    {PolicyKey::maxPrefillTokensPerUpstream, "maxPrefillTokensPerUpstream", 1, 100'000'000, 8'000,
     "tokens",
     "prompt tokens an upstream may have pending for prefill before it is granted more work"},
    {PolicyKey::organisationInFlight, "organisationInFlight", 1, 100'000, 1'000, "requests",
     "requests of one organisation granted by one shard owner at a time"},
    {PolicyKey::organisationTokensPerSecond, "organisationTokensPerSecond", 0, 10'000'000, 0,
     "tokens/s",
     "prompt and output tokens of one organisation per shard owner; 0 disables the limit"},
    {PolicyKey::stallLimitMs, "stallLimitMs", 50, 600'000, 3'000, "ms",
     "longest time without output during an answer before it is recovered on another upstream"},
    {PolicyKey::connectLimitMs, "connectLimitMs", 10, 60'000, 500, "ms",
     "timeout of a connection attempt to an upstream"},
    {PolicyKey::requestLimitMs, "requestLimitMs", 100, kDayMs, 600'000, "ms",
     "longest time from acceptance to the end of the answer"},
    {PolicyKey::retryBudgetPercent, "retryBudgetPercent", 0, 100, 20, "percent",
     "retries after unannounced failures allowed per 100 first attempts of a service at one "
     "daemon"},
    {PolicyKey::maxAttempts, "maxAttempts", 1, 16, 6, "attempts",
     "limit on the attempts at one request after unannounced failures"},
    {PolicyKey::recordLifetimeMs, "recordLifetimeMs", 60'000, 90 * kDayMs, kDayMs, "ms",
     "time for which the record of an Idempotency-Key is retained"},
    {PolicyKey::drainLimitMs, "drainLimitMs", 0, 3'600'000, 20'000, "ms",
     "time a stopping daemon lets running answers finish before it hands them over to a peer"},
    {PolicyKey::leaveMarginMs, "leaveMarginMs", 0, 60'000, 500, "ms",
     "time before an upstream's announced end by which its work must have been moved"},
    {PolicyKey::ownerAnswerMs, "ownerAnswerMs", 20, 10'000, 400, "ms",
     "longest wait for a shard owner's first reply before the next one is asked"},
    {PolicyKey::maxBodyBytes, "maxBodyBytes", 1, 67'108'864, 1'048'576, "bytes",
     "largest request body accepted from a caller"},
    {PolicyKey::maxOutputTokens, "maxOutputTokens", 1, 1'000'000, 4'096, "tokens",
     "largest max_tokens that a caller may request"},
    {PolicyKey::loadBoundPercent, "loadBoundPercent", 100, 1'000, 400, "percent",
     "load of an upstream relative to the mean up to which prefix affinity may select it"},
    {PolicyKey::agingMs, "agingMs", 10, 600'000, 1'000, "ms",
     "waiting time that counts as one step of class priority"},
    {PolicyKey::prefixTokensPerUpstream, "prefixTokensPerUpstream", 0, 100'000'000, 200'000,
     "tokens", "assumed capacity of an upstream's prefix cache in prompt tokens"},
    {PolicyKey::transferTokensPerSecond, "transferTokensPerSecond", 0, 100'000'000, 200'000,
     "tokens/s",
     "rate at which cached tokens are transferred between upstreams; 0 disables transfers"},
}};

}  // namespace

std::span<const PolicySpec> policySpecs() {
  return kSpecs;
}

std::optional<PolicyKey> findPolicyKey(std::string_view name) {
  for (const PolicySpec& spec : kSpecs) {
    if (spec.name == name) return spec.key;
  }
  return std::nullopt;
}

}  // namespace Hallchute
