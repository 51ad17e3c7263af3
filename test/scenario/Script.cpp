// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/Script.h"

#include <fstream>
#include <stdexcept>

namespace Scenario {
namespace {

std::vector<std::string> split(const std::string& line, const std::string& place) {
  std::vector<std::string> words;
  std::string word;
  bool quoted = false;
  bool open = false;
  for (const char c : line) {
    if (c == '\'') {
      quoted = !quoted;
      open = true;
    } else if (c == ' ' && !quoted) {
      if (open) words.push_back(word);
      word.clear();
      open = false;
    } else {
      word += c;
      open = true;
    }
  }
  if (quoted) throw std::runtime_error(place + ": a quote is not closed");
  if (open) words.push_back(word);
  return words;
}

/// A word is an option if a plain name precedes its first `=`.
std::size_t optionSplit(const std::string& word) {
  const std::size_t equals = word.find('=');
  if (equals == std::string::npos || equals == 0) return std::string::npos;
  const bool plain =
      word.find_first_not_of("abcdefghijklmnopqrstuvwxyz_-ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789") >=
      equals;
  return plain ? equals : std::string::npos;
}

}  // namespace

std::string Step::option(const std::string& name, const std::string& fallback) const {
  const auto it = options.find(name);
  return it == options.end() ? fallback : it->second;
}

int Step::number(const std::string& name, int fallback) const {
  const auto it = options.find(name);
  return it == options.end() ? fallback : std::stoi(it->second);
}

std::vector<Step> readScript(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("can't read " + path);
  std::vector<Step> steps;
  std::string text;
  for (int line = 1; std::getline(file, text); ++line) {
    Step step{path, line, text, {}, {}};
    if (text.empty() || text.front() == '#') continue;
    for (const std::string& word : split(text, path + ":" + std::to_string(line))) {
      const std::size_t equals = optionSplit(word);
      if (equals == std::string::npos) {
        step.words.push_back(word);
      } else {
        step.options[word.substr(0, equals)] = word.substr(equals + 1);
      }
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace Scenario
