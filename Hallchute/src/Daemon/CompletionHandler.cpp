// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/CompletionHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "Hallchute/src/Daemon/AnswerWriter.h"
#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/CompletionBody.h"
#include "Hallchute/src/Daemon/HeldBody.h"
#include "Hallchute/src/Daemon/JobFactory.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobStarter.h"
#include "Hallchute/src/Daemon/Problem.h"
#include "Hallchute/src/Daemon/RandomName.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr Millis kPlatformRetryAfter{1'000};

Refusal invalidBodyRefusal(const Findings& findings) {
  return {RefusalReason::badRequest, describe(findings), RunOutcome::notRun, std::nullopt};
}

bool wantsAsync(const Poco::Net::HTTPServerRequest& request) {
  return request.get("Prefer", "").find("respond-async") != std::string::npos;
}

/// Registers a reader of a job for its own lifetime.
class ScopedReader {
 public:
  explicit ScopedReader(Job& job) : job_(job) { job_.attach(); }
  ~ScopedReader() { job_.detach(clockNow()); }
  ScopedReader(const ScopedReader&) = delete;
  ScopedReader& operator=(const ScopedReader&) = delete;

 private:
  Job& job_;
};

}  // namespace

void CompletionHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  disableNagle(request);
  requestId_ = services_.context.daemon.str() + "-" + randomName();
  response.set("Hallchute-Request", requestId_);
  if (services_.draining) response.setKeepAlive(false);
  const std::optional<Refusal> refusal = handle(request, response);
  const std::string result = refusal ? std::string(reasonName(refusal->reason)) : "served";
  services_.context.metrics.add("hallchute_requests_total",
                                "kind=\"model\",result=\"" + result + "\"");
  if (refusal) sendProblem(response, *refusal, requestId_);
}

std::optional<Refusal> CompletionHandler::handle(Poco::Net::HTTPServerRequest& request,
                                                 Poco::Net::HTTPServerResponse& response) {
  if (auto rejected = drainingRefusal(services_)) return rejected;
  const auto caller = authenticate(request, services_);
  if (const auto* refusal = std::get_if<Refusal>(&caller)) return *refusal;
  const PolicyScope scope{services_.context.domain, ServiceName(),
                          std::get<Caller>(caller).organisation->name};
  const SettingsTree& tree = std::get<Caller>(caller).settings->tree;
  HeldBody held(services_.bodies, socketOf(request),
                static_cast<std::size_t>(tree.policy(PolicyKey::maxBodyBytes, scope)));
  const auto completion = readCompletion(request, std::get<Caller>(caller), held);
  if (const auto* refusal = std::get_if<Refusal>(&completion)) return *refusal;
  return serve(request, response, std::get<Caller>(caller), std::get<CompletionBody>(completion));
}

std::variant<CompletionBody, Refusal> CompletionHandler::readCompletion(
    Poco::Net::HTTPServerRequest& request, const Caller& caller, HeldBody& held) const {
  const SettingsTree& tree = caller.settings->tree;
  PolicyScope scope{services_.context.domain, ServiceName(), caller.organisation->name};
  const auto maxBody = static_cast<std::size_t>(tree.policy(PolicyKey::maxBodyBytes, scope));
  const Millis time(tree.policy(PolicyKey::requestLimitMs, scope));
  const auto text = readBody(request, {maxBody, time}, &held);
  if (const auto* refusal = std::get_if<Refusal>(&text)) return *refusal;
  const auto maxTokens = static_cast<std::size_t>(tree.policy(PolicyKey::maxOutputTokens, scope));
  Findings findings;
  CompletionBody body = readCompletionBody(std::get<std::string>(text), chat_, maxTokens, findings);
  if (!findings.empty()) return invalidBodyRefusal(findings);
  if (auto refusal = checkService(caller, body.service, ServiceKind::model)) return *refusal;
  return body;
}

std::optional<Refusal> CompletionHandler::serve(Poco::Net::HTTPServerRequest& request,
                                                Poco::Net::HTTPServerResponse& response,
                                                const Caller& caller, const CompletionBody& body) {
  const auto workClass = selectWorkClass(request, caller, body.service);
  if (const auto* refusal = std::get_if<Refusal>(&workClass)) return *refusal;
  JobParameters generation;
  generation.workClass = std::get<const WorkClass*>(workClass);
  if (!generation.workClass->repeatable) {
    return Refusal{RefusalReason::badRequest,
                   "work that must not repeat goes to plain services only", RunOutcome::notRun,
                   std::nullopt};
  }
  generation.request = RequestId(requestId_);
  generation.organisation = caller.organisation;
  generation.service = body.service;
  generation.chat = chat_;
  generation.durable = generation.workClass->durable;
  generation.prompt = body.prompt;
  generation.maxTokens = body.maxTokens;
  generation.session = request.get("Hallchute-Session", body.session);
  const bool async = wantsAsync(request);
  generation.durable = generation.durable || async;
  auto job = std::make_shared<Job>(
      makeJobSpec(generation, caller.settings->tree, services_.context.domain));
  if (generation.durable && !services_.records.create(*job)) {
    if (async || !generation.workClass->serveWithoutRecord) {
      return Refusal{RefusalReason::platformOutage, "the request's record can't be written",
                     RunOutcome::notRun, kPlatformRetryAfter};
    }
    generation.durable = false;
    job = std::make_shared<Job>(
        makeJobSpec(generation, caller.settings->tree, services_.context.domain));
  }
  services_.starter.start(job);
  if (async) {
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_ACCEPTED);
    response.set("Location", "/v1/requests/" + requestId_);
    response.setContentLength(0);
    response.send();
    return std::nullopt;
  }
  const ScopedReader reader(*job);
  AnswerWriter writer(response, job);
  if (body.stream) {
    writer.stream(0);
  } else {
    writer.writeDocument();
  }
  return std::nullopt;
}

}  // namespace Hallchute
