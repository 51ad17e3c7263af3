// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Ledger/OnceRecord.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>

#include <array>
#include <sstream>

#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::array<std::string_view, 4> kStates{"started", "done", "unknown", "abandoned"};
constexpr std::int64_t kMaxMillis = INT64_MAX;

std::string encode(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

std::string decode(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  std::ostringstream out;
  out << decoder.rdbuf();
  return out.str();
}

OnceState parseState(const std::string& name) {
  for (std::size_t i = 0; i < kStates.size(); ++i) {
    if (kStates[i] == name) return static_cast<OnceState>(i);
  }
  return OnceState::unknown;
}

}  // namespace

std::string onceKey(const OrganisationName& organisation, std::string_view idempotencyKey) {
  return std::string(kOncePrefix) + organisation.str() + "/" + secretHash(idempotencyKey);
}

std::string onceText(const OnceRecord& record) {
  JsonObject json = new Poco::JSON::Object;
  json->set("attempt", record.attempt);
  json->set("digest", record.digest);
  json->set("holder", record.holder.str());
  json->set("state", std::string(kStates[static_cast<std::size_t>(record.state)]));
  json->set("status", record.status);
  json->set("contentType", record.contentType);
  json->set("body", encode(record.body));
  json->set("startedAtMs", record.startedAtMs);
  json->set("lifetimeMs", record.lifetimeMs);
  return jsonText(json);
}

OnceRecord parseOnce(std::string_view text, Findings& findings) {
  OnceRecord record;
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return record;
  JsonReader reader(json, "", findings);
  record.attempt = reader.text("attempt", true);
  record.digest = reader.text("digest", true);
  record.holder = DaemonId(reader.text("holder", true));
  record.state = parseState(reader.oneOf("state", kStates));
  record.status = static_cast<int>(reader.integer("status", 0, 599, 0));
  record.contentType = reader.text("contentType", false);
  record.body = decode(reader.text("body", false));
  record.startedAtMs = reader.integer("startedAtMs", 0, kMaxMillis, 0);
  record.lifetimeMs = reader.integer("lifetimeMs", 0, kMaxMillis, 0);
  return record;
}

}  // namespace Hallchute
