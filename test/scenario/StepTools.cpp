// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/StepTools.h"

#include <sstream>
#include <stdexcept>

namespace Scenario {

void require(bool holds, const std::string& what) {
  if (!holds) throw std::runtime_error(what);
}

const std::string& word(const Step& step, std::size_t index) {
  require(step.words.size() > index, "a word is missing");
  return step.words[index];
}

Hallchute::JsonObject parse(const std::string& text) {
  Hallchute::Findings findings;
  return Hallchute::parseJsonObject(text, findings);
}

bool compare(double left, const std::string& comparison, double right) {
  if (comparison == "<=") return left <= right;
  if (comparison == ">=") return left >= right;
  if (comparison == "==") return left == right;
  if (comparison == "<") return left < right;
  if (comparison == ">") return left > right;
  throw std::runtime_error("no such comparison: " + comparison);
}

std::string number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace Scenario
