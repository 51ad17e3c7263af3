// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PlainHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <array>

#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/HeldBody.h"
#include "Hallchute/src/Daemon/PlainRunner.h"
#include "Hallchute/src/Daemon/Problem.h"
#include "Hallchute/src/Daemon/RandomName.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogContext.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr std::array<const char*, 3> kForwardedHeaders{"Accept", "Accept-Language",
                                                       "Idempotency-Key"};
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/// Counts a call as in flight for the lifetime of the object.
class ScopedCallCount {
 public:
  explicit ScopedCallCount(std::atomic<int>& count) : count_(count) { ++count_; }
  ~ScopedCallCount() { --count_; }
  ScopedCallCount(const ScopedCallCount&) = delete;
  ScopedCallCount& operator=(const ScopedCallCount&) = delete;

 private:
  std::atomic<int>& count_;
};

void sendServiceAnswer(Poco::Net::HTTPServerResponse& response, const PlainResponse& answer) {
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
  if (!answer.contentType.empty()) response.setContentType(answer.contentType);
  if (answer.status < 200 || answer.status >= 300) response.set("Hallchute-Outcome", "ran");
  response.sendBuffer(answer.body.data(), answer.body.size());
}

}  // namespace

void PlainHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                 Poco::Net::HTTPServerResponse& response) {
  const ScopedCallCount callCount(services_.plainCalls);
  disableNagle(request);
  request_ = services_.context.daemon.str() + "-" + randomName();
  const LogContext context("request", request_);
  response.set("Hallchute-Request", request_);
  if (services_.draining) response.setKeepAlive(false);
  const std::optional<Refusal> refusal = handle(request, response);
  const std::string result = refusal ? std::string(reasonName(refusal->reason)) : "served";
  services_.context.metrics.add("hallchute_requests_total",
                                "kind=\"plain\",result=\"" + result + "\"");
  if (refusal) sendProblem(response, *refusal, request_);
}

std::optional<Refusal> PlainHandler::handle(Poco::Net::HTTPServerRequest& request,
                                            Poco::Net::HTTPServerResponse& response) {
  if (auto closed = drainingRefusal(services_)) return closed;
  const auto found = authenticate(request, services_);
  if (const auto* refusal = std::get_if<Refusal>(&found)) return *refusal;
  const Caller& caller = std::get<Caller>(found);
  if (auto refusal = checkService(caller, service_, ServiceKind::plain)) return refusal;
  const auto workClass = selectWorkClass(request, caller, service_);
  if (const auto* refusal = std::get_if<Refusal>(&workClass)) return *refusal;
  const PolicyScope scope{services_.context.domain, service_, caller.organisation->name};
  const auto maxBody =
      static_cast<std::size_t>(caller.settings->tree.policy(PolicyKey::maxBodyBytes, scope));
  HeldBody held(services_.bodies, socketOf(request), maxBody);
  const Millis time(caller.settings->tree.policy(PolicyKey::requestLimitMs, scope));
  auto body = readBody(request, {maxBody, time}, &held);
  if (const auto* refusal = std::get_if<Refusal>(&body)) return *refusal;
  return run(request, response, caller, *std::get<const WorkClass*>(workClass),
             std::move(std::get<std::string>(body)));
}

std::optional<Refusal> PlainHandler::run(Poco::Net::HTTPServerRequest& request,
                                         Poco::Net::HTTPServerResponse& response,
                                         const Caller& caller, const WorkClass& workClass,
                                         std::string body) {
  const PolicyScope scope{services_.context.domain, service_, caller.organisation->name};
  const SettingsTree& tree = caller.settings->tree;
  PlainJob job;
  job.request = RequestId(request_);
  job.organisation = caller.organisation;
  job.service = service_;
  job.workClass = workClass;
  job.idempotencyKey = request.get("Idempotency-Key", "");
  if (!workClass.repeatable &&
      (job.idempotencyKey.empty() || job.idempotencyKey.size() > kMaxIdempotencyKeyBytes)) {
    return Refusal{RefusalReason::idempotencyKeyRequired,
                   "work that must not repeat needs an Idempotency-Key of 1 to 255 bytes",
                   RunOutcome::notRun, std::nullopt};
  }
  job.call = {request.getMethod(), target_, request.getContentType(), std::move(body), {}};
  if (job.call.contentType == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE) {
    job.call.contentType.clear();
  }
  for (const char* name : kForwardedHeaders) {
    if (request.has(name)) job.call.headers.emplace_back(name, request.get(name));
  }
  job.call.headers.emplace_back("Hallchute-Request", request_);
  job.deadline = clockNow() + Millis(tree.policy(PolicyKey::requestLimitMs, scope));
  job.queueLimit = Millis(tree.policy(PolicyKey::queueLimitMs, scope));
  const PlainOutcome outcome = PlainRunner(services_.context, services_.onceRecords, job).run();
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) return *refusal;
  sendServiceAnswer(response, std::get<PlainResponse>(outcome));
  return std::nullopt;
}

}  // namespace Hallchute
