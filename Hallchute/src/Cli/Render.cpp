// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/Render.h"

#include <sstream>

namespace Hallchute {
namespace {

constexpr unsigned kIndent = 2;

std::string member(const JsonObject& json, const std::string& name) {
  return json->has(name) ? json->get(name).toString() : "";
}

/// Renders the named members of each object of an array as a table.
std::string table(const JsonObject& json, const std::string& name,
                  std::initializer_list<const char*> columns) {
  std::vector<std::vector<std::string>> rows(1);
  for (const char* column : columns) rows.front().emplace_back(column);
  if (const auto array = json->getArray(name)) {
    for (unsigned i = 0; i < array->size(); ++i) {
      std::vector<std::string> row;
      for (const char* column : columns) row.push_back(member(array->getObject(i), column));
      rows.push_back(std::move(row));
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      if (i + 1 < row.size()) cell.resize(widths[i] + 2, ' ');
      text += cell;
    }
    text += "\n";
  }
  return text;
}

std::string changeHead(const JsonObject& json) {
  return "change " + member(json, "number") + "  " + member(json, "at") + "  " +
         member(json, "author") + ": " + member(json, "reason") + "\n";
}

std::string differencesOf(const JsonObject& json) {
  std::string text;
  const auto rows = json->getArray("differences");
  for (unsigned i = 0; rows && i < rows->size(); ++i) {
    const JsonObject row = rows->getObject(i);
    const std::string before = member(row, "before");
    const std::string after = member(row, "after");
    text += "  " + member(row, "path") + ": " + (before.empty() ? "(none)" : before) + " -> " +
            (after.empty() ? "(none)" : after) + "\n";
  }
  return text;
}

std::string changes(const JsonObject& json, bool withDifferences) {
  std::string text;
  const auto rows = json->getArray("changes");
  for (unsigned i = 0; rows && i < rows->size(); ++i) {
    text += changeHead(rows->getObject(i));
    if (withDifferences) text += differencesOf(rows->getObject(i));
  }
  return text;
}

}  // namespace

std::string renderSettings(const JsonObject& json) {
  std::ostringstream out;
  out << "revision " << member(json, "revision") << "\n";
  if (const auto settings = json->getObject("settings")) settings->stringify(out, kIndent);
  out << "\n";
  return out.str();
}

std::string renderChange(const JsonObject& json) {
  if (!json->has("number")) return renderMessage(json);
  return changeHead(json) + differencesOf(json);
}

std::string renderExplained(const JsonObject& json) {
  return member(json, "value") + " from " + member(json, "level") + ", revision " +
         member(json, "revision") + "\n";
}

std::string renderHistory(const JsonObject& json) {
  return changes(json, false);
}

std::string renderAudit(const JsonObject& json) {
  return changes(json, true);
}

std::string renderStatus(const JsonObject& json) {
  const JsonObject self = json->getObject("daemon");
  std::string text = "daemon " + member(self, "daemon") + " in " + member(self, "failureDomain") +
                     ", settings revision " + member(json, "settingsRevision") + ", platform " +
                     member(json, "platform") +
                     (member(json, "draining") == "true" ? ", draining" : "") + ", grants held " +
                     member(json, "grantsHeld") + "\n\n";
  text += table(json, "members", {"daemon", "failureDomain", "state", "revision", "address"});
  text += "\n" + table(json, "upstreams",
                       {"upstream", "service", "failureDomain", "state", "leavesInMs", "address"});
  text += "\n" + table(json, "shards", {"shard", "usableUpstreams", "inFlight", "queued"});
  return text;
}

std::string renderRequests(const JsonObject& json) {
  return table(json, "requests",
               {"request", "organisation", "service", "class", "stage", "upstream", "tokens"});
}

std::string renderMessage(const JsonObject& json) {
  return member(json, "message") + "\n";
}

std::string renderFault(ExitCode code, const JsonObject& json) {
  if (code == ExitCode::conflict) return "another change came first:\n" + renderChange(json);
  if (const auto rows = json->getArray("findings")) {
    std::string text;
    for (unsigned i = 0; i < rows->size(); ++i) {
      const JsonObject row = rows->getObject(i);
      text += member(row, "path") + ": " + member(row, "message") + "\n";
    }
    return text;
  }
  return renderMessage(json);
}

}  // namespace Hallchute
