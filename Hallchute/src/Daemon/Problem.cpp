// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/Problem.h"

#include <Poco/Net/HTTPServerResponse.h>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {
namespace {

constexpr std::int64_t kMsPerSecond = 1'000;

}  // namespace

std::string problemDocument(const Refusal& refusal, std::string_view request) {
  JsonObject json = new Poco::JSON::Object;
  const std::string word(reasonName(refusal.reason));
  json->set("type", "urn:hallchute:problem:" + word);
  json->set("title", word);
  json->set("status", httpStatus(refusal.reason));
  json->set("detail", refusal.detail);
  json->set("outcome", std::string(outcomeName(refusal.outcome)));
  if (!request.empty()) json->set("request", std::string(request));
  if (refusal.retryAfter) json->set("retryAfterMs", refusal.retryAfter->count());
  return jsonText(json);
}

void sendProblem(Poco::Net::HTTPServerResponse& response, const Refusal& refusal,
                 std::string_view request) {
  const std::string body = problemDocument(refusal, request);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(httpStatus(refusal.reason)));
  response.setContentType("application/problem+json");
  response.set("Hallchute-Outcome", std::string(outcomeName(refusal.outcome)));
  if (refusal.retryAfter) {
    const auto seconds = (refusal.retryAfter->count() + kMsPerSecond - 1) / kMsPerSecond;
    response.set("Retry-After", std::to_string(seconds));
  }
  response.sendBuffer(body.data(), body.size());
}

}  // namespace Hallchute
