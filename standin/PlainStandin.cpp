// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/PlainStandin.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Standin {

using Poco::JSON::Object;

void PlainStandin::handle(const Request& request, Poco::Net::HTTPServerResponse& response) {
  if (request.path.rfind("/control/", 0) == 0) {
    control(request, response);
    return;
  }
  const std::string key = request.raw.get("Idempotency-Key", "");
  std::unique_lock lock(mutex_);
  if (leaving_) {
    lock.unlock();
    response.set("Service-Leaving", "1");
    sendJson(response, 503, new Object);
    return;
  }
  ++total_;
  if (!key.empty()) ++runs_[key];
  const bool drop = dropAnswers_ > 0;
  if (drop) --dropAnswers_;
  const int delay = delayMs_;
  lock.unlock();
  if (delay > 0) std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  if (drop) {
    hangUp(request);
    return;
  }
  Object::Ptr json = new Object;
  json->set("confirmation", std::to_string(Hallchute::stableHash(key + request.body)));
  sendJson(response, 200, json);
}

void PlainStandin::control(const Request& request, Poco::Net::HTTPServerResponse& response) {
  Hallchute::Findings findings;
  Object::Ptr json = new Object;
  if (!request.body.empty()) json = Hallchute::parseJsonObject(request.body, findings);
  Object::Ptr answer = new Object;
  std::unique_lock lock(mutex_);
  if (json && request.path == "/control/faults") {
    delayMs_ = json->optValue("delayMs", delayMs_);
    dropAnswers_ = json->optValue("dropAnswers", dropAnswers_);
    leaving_ = json->optValue("leaving", leaving_);
  }
  std::uint64_t most = 0;
  for (const auto& [key, count] : runs_) most = std::max(most, count);
  answer->set("total", total_);
  answer->set("keys", runs_.size());
  answer->set("mostRunsOfOneKey", most);
  lock.unlock();
  sendJson(response, 200, answer);
}

}  // namespace Standin
