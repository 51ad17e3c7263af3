// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Platform/HostListJson.h"

#include <array>

#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 2> kRoles{"upstream", "entry"};
constexpr std::int64_t kMaxInteger = INT64_MAX;

HostListEntry readHost(const JsonObject& json, const std::string& path, Findings& findings) {
  JsonReader reader(json, path, findings);
  HostListEntry entry;
  entry.host = HostId(reader.text("host", true));
  entry.role = reader.oneOf("role", kRoles) == "entry" ? HostRole::entry : HostRole::upstream;
  entry.domain = FailureDomainName(reader.text("failureDomain", true));
  entry.address = reader.text("address", true);
  entry.service = ServiceName(reader.text("service", entry.role == HostRole::upstream));
  entry.machineClass = reader.text("machineClass", false);
  entry.pricePerHour = reader.integer("pricePerHour", 0, kMaxInteger, 0);
  entry.reclaimable = reader.boolean("reclaimable", true);
  if (reader.has("leavesInMs"))
    entry.leavesIn = Millis(reader.integer("leavesInMs", 0, kMaxInteger, 0));
  return entry;
}

}  // namespace

HostList readHostList(const JsonObject& json, Findings& findings) {
  HostList list;
  JsonReader reader(json, "", findings);
  list.version = static_cast<std::uint64_t>(reader.integer("version", 0, kMaxInteger, 0));
  const auto hosts = json->getArray("hosts");
  if (!hosts) {
    reader.report("hosts", "must be an array");
    return list;
  }
  for (unsigned i = 0; i < hosts->size(); ++i) {
    const std::string path = "/hosts/" + std::to_string(i);
    const JsonObject host = hosts->getObject(i);
    const std::size_t before = findings.size();
    if (!host) {
      findings.push_back({path, "must be an object"});
      continue;
    }
    HostListEntry entry = readHost(host, path, findings);
    if (findings.size() == before) list.hosts.push_back(std::move(entry));
  }
  return list;
}

}  // namespace Hallchute
