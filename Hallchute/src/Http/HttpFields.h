// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_HTTPFIELDS_H
#define HALLCHUTE_HTTP_HTTPFIELDS_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Hallchute {

/// \brief One header field of a message.
/// \ingroup Http
struct HttpField {
  std::string name;
  std::string value;
  bool operator==(const HttpField&) const = default;
};

/// \brief The header fields of a message in order. Field names are case-insensitive.
/// \ingroup Http
class HttpFields {
 public:
  void add(std::string_view name, std::string_view value);
  /// \brief Replaces all fields with that name.
  void set(std::string_view name, std::string_view value);
  void erase(std::string_view name);
  /// \brief The value of the first field with that name; empty if there is none.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const;
  /// \brief The number of fields with that name.
  std::size_t count(std::string_view name) const;
  /// \brief Whether a comma-separated list field contains \p token, ignoring case.
  bool hasToken(std::string_view name, std::string_view token) const;
  const std::vector<HttpField>& all() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

/// \brief Compares two field names or tokens, ignoring ASCII case.
/// \ingroup Http
bool equalsIgnoreCase(std::string_view left, std::string_view right);

/// \brief Removes the hop-by-hop fields (RFC 9110, 7.6.1), including those listed in `Connection`.
/// \ingroup Http
void removeHopByHop(HttpFields& fields);

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPFIELDS_H
