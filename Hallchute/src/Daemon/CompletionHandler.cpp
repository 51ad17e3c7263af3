// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/CompletionHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "Hallchute/src/Daemon/AnswerWriter.h"
#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/CompletionBody.h"
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

Refusal badBody(const Findings& findings) {
  return {RefusalReason::badRequest, describe(findings), RunOutcome::notRun, std::nullopt};
}

bool wantsAsync(const Poco::Net::HTTPServerRequest& request) {
  return request.get("Prefer", "").find("respond-async") != std::string::npos;
}

/// Counts a reader of a job while it lives.
class Reading {
 public:
  explicit Reading(Job& job) : job_(job) { job_.attach(); }
  ~Reading() { job_.detach(clockNow()); }
  Reading(const Reading&) = delete;
  Reading& operator=(const Reading&) = delete;

 private:
  Job& job_;
};

}  // namespace

void CompletionHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                      Poco::Net::HTTPServerResponse& response) {
  disableNagle(request);
  request_ = services_.context.daemon.str() + "-" + randomName();
  response.set("Hallchute-Request", request_);
  if (services_.draining) response.setKeepAlive(false);
  const std::optional<Refusal> refusal = handle(request, response);
  const std::string word = refusal ? std::string(reasonWord(refusal->reason)) : "served";
  services_.context.metrics.add("hallchute_requests_total",
                                "kind=\"model\",result=\"" + word + "\"");
  if (refusal) sendProblem(response, *refusal, request_);
}

std::optional<Refusal> CompletionHandler::handle(Poco::Net::HTTPServerRequest& request,
                                                 Poco::Net::HTTPServerResponse& response) {
  if (auto closed = drainingRefusal(services_)) return closed;
  const auto caller = authenticate(request, services_);
  if (const auto* refusal = std::get_if<Refusal>(&caller)) return *refusal;
  const auto wish = readWish(request, std::get<Caller>(caller));
  if (const auto* refusal = std::get_if<Refusal>(&wish)) return *refusal;
  return serve(request, response, std::get<Caller>(caller), std::get<CompletionBody>(wish));
}

std::variant<CompletionBody, Refusal> CompletionHandler::readWish(
    Poco::Net::HTTPServerRequest& request, const Caller& caller) const {
  const SettingsTree& tree = caller.settings->tree;
  PolicyScope scope{services_.context.domain, ServiceName(), caller.organisation->name};
  const auto maxBody = static_cast<std::size_t>(tree.policy(PolicyKey::maxBodyBytes, scope));
  const auto text = readBody(request, maxBody);
  if (const auto* refusal = std::get_if<Refusal>(&text)) return *refusal;
  const auto maxTokens = static_cast<std::size_t>(tree.policy(PolicyKey::maxOutputTokens, scope));
  Findings findings;
  CompletionBody body = readCompletionBody(std::get<std::string>(text), chat_, maxTokens, findings);
  if (!findings.empty()) return badBody(findings);
  if (auto refusal = checkService(caller, body.service, ServiceKind::model)) return *refusal;
  return body;
}

std::optional<Refusal> CompletionHandler::serve(Poco::Net::HTTPServerRequest& request,
                                                Poco::Net::HTTPServerResponse& response,
                                                const Caller& caller, const CompletionBody& body) {
  const auto workClass = selectWorkClass(request, caller, body.service);
  if (const auto* refusal = std::get_if<Refusal>(&workClass)) return *refusal;
  JobParameters wish;
  wish.workClass = std::get<const WorkClass*>(workClass);
  if (!wish.workClass->repeatable) {
    return Refusal{RefusalReason::badRequest,
                   "work that must not repeat goes to plain services only", RunOutcome::notRun,
                   std::nullopt};
  }
  wish.request = RequestId(request_);
  wish.organisation = caller.organisation;
  wish.service = body.service;
  wish.chat = chat_;
  wish.durable = wish.workClass->durable;
  wish.prompt = body.prompt;
  wish.maxTokens = body.maxTokens;
  wish.session = request.get("Hallchute-Session", body.session);
  const bool async = wantsAsync(request);
  wish.durable = wish.durable || async;
  auto job =
      std::make_shared<Job>(makeJobSpec(wish, caller.settings->tree, services_.context.domain));
  if (wish.durable && !services_.records.create(*job)) {
    if (async || !wish.workClass->serveWithoutRecord) {
      return Refusal{RefusalReason::platformOut, "the request's record can't be written",
                     RunOutcome::notRun, kPlatformRetryAfter};
    }
    wish.durable = false;
    job = std::make_shared<Job>(makeJobSpec(wish, caller.settings->tree, services_.context.domain));
  }
  services_.starter.start(job);
  if (async) {
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_ACCEPTED);
    response.set("Location", "/v1/requests/" + request_);
    response.setContentLength(0);
    response.send();
    return std::nullopt;
  }
  const Reading reading(*job);
  AnswerWriter writer(response, job);
  if (body.stream) {
    writer.stream(0);
  } else {
    writer.writeDocument();
  }
  return std::nullopt;
}

}  // namespace Hallchute
