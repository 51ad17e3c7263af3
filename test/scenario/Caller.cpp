// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/scenario/Caller.h"

#include <istream>

#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "standin/TokenFunction.h"

namespace Scenario {
namespace {

using Hallchute::HttpExchange;
using Hallchute::HttpRequest;
using Hallchute::HttpResponse;
using Hallchute::JsonObject;
using Hallchute::Millis;

constexpr Millis kConnectLimit{1'000};
constexpr Millis kAnswerLimit{30'000};
constexpr Millis kComeBackPause{100};
constexpr std::size_t kMaxResumptions = 100;
constexpr std::string_view kData = "data: ";
constexpr std::string_view kId = "id: ";
constexpr std::string_view kEvent = "event: ";

double millisSince(Hallchute::Instant start) {
  const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - start;
  return passed.count();
}

/// The prompt as the daemon sends it to the engine.
std::string enginePrompt(const std::string& prompt) {
  return "user: " + prompt + "\n";
}

JsonObject parse(std::string_view text) {
  Hallchute::Findings findings;
  return Hallchute::parseJsonObject(text, findings);
}

/// The text in a chunk or a whole document.
std::string contentOf(const JsonObject& json, const char* member) {
  const auto choices = json->getArray("choices");
  if (!choices || choices->size() == 0) return {};
  const JsonObject part = choices->getObject(0)->getObject(member);
  return part ? part->optValue<std::string>("content", "") : std::string();
}

void readHead(const HttpResponse& answer, CallResult& result) {
  result.status = answer.status;
  result.outcome = answer.header("Hallchute-Outcome");
  const std::string request = answer.header("Hallchute-Request");
  if (!request.empty()) result.request = request;
  const std::string retry = answer.header("Retry-After");
  if (!retry.empty()) result.retryAfterMs = std::stod(retry) * 1'000;
}

}  // namespace

Caller::Caller(CallPlan plan)
    : plan_(std::move(plan)),
      start_(std::chrono::steady_clock::now()),
      thread_([this] { run(); }) {}

Caller::~Caller() {
  thread_.join();
}

bool Caller::whole() const {
  if (plan_.kind == "order") return result_.status == 200 && !result_.text.empty();
  return result_.done && result_.status == 200 &&
         result_.text == Standin::answerOf(enginePrompt(plan_.prompt), plan_.tokens);
}

void Caller::run() {
  if (plan_.kind == "order") {
    order();
  } else {
    chat();
  }
  result_.tookMs = millisSince(start_);
  finished_ = true;
}

void Caller::chat() {
  JsonObject message = new Poco::JSON::Object;
  message->set("role", "user");
  message->set("content", plan_.prompt);
  Poco::JSON::Array::Ptr messages = new Poco::JSON::Array;
  messages->add(message);
  JsonObject json = new Poco::JSON::Object;
  json->set("model", plan_.service);
  json->set("messages", messages);
  json->set("max_tokens", plan_.tokens);
  json->set("stream", plan_.stream);
  HttpRequest call{
      "POST", "/v1/chat/completions", "application/json", Hallchute::jsonText(json), {}};
  call.headers.emplace_back("Authorization", "Bearer " + plan_.token);
  if (!plan_.workClass.empty()) call.headers.emplace_back("Hallchute-Class", plan_.workClass);
  if (plan_.async) call.headers.emplace_back("Prefer", "respond-async");
  HttpExchange exchange({plan_.daemons.front(), "", kConnectLimit, kAnswerLimit});
  const bool streams = plan_.stream && !plan_.async;
  const auto result = streams ? exchange.open(call) : exchange.run(call);
  if (const auto* answer = std::get_if<HttpResponse>(&result)) {
    readHead(*answer, result_);
    if (answer->status == 200 && streams) readStream(exchange.stream());
    if (answer->status == 200 && !streams) {
      result_.text = contentOf(parse(answer->body), "message");
      result_.done = true;
    }
    if (answer->status >= 400) {
      result_.problem = answer->body;
      if (streams) std::getline(exchange.stream(), result_.problem);
      return;
    }
  }
  for (std::size_t i = 1; plan_.follow && !result_.done && i <= kMaxResumptions; ++i) {
    if (!resume(i)) return;
  }
}

/// \returns whether another attempt is worthwhile.
bool Caller::resume(std::size_t attempt) {
  if (result_.request.empty()) return false;
  std::this_thread::sleep_for(kComeBackPause);
  ++result_.resumptions;
  HttpRequest call;
  call.target = "/v1/requests/" + result_.request;
  call.headers.emplace_back("Authorization", "Bearer " + plan_.token);
  call.headers.emplace_back("Accept", "text/event-stream");
  call.headers.emplace_back("Last-Event-ID", std::to_string(received_));
  const std::string& daemon = plan_.daemons[attempt % plan_.daemons.size()];
  HttpExchange exchange({daemon, "", kConnectLimit, kAnswerLimit});
  const auto result = exchange.open(call);
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) return true;
  if (answer->status == 200) {
    readHead(*answer, result_);
    readStream(exchange.stream());
  }
  return true;
}

void Caller::readStream(std::istream& in) {
  std::string line;
  event_.clear();
  while (!result_.done && std::getline(in, line)) readLine(line);
}

void Caller::readLine(const std::string& line) {
  if (line.rfind(kId, 0) == 0) lastId_ = line.substr(kId.size());
  if (line.rfind(kEvent, 0) == 0) event_ = line.substr(kEvent.size());
  if (line.rfind(kData, 0) != 0) return;
  const std::string data = line.substr(kData.size());
  if (event_ == "moved") {
    result_.moved = true;
  } else if (event_ == "error") {
    result_.problem = data;
  } else if (data == "[DONE]") {
    result_.done = true;
  } else {
    const std::string token = contentOf(parse(data), "delta");
    if (token.empty()) return;
    if (received_ == 0) result_.firstTokenMs = millisSince(start_);
    result_.text += token;
    received_ = std::stoull(lastId_);
  }
}

void Caller::order() {
  for (std::size_t i = 0; i < kMaxResumptions; ++i) {
    orderOnce();
    if (!plan_.retry || result_.outcome != "not-run" || result_.retryAfterMs < 0) return;
    std::this_thread::sleep_for(Millis(static_cast<std::int64_t>(result_.retryAfterMs)));
  }
}

void Caller::orderOnce() {
  HttpRequest call{
      "POST", "/v1/services/" + plan_.service + "/orders", "application/json", plan_.body, {}};
  call.headers.emplace_back("Authorization", "Bearer " + plan_.token);
  call.headers.emplace_back("Hallchute-Class", "order");
  if (!plan_.key.empty()) call.headers.emplace_back("Idempotency-Key", plan_.key);
  HttpExchange exchange({plan_.daemons.front(), "", kConnectLimit, kAnswerLimit});
  const auto result = exchange.run(call);
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) return;
  readHead(*answer, result_);
  result_.done = true;
  (answer->status == 200 ? result_.text : result_.problem) = answer->body;
}

}  // namespace Scenario
