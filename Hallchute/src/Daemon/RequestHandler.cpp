// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/RequestHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdlib>

#include "Hallchute/src/Daemon/AnswerWriter.h"
#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/JobFactory.h"
#include "Hallchute/src/Daemon/JobRecords.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/PeerJobs.h"
#include "Hallchute/src/Daemon/Problem.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

constexpr Millis kSearchRetryAfter{500};

Refusal notFound() {
  return {RefusalReason::notFound, "no such request is known", RunOutcome::unknown, std::nullopt};
}

}  // namespace

void RequestHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response) {
  disableNagle(request);
  response.set("Hallchute-Request", id_.str());
  if (const auto refusal = handle(request, response)) sendProblem(response, *refusal, id_.str());
}

std::optional<Refusal> RequestHandler::handle(const Poco::Net::HTTPServerRequest& request,
                                              Poco::Net::HTTPServerResponse& response) {
  const auto caller = authenticate(request, services_);
  if (const auto* refusal = std::get_if<Refusal>(&caller)) {
    // The outcome is that of the request that is asked for.
    Refusal refused = *refusal;
    refused.outcome = RunOutcome::unknown;
    return refused;
  }
  const FindResult found = find(std::get<Caller>(caller).organisation->name);
  if (const auto* refusal = std::get_if<Refusal>(&found)) return *refusal;
  const JobPtr& job = std::get<JobPtr>(found);
  if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_DELETE) {
    job->requestCancel();
    response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_ACCEPTED);
    response.setContentLength(0);
    response.send();
    return std::nullopt;
  }
  job->attach();
  AnswerWriter writer(response, job);
  const bool streamed = request.get("Accept", "").find("text/event-stream") != std::string::npos;
  if (streamed || request.has("Last-Event-ID")) {
    writer.stream(std::strtoull(request.get("Last-Event-ID", "0").c_str(), nullptr, 10));
  } else {
    writer.writeDocument();
  }
  job->detach(clockNow());
  return std::nullopt;
}

RequestHandler::FindResult RequestHandler::find(const OrganisationName& organisation) {
  const JobPtr localJob = services_.context.jobs.find(id_);
  if (localJob != nullptr && localJob->stage() != JobStage::handedOver) {
    if (localJob->spec().organisation != organisation) return notFound();
    return localJob;
  }
  if (const JobPtr peerJob = services_.peers.attach(id_, organisation)) return peerJob;
  return findRecord(organisation);
}

RequestHandler::FindResult RequestHandler::findRecord(const OrganisationName& organisation) {
  const auto found = services_.records.find(id_);
  if (const auto* refusal = std::get_if<Refusal>(&found)) return *refusal;
  const auto& record = std::get<HandOverRecord>(found);
  if (record.organisation != organisation) return notFound();
  if (record.state == JobState::running) {
    return Refusal{RefusalReason::inProgress, "the request is being taken on by another host",
                   RunOutcome::unknown, kSearchRetryAfter};
  }
  const auto settings = services_.context.settings.get();
  const JobPtr job = makeJob(record, settings->tree, services_.context.domain);
  if (record.state == JobState::finished) {
    job->finish();
  } else {
    job->refuse({RefusalReason::upstreamFailed, record.detail, RunOutcome::unknown, std::nullopt});
  }
  return job;
}

}  // namespace Hallchute
