// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Http/HttpFields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop{"Connection",
                                                    "Keep-Alive",
                                                    "Proxy-Connection",
                                                    "Proxy-Authenticate",
                                                    "Proxy-Authorization",
                                                    "TE",
                                                    "Trailer",
                                                    "Transfer-Encoding",
                                                    "Upgrade"};

absl::string_view abslView(std::string_view text) {
  return {text.data(), text.size()};
}

/// Calls \p visit with each token of a comma-separated list.
template <typename Visit>
void forEachToken(std::string_view list, const Visit& visit) {
  for (const absl::string_view part : absl::StrSplit(abslView(list), ',')) {
    const absl::string_view token = absl::StripAsciiWhitespace(part);
    if (!token.empty()) visit(std::string_view(token.data(), token.size()));
  }
}

}  // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(abslView(left), abslView(right));
}

void HttpFields::add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void HttpFields::set(std::string_view name, std::string_view value) {
  erase(name);
  add(name, value);
}

void HttpFields::erase(std::string_view name) {
  std::erase_if(fields_, [&](const HttpField& f) { return equalsIgnoreCase(f.name, name); });
}

std::string_view HttpFields::get(std::string_view name) const {
  for (const HttpField& field : fields_) {
    if (equalsIgnoreCase(field.name, name)) return field.value;
  }
  return {};
}

bool HttpFields::has(std::string_view name) const {
  return count(name) > 0;
}

std::size_t HttpFields::count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(fields_.begin(), fields_.end(),
                    [&](const HttpField& f) { return equalsIgnoreCase(f.name, name); }));
}

bool HttpFields::hasToken(std::string_view name, std::string_view token) const {
  bool found = false;
  for (const HttpField& field : fields_) {
    if (!equalsIgnoreCase(field.name, name)) continue;
    forEachToken(field.value, [&](std::string_view t) { found |= equalsIgnoreCase(t, token); });
  }
  return found;
}

void removeHopByHop(HttpFields& fields) {
  std::vector<std::string> connectionOptions;
  for (const HttpField& field : fields.all()) {
    if (!equalsIgnoreCase(field.name, "Connection")) continue;
    forEachToken(field.value,
                 [&](std::string_view token) { connectionOptions.emplace_back(token); });
  }
  for (const std::string& name : connectionOptions) fields.erase(name);
  for (const std::string_view name : kHopByHop) fields.erase(name);
}

}  // namespace Hallchute
