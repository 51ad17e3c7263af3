// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_SETTINGS_JSONREADER_H
#define HALLCHUTE_SETTINGS_JSONREADER_H

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \brief Reads a JSON object member by member and collects every error with its JSON pointer.
/// \ingroup Settings
///
/// Each read marks its member as known; finish() reports the members that were never read.
class JsonReader {
 public:
  /// \param path the JSON pointer of \p object in its document.
  JsonReader(JsonObject object, std::string path, Findings& findings);

  /// \brief An integer in [\p minimum, \p maximum]; \p defaultValue if absent or invalid.
  std::int64_t integer(const std::string& name, std::int64_t minimum, std::int64_t maximum,
                       std::int64_t defaultValue);
  /// \brief A number in [\p minimum, \p maximum]; \p defaultValue if absent or invalid.
  double number(const std::string& name, double minimum, double maximum, double defaultValue);
  bool boolean(const std::string& name, bool defaultValue);
  /// \brief A string; adds a finding if it is absent and \p required.
  std::string text(const std::string& name, bool required);
  /// \brief One of \p allowed; the first of them if absent or invalid.
  std::string oneOf(const std::string& name, std::span<const std::string_view> allowed);
  std::vector<std::string> stringList(const std::string& name);
  bool has(const std::string& name) const;
  /// \brief Calls \p read for the member object; does nothing if it is absent.
  void object(const std::string& name, const std::function<void(JsonReader&)>& read);
  /// \brief Calls \p read for each member of the member object, with the name of that member.
  void forEachObject(const std::string& name,
                     const std::function<void(const std::string&, JsonReader&)>& read);
  /// \brief Adds a finding for the member \p name.
  void report(const std::string& name, std::string message);
  /// \brief Reports each member that was never read as unknown.
  void finish();

 private:
  Poco::Dynamic::Var readMember(const std::string& name);
  JsonObject childObject(const std::string& name);

  JsonObject object_;
  std::string path_;
  Findings& findings_;
  std::set<std::string> requestedNames_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_JSONREADER_H
