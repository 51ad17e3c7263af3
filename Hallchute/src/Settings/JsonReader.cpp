// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/JsonReader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>

#include "Hallchute/src/Settings/WholeNumber.h"

namespace Hallchute {

JsonReader::JsonReader(JsonObject object, std::string path, Findings& findings)
    : object_(std::move(object)), path_(std::move(path)), findings_(findings) {}

Poco::Dynamic::Var JsonReader::readMember(const std::string& name) {
  requestedNames_.insert(name);
  return object_->get(name);
}

void JsonReader::report(const std::string& name, std::string message) {
  findings_.push_back({path_ + "/" + name, std::move(message)});
}

bool JsonReader::has(const std::string& name) const {
  return object_->has(name);
}

std::int64_t JsonReader::integer(const std::string& name, std::int64_t minimum,
                                 std::int64_t maximum, std::int64_t defaultValue) {
  const Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) return defaultValue;
  if (!value.isInteger() || value.isBoolean()) {
    report(name, "must be an integer");
    return defaultValue;
  }
  // Poco throws where a value doesn't fit in the type that it is converted to.
  constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
  const bool fits = wholeNumber(value).value_or(0) <= kMaxInteger;
  const std::int64_t number = fits ? value.convert<std::int64_t>() : 0;
  if (fits && number >= minimum && number <= maximum) return number;
  report(name, "must be between " + std::to_string(minimum) + " and " + std::to_string(maximum) +
                   ", is " + value.toString());
  return defaultValue;
}

double JsonReader::number(const std::string& name, double minimum, double maximum,
                          double defaultValue) {
  const Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) return defaultValue;
  if (!value.isNumeric() || value.isBoolean()) {
    report(name, "must be a number");
    return defaultValue;
  }
  const auto found = value.convert<double>();
  if (found >= minimum && found <= maximum) return found;
  report(name, absl::StrCat("must be between ", minimum, " and ", maximum, ", is ", found));
  return defaultValue;
}

bool JsonReader::boolean(const std::string& name, bool defaultValue) {
  const Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) return defaultValue;
  if (value.isBoolean()) return value.extract<bool>();
  report(name, "must be true or false");
  return defaultValue;
}

std::string JsonReader::text(const std::string& name, bool required) {
  const Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) {
    if (required) report(name, "is missing");
    return {};
  }
  if (value.isString()) return value.extract<std::string>();
  report(name, "must be a string");
  return {};
}

std::string JsonReader::oneOf(const std::string& name, std::span<const std::string_view> allowed) {
  std::string value = text(name, false);
  if (!has(name)) return std::string(allowed.front());
  if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) return value;
  std::string choices;
  for (std::string_view choice : allowed)
    choices += (choices.empty() ? "" : ", ") + std::string(choice);
  report(name, "must be one of " + choices);
  return std::string(allowed.front());
}

std::vector<std::string> JsonReader::stringList(const std::string& name) {
  std::vector<std::string> found;
  const Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) return found;
  if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
    report(name, "must be an array of strings");
    return found;
  }
  std::size_t index = 0;
  for (const Poco::Dynamic::Var& item : *value.extract<Poco::JSON::Array::Ptr>()) {
    if (item.isString()) {
      found.push_back(item.extract<std::string>());
    } else {
      report(name + "/" + std::to_string(index), "must be a string");
    }
    ++index;
  }
  return found;
}

JsonObject JsonReader::childObject(const std::string& name) {
  Poco::Dynamic::Var value = readMember(name);
  if (value.isEmpty()) return {};
  if (value.type() == typeid(JsonObject)) return value.extract<JsonObject>();
  report(name, "must be an object");
  return {};
}

void JsonReader::object(const std::string& name, const std::function<void(JsonReader&)>& read) {
  const JsonObject child = childObject(name);
  if (!child) return;
  JsonReader reader(child, path_ + "/" + name, findings_);
  read(reader);
  reader.finish();
}

void JsonReader::forEachObject(const std::string& name,
                               const std::function<void(const std::string&, JsonReader&)>& read) {
  const JsonObject child = childObject(name);
  if (!child) return;
  JsonReader members(child, path_ + "/" + name, findings_);
  for (const auto& member : *child) {
    members.object(member.first, [&](JsonReader& reader) { read(member.first, reader); });
  }
}

void JsonReader::finish() {
  for (const auto& [name, unused] : *object_) {
    if (!requestedNames_.contains(name)) report(name, "is not a known setting");
  }
}

}  // namespace Hallchute
