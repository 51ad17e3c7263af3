// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/JsonTree.h"

#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace Hallchute {
namespace {

using Poco::Dynamic::Var;

bool isObject(const Var& value) {
  return !value.isEmpty() && value.type() == typeid(JsonObject) && value.extract<JsonObject>();
}

bool isArray(const Var& value) {
  return !value.isEmpty() && value.type() == typeid(Poco::JSON::Array::Ptr);
}

void writeSorted(const Var& value, std::ostream& out) {
  if (isObject(value)) {
    const JsonObject& object = value.extract<JsonObject>();
    std::set<std::string> names;
    for (const auto& [name, unused] : *object) names.insert(name);
    out << '{';
    const char* separator = "";
    for (const std::string& name : names) {
      out << separator << Poco::toJSON(name) << ':';
      writeSorted(object->get(name), out);
      separator = ",";
    }
    out << '}';
  } else if (isArray(value)) {
    const auto& array = value.extract<Poco::JSON::Array::Ptr>();
    out << '[';
    for (std::size_t i = 0; i < array->size(); ++i) {
      if (i > 0) out << ',';
      writeSorted(array->get(static_cast<unsigned>(i)), out);
    }
    out << ']';
  } else {
    Poco::JSON::Stringifier::stringify(value, out);
  }
}

void compare(const std::string& path, const Var& before, const Var& after,
             std::vector<JsonDifference>& found) {
  if (!isObject(before) && !isObject(after)) {
    const std::string was = before.isEmpty() ? "" : jsonText(before);
    const std::string is = after.isEmpty() ? "" : jsonText(after);
    if (was != is) found.push_back({path, was, is});
    return;
  }
  std::set<std::string> names;
  for (const Var& side : {before, after}) {
    if (!isObject(side)) continue;
    for (const auto& [name, unused] : *side.extract<JsonObject>()) names.insert(name);
  }
  if (names.empty() && isObject(before) != isObject(after)) {
    found.push_back({path, isObject(before) ? "{}" : "", isObject(after) ? "{}" : ""});
  }
  for (const std::string& name : names) {
    const Var was = isObject(before) ? before.extract<JsonObject>()->get(name) : Var();
    const Var is = isObject(after) ? after.extract<JsonObject>()->get(name) : Var();
    std::string place = path;
    place.append("/").append(name);
    compare(place, was, is, found);
  }
}

/// Poco's parser puts no line into its message: the place is where the longest prefix breaks.
std::string lineOfFault(std::string_view text, const std::string& message) {
  std::size_t line = 1;
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '\n') ++line;
    if (c == '"' && (i == 0 || text[i - 1] != '\\')) quoted = !quoted;
    if (quoted) continue;
    if (c == '{' || c == '[') ++depth;
    if (c == '}' || c == ']') --depth;
    if (depth < 0) break;
  }
  return message + " (text ends or breaks at line " + std::to_string(line) + ")";
}

}  // namespace

JsonObject parseJsonObject(std::string_view text, Findings& findings) {
  try {
    Poco::JSON::Parser parser;
    const Var value = parser.parse(std::string(text));
    if (isObject(value)) return value.extract<JsonObject>();
    findings.push_back({"", "must be a JSON object"});
  } catch (const Poco::Exception& e) {
    findings.push_back({"", lineOfFault(text, "not valid JSON: " + e.message())});
  }
  return {};
}

std::string replaceInvalidUtf8(std::string_view text) {
  std::string clean(text);
  std::size_t i = 0;
  while (i < clean.size()) {
    const auto* bytes = reinterpret_cast<const unsigned char*>(clean.data()) + i;
    const int needed = Poco::UTF8Encoding().sequenceLength(bytes, 1);
    const auto length = static_cast<std::size_t>(std::max(1, needed));
    const bool whole = needed > 0 && i + length <= clean.size();
    if (whole && Poco::UTF8Encoding::isLegal(bytes, needed)) {
      i += length;
    } else {
      clean[i] = '?';
      ++i;
    }
  }
  return clean;
}

std::string jsonText(const Var& value) {
  std::ostringstream out;
  writeSorted(value, out);
  return out.str();
}

JsonObject mergePatch(const JsonObject& target, const JsonObject& patch) {
  JsonObject merged = target ? new Poco::JSON::Object(*target) : new Poco::JSON::Object;
  for (const auto& [name, value] : *patch) {
    if (value.isEmpty()) {
      merged->remove(name);
    } else if (isObject(value)) {
      const Var old = merged->get(name);
      const JsonObject base = isObject(old) ? old.extract<JsonObject>() : JsonObject();
      merged->set(name, mergePatch(base, value.extract<JsonObject>()));
    } else {
      merged->set(name, value);
    }
  }
  return merged;
}

std::vector<JsonDifference> differences(const JsonObject& before, const JsonObject& after) {
  std::vector<JsonDifference> found;
  compare("", before ? Var(before) : Var(), after ? Var(after) : Var(), found);
  return found;
}

}  // namespace Hallchute
