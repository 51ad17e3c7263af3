// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCENARIO_SCRIPT_H
#define HALLCHUTE_TEST_SCENARIO_SCRIPT_H

#include <map>
#include <string>
#include <vector>

namespace Scenario {

/// \brief One line of a script: words, then `name=value` pairs.
struct Step {
  std::string file;
  int line = 0;
  std::string text;
  std::vector<std::string> words;
  std::map<std::string, std::string> options;

  std::string option(const std::string& name, const std::string& fallback) const;
  int number(const std::string& name, int fallback) const;
};

/// \brief Reads a script. Lines that are empty or start with `#` are skipped; a value may be set in
/// single quotes. Throws an error that names file and line.
std::vector<Step> readScript(const std::string& path);

}  // namespace Scenario

#endif  // HALLCHUTE_TEST_SCENARIO_SCRIPT_H
