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

/// \brief The header fields of a message in their order. Names compare without case.
/// \ingroup Http
class HttpFields {
 public:
  void add(std::string_view name, std::string_view value);
  /// \brief Replaces all fields of that name.
  void set(std::string_view name, std::string_view value);
  void erase(std::string_view name);
  /// \brief The value of the first field of that name; empty if there is none.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const;
  /// \brief How many fields bear that name.
  std::size_t count(std::string_view name) const;
  /// \brief Whether a comma-separated list field holds \p token.
  bool hasToken(std::string_view name, std::string_view token) const;
  const std::vector<HttpField>& all() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

/// \brief Compares two field names, or two tokens, without case.
/// \ingroup Http
bool equalWithoutCase(std::string_view left, std::string_view right);

/// \brief Removes the fields that concern one connection only (RFC 9110, 7.6.1), those that
/// `Connection` names among them.
/// \ingroup Http
void removeHopByHop(HttpFields& fields);

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPFIELDS_H
