// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/SettingsChange.h"

#include <array>
#include <cstdio>

#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::int64_t kMaxNumber = 9'999'999'999;
constexpr int kNumberDigits = 10;

}  // namespace

std::string changeKey(std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kNumberDigits > digits.size() ? kNumberDigits - digits.size() : 0, '0');
  return std::string(kChangePrefix) + digits;
}

std::string serializeChange(const SettingsChange& change) {
  Poco::JSON::Object json;
  json.set("number", change.number);
  json.set("id", change.id);
  json.set("author", change.author);
  json.set("reason", change.reason);
  json.set("at", change.at);
  json.set("patch", change.patch);
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const JsonDifference& difference : change.differences) {
    JsonObject row = new Poco::JSON::Object;
    row->set("path", difference.path);
    row->set("before", difference.before);
    row->set("after", difference.after);
    rows->add(row);
  }
  json.set("differences", rows);
  return jsonText(JsonObject(new Poco::JSON::Object(json)));
}

SettingsChange parseChange(std::string_view text, Findings& findings) {
  SettingsChange change;
  const std::size_t before = findings.size();
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return change;
  JsonReader reader(json, "", findings);
  const auto number = static_cast<std::uint64_t>(reader.integer("number", 1, kMaxNumber, 0));
  change.id = reader.text("id", true);
  change.author = reader.text("author", true);
  change.reason = reader.text("reason", true);
  change.at = reader.text("at", true);
  change.patch = json->getObject("patch");
  if (!change.patch) reader.report("patch", "must be an object");
  if (const auto rows = json->getArray("differences")) {
    for (unsigned i = 0; i < rows->size(); ++i) {
      const JsonObject row = rows->getObject(i);
      if (!row) continue;
      change.differences.push_back({row->optValue<std::string>("path", ""),
                                    row->optValue<std::string>("before", ""),
                                    row->optValue<std::string>("after", "")});
    }
  }
  if (findings.size() == before) change.number = number;
  return change;
}

}  // namespace Hallchute
