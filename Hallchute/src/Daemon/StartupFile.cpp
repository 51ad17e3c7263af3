// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/StartupFile.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>

#include "Hallchute/src/Net/AddressMember.h"
#include "Hallchute/src/Net/ProcessMemory.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 4> kLogLevels{"info", "debug", "warning", "error"};
/// Enough for the daemon itself and a few requests, and more than any host has.
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{1} << 24U;
constexpr std::int64_t kMaxConnections = 65'536;
constexpr std::int64_t kMinTimeoutMs = 10;
constexpr std::int64_t kMaxTimeoutMs = 60'000;

}  // namespace

std::string StartupFile::ownIp() const {
  return Poco::Net::SocketAddress(peerListen).host().toString();
}

StartupFile readStartupFile(std::string_view text, Findings& findings) {
  StartupFile file;
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return file;
  JsonReader root(json, "", findings);
  file.daemon = DaemonId(root.text("daemon", true));
  file.domain = FailureDomainName(root.text("failureDomain", true));
  file.logLevel = root.oneOf("logLevel", kLogLevels);
  const auto machineMb = static_cast<std::int64_t>(physicalMemory() >> 20U);
  const std::int64_t memoryMb =
      root.integer("memoryMb", kMinMemoryMb, kMaxMemoryMb, std::max(kMinMemoryMb, machineMb));
  file.memory = static_cast<std::size_t>(memoryMb) << 20U;
  for (const char* section : {"callers", "operators", "peers", "platform"}) {
    if (!root.has(section)) root.report(section, "is missing");
  }
  root.object("callers", [&](JsonReader& reader) {
    file.callerListen = readAddress(reader, "listen", true);
    file.maxCallerConnections =
        static_cast<int>(reader.integer("maxConnections", 1, kMaxConnections, 512));
  });
  root.object("operators", [&](JsonReader& reader) {
    file.operatorListen = readAddress(reader, "listen", true);
    file.operatorToken = reader.text("token", true);
  });
  root.object("peers", [&](JsonReader& reader) {
    file.peerListen = readAddress(reader, "listen", true);
    file.peerAdvertise = readAddress(reader, "advertise", false);
    if (file.peerAdvertise.empty()) file.peerAdvertise = file.peerListen;
    file.peerSecret = reader.text("secret", true);
    file.seeds = reader.stringList("seeds");
  });
  root.object("platform", [&](JsonReader& reader) {
    file.platformAddress = readAddress(reader, "address", true);
    file.platformToken = reader.text("token", true);
    file.platformTimeout = Millis(reader.integer("limitMs", kMinTimeoutMs, kMaxTimeoutMs, 1'000));
  });
  root.finish();
  return file;
}

}  // namespace Hallchute
