// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/JsonReader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace Hallchute {

JsonReader::JsonReader(JsonObject object, std::string path, Findings& findings)
    : object_(std::move(object)), path_(std::move(path)), findings_(findings) {}

Poco::Dynamic::Var JsonReader::take(const std::string& name) {
  known_.insert(name);
  return object_->get(name);
}

void JsonReader::report(const std::string& name, std::string message) {
  findings_.push_back({path_ + "/" + name, std::move(message)});
}

bool JsonReader::has(const std::string& name) const {
  return object_->has(name);
}

std::int64_t JsonReader::integer(const std::string& name, std::int64_t least, std::int64_t most,
                                 std::int64_t fallback) {
  const Poco::Dynamic::Var value = take(name);
  if (value.isEmpty()) return fallback;
  if (!value.isInteger() || value.isBoolean()) {
    report(name, "must be an integer");
    return fallback;
  }
  const auto number = value.convert<std::int64_t>();
  if (number < least || number > most) {
    report(name, "must be between " + std::to_string(least) + " and " + std::to_string(most) +
                     ", is " + std::to_string(number));
    return fallback;
  }
  return number;
}

double JsonReader::number(const std::string& name, double least, double most, double fallback) {
  const Poco::Dynamic::Var value = take(name);
  if (value.isEmpty()) return fallback;
  if (!value.isNumeric() || value.isBoolean()) {
    report(name, "must be a number");
    return fallback;
  }
  const auto found = value.convert<double>();
  if (found >= least && found <= most) return found;
  report(name, absl::StrCat("must be between ", least, " and ", most, ", is ", found));
  return fallback;
}

bool JsonReader::boolean(const std::string& name, bool fallback) {
  const Poco::Dynamic::Var value = take(name);
  if (value.isEmpty()) return fallback;
  if (value.isBoolean()) return value.extract<bool>();
  report(name, "must be true or false");
  return fallback;
}

std::string JsonReader::text(const std::string& name, bool required) {
  const Poco::Dynamic::Var value = take(name);
  if (value.isEmpty()) {
    if (required) report(name, "is missing");
    return {};
  }
  if (value.isString()) return value.extract<std::string>();
  report(name, "must be a string");
  return {};
}

std::string JsonReader::oneOf(const std::string& name, std::span<const std::string_view> words) {
  std::string value = text(name, false);
  if (!has(name)) return std::string(words.front());
  if (std::find(words.begin(), words.end(), value) != words.end()) return value;
  std::string choices;
  for (std::string_view word : words) choices += (choices.empty() ? "" : ", ") + std::string(word);
  report(name, "must be one of " + choices);
  return std::string(words.front());
}

std::vector<std::string> JsonReader::stringList(const std::string& name) {
  std::vector<std::string> found;
  const Poco::Dynamic::Var value = take(name);
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
  Poco::Dynamic::Var value = take(name);
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

void JsonReader::each(const std::string& name,
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
    if (!known_.contains(name)) report(name, "is not a known setting");
  }
}

}  // namespace Hallchute
