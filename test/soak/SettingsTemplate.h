// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_SETTINGSTEMPLATE_H
#define HALLCHUTE_TEST_SOAK_SETTINGSTEMPLATE_H

#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>
#include <vector>

namespace Soak {

/// \brief Fills the gaps of a settings template from a deployment's fields, as the platform does.
///
/// `{{a.b}}` is a value (a list with commas, a table as JSON), `{{a|json}}` a value as JSON.
/// `{{#a}}..{{/a}}` repeats for each entry of a list or table, or stands once for another value
/// that is neither missing nor false; `{{^a}}..{{/a}}` stands if it is missing or false. Within
/// one, `.` is the entry, `@` its key or number, `,` a comma but after the last entry. Sections of
/// one name don't nest.
class SettingsTemplate {
 public:
  explicit SettingsTemplate(const Poco::JSON::Object::Ptr& fields);
  std::string fill(std::string_view text);

 private:
  using Value = Poco::Dynamic::Var;
  struct Scope {
    Value entry;
    std::string key;
    bool last = true;
  };

  void append(std::string_view text);
  void appendTag(const std::string& tag);
  void appendSection(char sort, const std::string& name, std::string_view body);
  void appendEntry(Scope scope, std::string_view body);
  Value find(const std::string& name) const;

  std::vector<Scope> scopes_;
  std::string out_;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_SETTINGSTEMPLATE_H
