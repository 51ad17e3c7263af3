// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/NodeStartup.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <string>

#include "Hallchute/src/Net/AddressMember.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 4> kLogLevels{"info", "debug", "warning", "error"};
constexpr double kMaxSeconds = 3'600;
constexpr double kMaxMs = kMaxSeconds * 1'000;
/// A host without a limit names the largest value there is.
constexpr std::int64_t kMaxDescriptors = std::numeric_limits<std::int64_t>::max();
/// Beyond it hedges are a second load rather than an exception.
constexpr double kMaxHedgePercent = 50;
constexpr double kMinHedgeDelayMs = 1;
constexpr double kMaxProcessors = 1'000'000;
constexpr double kMaxRetrySlack = 1'000'000;
constexpr double kMaxExposeSlack = 1'000'000;
/// More than any organisation's quota for a window.
constexpr double kMaxQuotaSlackTokens = 1e9;
constexpr std::int64_t kMaxWaiting = 100'000;
/// 1 GiB: more than the memory of a host that this program is made for.
constexpr std::int64_t kMaxWaitingBytes = std::int64_t{1} << 30U;
/// Enough for the log, the event loops, the store and peers.
constexpr std::int64_t kMinDescriptors = 64;
/// Enough for the daemon itself and a few requests, and more than any host has.
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{1} << 24U;
/// Of one read from a connection, so that no bound is below what arrives at once, and of more than
/// any host's memory.
constexpr std::int64_t kMinAnswerBytes = std::int64_t{32} << 10U;
constexpr std::int64_t kMaxAnswerBytes = std::int64_t{1} << 40U;

Millis millis(JsonReader& reader, const std::string& name, Millis fallback) {
  const auto start = static_cast<double>(fallback.count());
  return Millis(static_cast<Millis::rep>(reader.number(name, 0, kMaxMs, start)));
}

Millis seconds(JsonReader& reader, const std::string& name, Millis fallback) {
  const std::chrono::duration<double> start = fallback;
  const std::chrono::duration<double> read(reader.number(name, 0, kMaxSeconds, start.count()));
  return std::chrono::duration_cast<Millis>(read);
}

void readBounds(JsonReader& reader, NodeBounds& bounds) {
  bounds.drain = millis(reader, "drainMs", bounds.drain);
  bounds.settings = millis(reader, "settingsMs", bounds.settings);
  bounds.contact = millis(reader, "contactMs", bounds.contact);
  bounds.grace = seconds(reader, "graceS", bounds.grace);
  bounds.lease = millis(reader, "leaseMs", bounds.lease);
  bounds.retryRatio = reader.number("retryRatio", 0, 1, bounds.retryRatio);
  bounds.retryWindow = seconds(reader, "retryWindowS", bounds.retryWindow);
  bounds.retrySlack = reader.number("retrySlack", 0, kMaxRetrySlack, bounds.retrySlack);
  bounds.quotaOverdraftRatio = reader.number("quotaOver", 0, 1, bounds.quotaOverdraftRatio);
  bounds.quotaWindow = seconds(reader, "quotaWindowS", bounds.quotaWindow);
  bounds.quotaSlack = reader.number("quotaSlack", 0, kMaxQuotaSlackTokens, bounds.quotaSlack);
  bounds.usageWindow = seconds(reader, "usageWindowS", bounds.usageWindow);
  bounds.usageDue = seconds(reader, "usageDueS", bounds.usageDue);
  if (reader.has("exposeShare")) bounds.exposeShare = reader.number("exposeShare", 0, 1, 0);
  bounds.exposeSlack = reader.number("exposeSlack", 0, kMaxExposeSlack, bounds.exposeSlack);
  bounds.rollback = millis(reader, "rollbackMs", bounds.rollback);
  if (bounds.exposeShare && *bounds.exposeShare <= 0)
    reader.report("exposeShare", "must be above 0");
  if (bounds.usageWindow <= Millis(0)) reader.report("usageWindowS", "must be above 0");
}

void readHedging(JsonReader& reader, NodeHedging& hedging) {
  hedging.percent = reader.number("percent", 0, kMaxHedgePercent, hedging.percent);
  const auto fallback = static_cast<double>(hedging.minDelay.count());
  const double minDelay = reader.number("minDelayMs", kMinHedgeDelayMs, kMaxMs, fallback);
  hedging.minDelay = Millis(static_cast<Millis::rep>(minDelay));
}

/// 0 and negative numbers name no limit.
std::size_t readDescriptors(JsonReader& reader, std::size_t fallback) {
  const std::int64_t number =
      reader.integer("descriptors", std::numeric_limits<std::int64_t>::min(), kMaxDescriptors,
                     static_cast<std::int64_t>(fallback));
  if (number <= 0) return fallback;
  if (number < kMinDescriptors) {
    reader.report("descriptors", "must be at least " + std::to_string(kMinDescriptors));
  }
  return static_cast<std::size_t>(number);
}

std::optional<std::size_t> readMemory(JsonReader& reader) {
  if (!reader.has("memoryMb")) return std::nullopt;
  const std::int64_t megabytes = reader.integer("memoryMb", kMinMemoryMb, kMaxMemoryMb, 0);
  return static_cast<std::size_t>(megabytes) << 20U;
}

std::size_t bytes(JsonReader& reader, const std::string& name, std::size_t fallback) {
  const std::int64_t read =
      reader.integer(name, kMinAnswerBytes, kMaxAnswerBytes, static_cast<std::int64_t>(fallback));
  return static_cast<std::size_t>(read);
}

void readAnswers(JsonReader& reader, AnswerBounds& bounds) {
  bounds.bodyBytes = bytes(reader, "maxBodyBytes", bounds.bodyBytes);
  bounds.eventBytes = bytes(reader, "maxEventBytes", bounds.eventBytes);
  bounds.heldBytes = bytes(reader, "maxHeldBytes", bounds.heldBytes);
  // Otherwise a single answer of the permitted size would fail for want of memory.
  if (bounds.heldBytes < std::max(bounds.bodyBytes, bounds.eventBytes)) {
    reader.report("maxHeldBytes", "must be at least maxBodyBytes and maxEventBytes");
  }
}

void readListen(JsonReader& reader, NodeStartup& startup) {
  startup.callerListen = readAddress(reader, "callers", true);
  startup.readinessListen = readAddress(reader, "readiness", true);
  startup.peerListen = readAddress(reader, "peers", true);
  startup.metricsListen = readAddress(reader, "metrics", false);
}

void readDuties(JsonReader& reader, NodeStartup& startup) {
  startup.dutyAddress = readAddress(reader, "address", false);
  startup.reportsUsage = reader.boolean("usage", false);
  startup.ordersReplicas = reader.boolean("replicas", false);
}

void readAdmission(JsonReader& reader, AdmissionLimits& limits) {
  limits.enabled = reader.boolean("enabled", limits.enabled);
  limits.maxWaiting = static_cast<std::size_t>(
      reader.integer("maxWaiting", 1, kMaxWaiting, static_cast<std::int64_t>(limits.maxWaiting)));
  limits.maxWaitingBytes = static_cast<std::size_t>(reader.integer(
      "maxWaitingBytes", 1, kMaxWaitingBytes, static_cast<std::int64_t>(limits.maxWaitingBytes)));
}

}  // namespace

NodeStartup readNodeStartup(std::string_view text, Findings& findings) {
  NodeStartup startup;
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return startup;
  JsonReader root(json, "", findings);
  startup.daemon = DaemonId(root.text("daemon", true));
  startup.domain = FailureDomainName(root.text("failureDomain", true));
  startup.ownIp = root.text("ip", true);
  startup.logLevel = root.oneOf("logLevel", kLogLevels);
  startup.seeds = root.stringList("seeds");
  const double processors = root.number("processors", 0, kMaxProcessors, 1);
  startup.capacity = static_cast<std::uint32_t>(processors * 1'000);
  for (const std::string& name : root.stringList("failureDomains"))
    startup.domains.emplace_back(name);
  startup.descriptors = readDescriptors(root, startup.descriptors);
  startup.memory = readMemory(root);
  for (const char* section : {"listen", "store"}) {
    if (!root.has(section)) root.report(section, "is missing");
  }
  root.object("listen", [&](JsonReader& reader) { readListen(reader, startup); });
  root.object("store", [&](JsonReader& reader) {
    startup.storeAddress = readAddress(reader, "address", true);
  });
  root.object("duties", [&](JsonReader& reader) { readDuties(reader, startup); });
  root.object("bounds", [&](JsonReader& reader) { readBounds(reader, startup.bounds); });
  root.object("hedging", [&](JsonReader& reader) { readHedging(reader, startup.hedging); });
  root.object("admission", [&](JsonReader& reader) { readAdmission(reader, startup.admission); });
  root.object("placement", [&](JsonReader& reader) {
    startup.placement.estimates = reader.boolean("estimates", startup.placement.estimates);
  });
  root.object("answers", [&](JsonReader& reader) { readAnswers(reader, startup.answers); });
  root.finish();
  return startup;
}

}  // namespace Hallchute
