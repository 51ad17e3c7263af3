// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/OperatorHandler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdlib>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Daemon/CallerRequest.h"
#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/Job.h"
#include "Hallchute/src/Daemon/JobTable.h"
#include "Hallchute/src/Daemon/OperatorServices.h"
#include "Hallchute/src/Daemon/SettingsEditor.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/StartupFile.h"
#include "Hallchute/src/Daemon/StatusJson.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Hallchute {
namespace {

constexpr std::size_t kMaxBodyBytes = 1U << 20U;
constexpr Millis kBodyTime{30'000};
constexpr std::size_t kHistoryPageSize = 200;
constexpr std::int64_t kDefaultLeaveMs = 30'000;
constexpr Millis kLeaveAckTimeout{1'000};
constexpr std::string_view kUpstreamPrefix = "/upstreams/";
constexpr std::string_view kLeaveSuffix = "/leave";

std::string queryParameter(const Poco::URI& uri, const std::string& name,
                           const std::string& fallback) {
  for (const auto& [key, value] : uri.getQueryParameters()) {
    if (key == name) return value;
  }
  return fallback;
}

JsonObject newObject() {
  return new Poco::JSON::Object;
}

JsonObject findingsJson(const Findings& findings) {
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const Finding& finding : findings) {
    JsonObject row = newObject();
    row->set("path", finding.path);
    row->set("message", finding.message);
    rows->add(row);
  }
  JsonObject json = newObject();
  json->set("findings", rows);
  return json;
}

std::string messageJson(const std::string& message) {
  JsonObject json = newObject();
  json->set("message", message);
  return jsonText(json);
}

std::string changesJson(const std::vector<SettingsChange>& changes) {
  std::string text = "{\"changes\":[";
  const char* separator = "";
  for (const SettingsChange& change : changes) {
    text += separator + serializeChange(change);
    separator = ",";
  }
  return text + "]}";
}

}  // namespace

void OperatorHandler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                    Poco::Net::HTTPServerResponse& response) {
  const std::string expected = "Bearer " + services_.startup.operatorToken;
  Reply reply{401, "application/json", messageJson("the operator's token is missing or wrong")};
  if (equalInConstantTime(request.get("Authorization", ""), expected)) {
    reply = route(request, Poco::URI(request.getURI()));
  }
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
  response.setContentType(reply.contentType);
  response.sendBuffer(reply.body.data(), reply.body.size());
}

OperatorHandler::Reply OperatorHandler::route(Poco::Net::HTTPServerRequest& request,
                                              const Poco::URI& uri) {
  const std::string& path = uri.getPath();
  if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_GET) return get(path, uri);
  if (request.getMethod() != Poco::Net::HTTPRequest::HTTP_POST) {
    return {405, "application/json", messageJson("GET and POST only")};
  }
  const auto body = readBody(request, {kMaxBodyBytes, kBodyTime}, nullptr);
  if (const auto* refusal = std::get_if<Refusal>(&body)) {
    return {httpStatus(refusal->reason), "application/json", messageJson(refusal->detail)};
  }
  return post(path, uri, std::get<std::string>(body));
}

OperatorHandler::Reply OperatorHandler::get(const std::string& path, const Poco::URI& uri) {
  if (path == "/metrics") {
    updateProcessMetrics(services_);
    return {200, "text/plain; version=0.0.4", services_.metrics.page()};
  }
  if (path == "/status") return {200, "application/json", jsonText(statusJson(services_))};
  if (path == "/requests") return requests();
  if (path == "/settings") return settings();
  if (path == "/settings/explain") return explain(uri);
  if (path == "/settings/changes" || path == "/audit") return history(uri);
  return {404, "application/json", messageJson("there is nothing at " + path)};
}

OperatorHandler::Reply OperatorHandler::post(const std::string& path, const Poco::URI& uri,
                                             const std::string& body) {
  if (path == "/settings/check") return check(body);
  if (path == "/settings") return apply(body);
  if (path == "/drain") {
    services_.drain();
    return {202, "application/json", messageJson("draining")};
  }
  const bool isLeave = path.rfind(kUpstreamPrefix, 0) == 0 && path.ends_with(kLeaveSuffix);
  if (isLeave) {
    const std::size_t size = path.size() - kUpstreamPrefix.size() - kLeaveSuffix.size();
    return leave(path.substr(kUpstreamPrefix.size(), size), uri);
  }
  return {404, "application/json", messageJson("there is nothing at " + path)};
}

OperatorHandler::Reply OperatorHandler::settings() const {
  const auto activeSettings = services_.settings.get();
  JsonObject json = newObject();
  json->set("revision", activeSettings->revision);
  json->set("settings", activeSettings->json);
  return {200, "application/json", jsonText(json)};
}

OperatorHandler::Reply OperatorHandler::explain(const Poco::URI& uri) const {
  const auto key = findPolicyKey(queryParameter(uri, "key", ""));
  if (!key) return {404, "application/json", messageJson("key names no policy number")};
  const PolicyScope scope{
      FailureDomainName(queryParameter(uri, "domain", services_.startup.domain.str())),
      ServiceName(queryParameter(uri, "service", "")),
      OrganisationName(queryParameter(uri, "organisation", ""))};
  const auto activeSettings = services_.settings.get();
  const ResolvedPolicy answer = activeSettings->tree.explain(*key, scope);
  JsonObject json = newObject();
  json->set("value", answer.value);
  json->set("level", answer.level);
  json->set("revision", activeSettings->revision);
  return {200, "application/json", jsonText(json)};
}

OperatorHandler::Reply OperatorHandler::history(const Poco::URI& uri) {
  const auto after = std::strtoull(queryParameter(uri, "after", "0").c_str(), nullptr, 10);
  const auto reply = services_.editor.history(after, kHistoryPageSize);
  if (const auto* done = std::get_if<Done<std::vector<SettingsChange>>>(&reply)) {
    return {200, "application/json", changesJson(done->value)};
  }
  return {503, "application/json", messageJson("the platform can't be read")};
}

OperatorHandler::Reply OperatorHandler::check(const std::string& body) const {
  Findings findings;
  const JsonObject patch = parseJsonObject(body, findings);
  if (patch) readSettings(mergePatch(services_.settings.get()->json, patch), findings);
  return {findings.empty() ? 200 : 422, "application/json", jsonText(findingsJson(findings))};
}

OperatorHandler::Reply OperatorHandler::apply(const std::string& body) {
  Findings findings;
  const JsonObject json = parseJsonObject(body, findings);
  SettingsProposal proposal;
  if (json) {
    JsonReader reader(json, "", findings);
    proposal.author = reader.text("author", true);
    proposal.reason = reader.text("reason", true);
    proposal.baseRevision =
        static_cast<std::uint64_t>(reader.integer("baseRevision", 0, INT64_MAX, 0));
    proposal.patch = json->isObject("patch") ? json->getObject("patch") : JsonObject();
    if (!proposal.patch) reader.report("patch", "must be an object");
  }
  if (!findings.empty()) return {422, "application/json", jsonText(findingsJson(findings))};
  const ProposalOutcome outcome = services_.editor.propose(proposal);
  return std::visit(
      Overloaded{
          [](const ProposalAccepted& accepted) -> Reply {
            return {200, "application/json", serializeChange(accepted.change)};
          },
          [](const ProposalEmpty&) -> Reply {
            return {200, "application/json", messageJson("it changes nothing")};
          },
          [](const ProposalInvalid& invalid) -> Reply {
            return {422, "application/json", jsonText(findingsJson(invalid.findings))};
          },
          [](const ProposalConflict& conflict) -> Reply {
            return {409, "application/json", serializeChange(conflict.winner)};
          },
          [](const ProposalUnavailable& unavailable) -> Reply {
            return {503, "application/json", messageJson("not accepted: " + unavailable.detail)};
          },
          [](const ProposalUnknown& unknown) -> Reply {
            return {504, "application/json",
                    messageJson("not known whether it was accepted; look for change id " +
                                unknown.id + " in the history")};
          }},
      outcome);
}

OperatorHandler::Reply OperatorHandler::leave(const std::string& upstream, const Poco::URI& uri) {
  const Millis timeLeft(std::strtoll(
      queryParameter(uri, "inMs", std::to_string(kDefaultLeaveMs)).c_str(), nullptr, 10));
  const LeaveAnnouncement announcement{UpstreamId(upstream), timeLeft,
                                       LeaveSource::operatorRequest};
  const bool acknowledged = services_.control.noteLeaveAndAwaitAck(announcement, kLeaveAckTimeout);
  return {202, "application/json",
          messageJson(upstream + " is leaving" +
                      (acknowledged ? "" : "; no other daemon has acknowledged it yet"))};
}

OperatorHandler::Reply OperatorHandler::requests() const {
  return {200, "application/json", jsonText(requestsJson(services_))};
}

}  // namespace Hallchute
