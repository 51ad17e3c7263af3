// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/SettingsTemplate.h"

#include <Poco/JSON/Array.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <stdexcept>
#include <utility>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Soak {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kMarkLength = 2;
constexpr std::string_view kJsonSuffix = "|json";

template <typename T>
typename T::Ptr as(const Var& value) {
  return !value.isEmpty() && value.type() == typeid(typename T::Ptr)
             ? value.extract<typename T::Ptr>()
             : typename T::Ptr();
}

Var member(const Var& value, const std::string& name) {
  if (const Object::Ptr object = as<Object>(value)) return object->get(name);
  unsigned index = 0;
  const Array::Ptr array = as<Array>(value);
  return array && absl::SimpleAtoi(name, &index) ? array->get(index) : Var();
}

std::string plainText(const Var& value) {
  if (value.isEmpty()) return {};
  if (as<Object>(value)) return Hallchute::jsonText(value);
  const Array::Ptr array = as<Array>(value);
  if (!array) return value.convert<std::string>();
  std::string all;
  for (const Var& item : *array) absl::StrAppend(&all, all.empty() ? "" : ",", plainText(item));
  return all;
}

}  // namespace

SettingsTemplate::SettingsTemplate(const Object::Ptr& fields) : scopes_{{fields, "", true}} {}

std::string SettingsTemplate::fill(std::string_view text) {
  out_.clear();
  append(text);
  return out_;
}

void SettingsTemplate::append(std::string_view text) {
  while (true) {
    const std::size_t open = text.find("{{");
    out_.append(text.substr(0, open));
    if (open == std::string_view::npos) return;
    const std::size_t close = text.find("}}", open);
    if (close == std::string_view::npos) throw std::runtime_error("a gap does not end");
    const std::string tag(text.substr(open + kMarkLength, close - open - kMarkLength));
    text.remove_prefix(close + kMarkLength);
    if (tag[0] != '#' && tag[0] != '^') {
      appendTag(tag);
      continue;
    }
    const std::string name = tag.substr(1);
    const std::string end = absl::StrCat("{{/", name, "}}");
    const std::size_t at = text.find(end);
    if (at == std::string_view::npos) throw std::runtime_error(name + " does not end");
    appendSection(tag[0], name, text.substr(0, at));
    text.remove_prefix(at + end.size());
  }
}

void SettingsTemplate::appendTag(const std::string& tag) {
  const Scope& scope = scopes_.back();
  if (tag == "@") {
    out_ += scope.key;
  } else if (tag == ",") {
    out_ += scope.last ? "" : ",";
  } else if (tag.ends_with(kJsonSuffix)) {
    out_ += Hallchute::jsonText(find(tag.substr(0, tag.size() - kJsonSuffix.size())));
  } else {
    out_ += plainText(find(tag));
  }
}

void SettingsTemplate::appendSection(char sort, const std::string& name, std::string_view body) {
  const Value value = find(name);
  const bool given = !value.isEmpty() && !(value.isBoolean() && !value.convert<bool>());
  if (sort == '^') {
    if (!given) append(body);
  } else if (const Object::Ptr object = as<Object>(value)) {
    std::size_t left = object->size();
    for (const auto& [key, entry] : *object) appendEntry({entry, key, --left == 0}, body);
  } else if (const Array::Ptr array = as<Array>(value)) {
    for (std::size_t i = 0; i < array->size(); ++i) {
      appendEntry({array->get(static_cast<unsigned>(i)), std::to_string(i), i + 1 == array->size()},
                  body);
    }
  } else if (given) {
    appendEntry({value, "", true}, body);
  }
}

void SettingsTemplate::appendEntry(Scope scope, std::string_view body) {
  scopes_.push_back(std::move(scope));
  append(body);
  scopes_.pop_back();
}

SettingsTemplate::Value SettingsTemplate::find(const std::string& name) const {
  if (name == ".") return scopes_.back().entry;
  for (auto scope = scopes_.rbegin(); scope != scopes_.rend(); ++scope) {
    Value value = scope->entry;
    for (const auto part : absl::StrSplit(name, '.')) value = member(value, std::string(part));
    if (!value.isEmpty()) return value;
  }
  return {};
}

}  // namespace Soak
