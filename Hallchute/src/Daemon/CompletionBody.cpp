// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/CompletionBody.h"

#include <algorithm>

#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::int64_t kDefaultMaxTokens = 256;

std::string readMessages(const JsonObject& json, JsonReader& reader) {
  std::string prompt;
  if (!json->isArray("messages")) {
    reader.report("messages", "must be an array");
    return prompt;
  }
  const auto messages = json->getArray("messages");
  if (messages->size() == 0) reader.report("messages", "must not be empty");
  for (unsigned i = 0; i < messages->size(); ++i) {
    const std::string path = "messages/" + std::to_string(i);
    const JsonObject message = messages->isObject(i) ? messages->getObject(i) : JsonObject();
    if (!message || !message->get("role").isString() || !message->get("content").isString()) {
      reader.report(path, "must be an object with the strings role and content");
      continue;
    }
    prompt += message->getValue<std::string>("role") + ": " +
              message->getValue<std::string>("content") + "\n";
  }
  return prompt;
}

}  // namespace

CompletionBody readCompletionBody(std::string_view text, bool chat, std::size_t maxTokens,
                                  Findings& findings) {
  CompletionBody body;
  const JsonObject json = parseJsonObject(text, findings);
  if (!json) return body;
  JsonReader reader(json, "", findings);
  body.service = ServiceName(reader.text("model", true));
  body.prompt = chat ? readMessages(json, reader) : reader.text("prompt", true);
  const auto upperBound = static_cast<std::int64_t>(maxTokens);
  body.maxTokens = static_cast<std::size_t>(
      reader.integer("max_tokens", 1, upperBound, std::min(upperBound, kDefaultMaxTokens)));
  body.stream = reader.boolean("stream", false);
  body.session = reader.text("user", false);
  return body;
}

}  // namespace Hallchute
