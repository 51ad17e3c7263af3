// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Recovery/HandOverRecord.h"

#include <array>

#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 3> kStates{"running", "finished", "refused"};
constexpr std::int64_t kMaxInteger = INT64_MAX;

}  // namespace

std::string requestKey(const RequestId& request) {
  return std::string(kRequestPrefix) + request.str();
}

std::string handOverText(const HandOverRecord& record) {
  JsonObject json = new Poco::JSON::Object;
  json->set("request", record.request.str());
  json->set("holder", record.holder.str());
  json->set("generation", record.generation);
  json->set("epoch", record.epoch);
  json->set("state", std::string(kStates[static_cast<std::size_t>(record.state)]));
  json->set("organisation", record.organisation.str());
  json->set("service", record.service.str());
  json->set("workClass", record.workClass.str());
  json->set("prompt", record.prompt);
  json->set("chat", record.chat);
  json->set("maxTokens", record.maxTokens);
  Poco::JSON::Array::Ptr tokens = new Poco::JSON::Array;
  for (const std::string& token : record.tokens) tokens->add(token);
  json->set("tokens", tokens);
  json->set("detail", record.detail);
  return jsonText(json);
}

HandOverRecord parseHandOver(std::string_view text, Findings& findings) {
  HandOverRecord record;
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return record;
  JsonReader reader(json, "", findings);
  record.request = RequestId(reader.text("request", true));
  record.holder = DaemonId(reader.text("holder", true));
  record.generation = static_cast<std::uint64_t>(reader.integer("generation", 1, kMaxInteger, 1));
  record.epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, kMaxInteger, 0));
  const std::string state = reader.oneOf("state", kStates);
  for (std::size_t i = 0; i < kStates.size(); ++i) {
    if (kStates[i] == state) record.state = static_cast<JobState>(i);
  }
  record.organisation = OrganisationName(reader.text("organisation", true));
  record.service = ServiceName(reader.text("service", true));
  record.workClass = WorkClassName(reader.text("workClass", true));
  record.prompt = reader.text("prompt", true);
  record.chat = reader.boolean("chat", true);
  record.maxTokens = static_cast<std::size_t>(reader.integer("maxTokens", 0, kMaxInteger, 0));
  record.tokens = reader.stringList("tokens");
  record.detail = reader.text("detail", false);
  return record;
}

}  // namespace Hallchute
