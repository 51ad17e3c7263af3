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

/// \brief Reads a JSON object member by member and collects every fault with its place.
/// \ingroup Settings
///
/// Each read marks its member as known; finish() reports the members that no read asked for.
class JsonReader {
 public:
  /// \param path the JSON pointer of \p object in its document.
  JsonReader(JsonObject object, std::string path, Findings& findings);

  /// \brief An integer within [\p least, \p most]; \p fallback if absent or faulty.
  std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most,
                       std::int64_t fallback);
  /// \brief A number within [\p least, \p most]; \p fallback if absent or faulty.
  double number(const std::string& name, double least, double most, double fallback);
  bool boolean(const std::string& name, bool fallback);
  /// \brief A string; a finding if it is absent and \p required.
  std::string text(const std::string& name, bool required);
  /// \brief One of \p words; their first if absent.
  std::string oneOf(const std::string& name, std::span<const std::string_view> words);
  std::vector<std::string> stringList(const std::string& name);
  bool has(const std::string& name) const;
  /// \brief Runs \p read on the member object; does nothing if it is absent.
  void object(const std::string& name, const std::function<void(JsonReader&)>& read);
  /// \brief Runs \p read on each member of the member object, with the member's name.
  void each(const std::string& name,
            const std::function<void(const std::string&, JsonReader&)>& read);
  /// \brief Adds a finding at the member \p name.
  void report(const std::string& name, std::string message);
  /// \brief Reports each member that was never asked for.
  void finish();

 private:
  Poco::Dynamic::Var take(const std::string& name);
  JsonObject childObject(const std::string& name);

  JsonObject object_;
  std::string path_;
  Findings& findings_;
  std::set<std::string> known_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_SETTINGS_JSONREADER_H
