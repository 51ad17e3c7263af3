// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Upstream/EngineHttp.h"

#include <istream>
#include <optional>

#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {
namespace {

constexpr Millis kControlCallTimeout{2'000};
constexpr int kUnavailable = 503;
constexpr std::string_view kDataPrefix = "data: ";

std::string generateBody(const GenerateRequest& request) {
  JsonObject json = new Poco::JSON::Object;
  json->set("request", request.request);
  json->set("epoch", request.epoch);
  json->set("prompt", request.prompt);
  json->set("maxTokens", request.maxTokens);
  Poco::JSON::Array::Ptr tokens = new Poco::JSON::Array;
  for (const std::string& token : request.tokensSoFar) tokens->add(token);
  json->set("tokensSoFar", tokens);
  json->set("priority", request.priority);
  json->set("cacheHandle", request.cacheHandle);
  return jsonText(json);
}

std::string requestIdBody(const std::string& request, std::uint64_t epoch) {
  JsonObject json = new Poco::JSON::Object;
  json->set("request", request);
  json->set("epoch", epoch);
  return jsonText(json);
}

std::optional<EngineEvent> readEvent(std::string_view data) {
  Findings findings;
  const JsonObject json = parseJsonObject(data, findings);
  if (!json) return std::nullopt;
  if (json->has("computed")) return ComputedTokens{json->optValue<std::size_t>("computed", 0)};
  if (json->has("leavesInMs")) {
    return LeaveNotice{Millis(json->optValue<std::int64_t>("leavesInMs", 0))};
  }
  if (!json->has("epoch") || !json->has("offset")) return std::nullopt;
  AnswerChunk chunk;
  chunk.epoch = json->optValue<std::uint64_t>("epoch", 0);
  chunk.offset = json->optValue<std::size_t>("offset", 0);
  chunk.token = json->optValue<std::string>("token", "");
  chunk.end = json->optValue<bool>("end", false);
  return chunk;
}

StreamResult readEvents(std::istream& in, const EnginePort::Receiver& receiver) {
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(kDataPrefix, 0) != 0) continue;
    const auto event = readEvent(std::string_view(line).substr(kDataPrefix.size()));
    if (!event) return {StreamEnd::broke, "an unreadable event", Millis(0)};
    if (!receiver(*event)) return {StreamEnd::stopped, "", Millis(0)};
  }
  return {StreamEnd::broke, "the stream ended or fell silent", Millis(0)};
}

StreamResult refusedResult(const HttpResponse& answer) {
  const std::string leaving = answer.header("Engine-Leaving");
  if (answer.status != kUnavailable || leaving.empty()) {
    return {StreamEnd::refused, "status " + std::to_string(answer.status), Millis(0)};
  }
  return {StreamEnd::leaving, "the engine leaves", Millis(std::atoll(leaving.c_str()))};
}

}  // namespace

EngineHttp::EngineHttp(std::string address, std::string source, Millis connectLimit)
    : address_(std::move(address)), source_(std::move(source)), connectLimit_(connectLimit) {}

StreamResult EngineHttp::generate(const GenerateRequest& request, Millis stallTimeout,
                                  const Receiver& receiver) {
  HttpExchange exchange({address_, source_, connectLimit_, stallTimeout});
  HttpRequest call{"POST", "/v1/generate", "application/json", generateBody(request), {}};
  const HttpResult result = exchange.open(call);
  if (const auto* notSent = std::get_if<HttpNeverSent>(&result)) {
    return {StreamEnd::connectFailed, notSent->detail, Millis(0)};
  }
  if (const auto* maybeSent = std::get_if<HttpMaybeSent>(&result)) {
    return {StreamEnd::broke, maybeSent->detail, Millis(0)};
  }
  const auto& answer = std::get<HttpResponse>(result);
  if (answer.status != 200) return refusedResult(answer);
  return readEvents(exchange.stream(), receiver);
}

void EngineHttp::cancel(const std::string& request, std::uint64_t epoch) {
  HttpExchange exchange({address_, source_, connectLimit_, kControlCallTimeout});
  exchange.run({"POST", "/v1/cancel", "application/json", requestIdBody(request, epoch), {}});
}

std::string EngineHttp::exportCache(const std::string& request, std::uint64_t epoch) {
  HttpExchange exchange({address_, source_, connectLimit_, kControlCallTimeout});
  const HttpResult result = exchange.run(
      {"POST", "/v1/cache/export", "application/json", requestIdBody(request, epoch), {}});
  const auto* answer = std::get_if<HttpResponse>(&result);
  return answer != nullptr && answer->status == 200 ? answer->body : std::string();
}

std::string EngineHttp::importCache(const std::string& cache) {
  HttpExchange exchange({address_, source_, connectLimit_, kControlCallTimeout});
  const HttpResult result =
      exchange.run({"POST", "/v1/cache/import", "application/octet-stream", cache, {}});
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr || answer->status != 200) return {};
  Findings findings;
  const JsonObject json = parseJsonObject(answer->body, findings);
  return json ? json->optValue<std::string>("handle", "") : std::string();
}

}  // namespace Hallchute
