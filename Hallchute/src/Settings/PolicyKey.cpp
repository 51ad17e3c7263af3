// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/PolicyKey.h"

#include <array>

namespace Hallchute {
namespace {

constexpr std::int64_t kDayMs = 86'400'000;

constexpr std::array<PolicySpec, kPolicyKeyCount> kSpecs{{
    {PolicyKey::queueLimitMs, "queueLimitMs", 0, 600'000, 5'000, "ms",
     "longest wait for a place at an upstream; after it the request is refused as not run"},
    {PolicyKey::maxQueue, "maxQueue", 0, 100'000, 200, "requests",
     "requests that may wait at one shard owner; more are refused at once"},
    {PolicyKey::maxInFlightPerUpstream, "maxInFlightPerUpstream", 1, 4'096, 16, "requests",
     "work granted to one upstream at a time"},
    {PolicyKey::maxPrefillTokensPerUpstream, "maxPrefillTokensPerUpstream", 1, 100'000'000, 8'000,
     "tokens", "prompt tokens an upstream may have to compute before it is granted more work"},
    {PolicyKey::organisationInFlight, "organisationInFlight", 1, 100'000, 1'000, "requests",
     "work of one organisation granted by one shard owner at a time"},
    {PolicyKey::organisationTokensPerSecond, "organisationTokensPerSecond", 0, 10'000'000, 0,
     "tokens/s", "prompt and output tokens of one organisation per shard owner; 0 is no limit"},
    {PolicyKey::stallLimitMs, "stallLimitMs", 50, 600'000, 3'000, "ms",
     "longest silence of an upstream in mid-answer before its work is recovered elsewhere"},
    {PolicyKey::connectLimitMs, "connectLimitMs", 10, 60'000, 500, "ms",
     "longest wait for a connection to an upstream"},
    {PolicyKey::requestLimitMs, "requestLimitMs", 100, kDayMs, 600'000, "ms",
     "longest time from acceptance to the end of the answer"},
    {PolicyKey::retryBudgetPercent, "retryBudgetPercent", 0, 100, 20, "percent",
     "unannounced retries allowed per 100 first attempts of a service at one daemon"},
    {PolicyKey::maxAttempts, "maxAttempts", 1, 16, 6, "attempts",
     "attempts at one request after unannounced failures"},
    {PolicyKey::recordLifetimeMs, "recordLifetimeMs", 60'000, 90 * kDayMs, kDayMs, "ms",
     "time for which a used Idempotency-Key is remembered"},
    {PolicyKey::drainLimitMs, "drainLimitMs", 0, 3'600'000, 20'000, "ms",
     "time a stopping daemon gives running answers before it hands them to a peer"},
    {PolicyKey::leaveMarginMs, "leaveMarginMs", 0, 60'000, 500, "ms",
     "time before an upstream's announced end by which work must have left it"},
    {PolicyKey::ownerAnswerMs, "ownerAnswerMs", 20, 10'000, 400, "ms",
     "longest wait for a shard owner's first word before the next one is asked"},
    {PolicyKey::maxBodyBytes, "maxBodyBytes", 1, 67'108'864, 1'048'576, "bytes",
     "largest request body taken from a caller"},
    {PolicyKey::maxOutputTokens, "maxOutputTokens", 1, 1'000'000, 4'096, "tokens",
     "largest max_tokens a caller may ask for"},
    {PolicyKey::loadBoundPercent, "loadBoundPercent", 100, 1'000, 400, "percent",
     "work on one upstream relative to the mean up to which a cached prefix draws more there"},
    {PolicyKey::agingMs, "agingMs", 10, 600'000, 1'000, "ms",
     "waiting time that counts as one step of class priority"},
    {PolicyKey::prefixTokensPerUpstream, "prefixTokensPerUpstream", 0, 100'000'000, 200'000,
     "tokens", "prompt tokens that an upstream's prefix cache is taken to hold"},
    {PolicyKey::transferTokensPerSecond, "transferTokensPerSecond", 0, 100'000'000, 200'000,
     "tokens/s", "speed of moving cached tokens between upstreams; 0 forbids the move"},
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
