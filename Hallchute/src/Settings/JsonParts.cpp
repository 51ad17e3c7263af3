// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/JsonParts.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <simdjson.h>

#include <string>

namespace Hallchute {
namespace {

using Poco::Dynamic::Var;
using simdjson::ondemand::json_type;

std::string_view rawText(simdjson::ondemand::value value) {
  switch (value.type().value()) {
    case json_type::array:
      return value.get_array().value().raw_json().value();
    case json_type::object:
      return value.get_object().value().raw_json().value();
    default:
      return value.raw_json_token();
  }
}

/// The part within an array, as the parser takes no other values.
Var parsePart(std::string_view text, const std::string& path, Findings& findings) {
  try {
    Poco::JSON::Parser parser;
    const Var array = parser.parse("[" + std::string(text) + "]");
    return array.extract<Poco::JSON::Array::Ptr>()->get(0);
  } catch (const Poco::Exception& e) {
    findings.push_back({path, "can't be read: " + e.message()});
  }
  return {};
}

Poco::JSON::Array::Ptr parseElements(simdjson::ondemand::array elements, const std::string& path,
                                     Findings& findings) {
  Poco::JSON::Array::Ptr parsed = new Poco::JSON::Array;
  for (simdjson::ondemand::value element : elements) {
    const std::string elementPath = path + "/" + std::to_string(parsed->size());
    parsed->add(parsePart(rawText(element), elementPath, findings));
  }
  return parsed;
}

}  // namespace

JsonObject parseJsonParts(std::string_view text, Findings& findings) {
  try {
    const simdjson::padded_string padded(text);
    simdjson::ondemand::parser parser;
    simdjson::ondemand::document document = parser.iterate(padded);
    JsonObject parsed = new Poco::JSON::Object;
    for (simdjson::ondemand::field member : document.get_object()) {
      const std::string name(std::string_view(member.unescaped_key()));
      simdjson::ondemand::value value = member.value();
      const std::string path = "/" + name;
      if (value.type() == json_type::array) {
        parsed->set(name, parseElements(value.get_array(), path, findings));
      } else {
        parsed->set(name, parsePart(rawText(value), path, findings));
      }
    }
    return parsed;
  } catch (const simdjson::simdjson_error& e) {
    findings.push_back({"", std::string("not a JSON object: ") + e.what()});
  }
  return {};
}

}  // namespace Hallchute
