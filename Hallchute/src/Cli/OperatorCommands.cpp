// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Cli/OperatorCommands.h"

#include <absl/flags/flag.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "Hallchute/src/Cli/Render.h"
#include "Hallchute/src/Cli/RequestStory.h"
#include "Hallchute/src/Core/SecretHash.h"
#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "Hallchute/src/Settings/SettingsTree.h"

ABSL_FLAG(std::string, operator, "", "operator address of a daemon, ip:port");
ABSL_FLAG(std::string, token, "", "the operators' token");
ABSL_FLAG(bool, json, false, "print the daemon's JSON");
ABSL_FLAG(std::string, file, "", "a JSON merge patch of the settings");
ABSL_FLAG(std::string, author, "", "who makes the change");
ABSL_FLAG(std::string, reason, "", "why the change is made");
ABSL_FLAG(std::string, key, "", "name of a policy number");
ABSL_FLAG(std::string, service, "", "a service");
ABSL_FLAG(std::string, organisation, "", "an organisation");
ABSL_FLAG(std::string, domain, "", "a failure domain; the daemon's own if empty");
ABSL_FLAG(std::string, upstream, "", "an upstream");
ABSL_FLAG(int64_t, in_ms, 30'000, "time until the upstream goes, in ms");
ABSL_FLAG(std::string, request, "", "a request's id");
ABSL_FLAG(int64_t, after, 0, "changes after this number");

namespace Hallchute {
namespace {

constexpr Millis kLimit{10'000};

std::string flagOr(const std::string& flag, const char* variable) {
  if (!flag.empty()) return flag;
  const char* value = std::getenv(variable);
  return value != nullptr ? value : "";
}

ExitCode exitCodeOf(int status) {
  switch (status) {
    case 409:
      return ExitCode::conflict;
    case 422:
      return ExitCode::invalid;
    case 503:
      return ExitCode::unavailable;
    case 504:
      return ExitCode::unknown;
    default:
      return status < 300 ? ExitCode::ok : ExitCode::refused;
  }
}

/// Calls the daemon. Without a response, prints the error and returns nothing.
std::optional<HttpResponse> callDaemon(const std::string& method, const std::string& target,
                                       const std::string& body) {
  const std::string address = flagOr(absl::GetFlag(FLAGS_operator), "HALLCHUTE_OPERATOR");
  const std::string token = flagOr(absl::GetFlag(FLAGS_token), "HALLCHUTE_TOKEN");
  if (address.empty()) {
    std::cerr << "--operator is missing\n";
    return std::nullopt;
  }
  HttpExchange exchange({address, "", kLimit, kLimit});
  const HttpResult result = exchange.run(
      {method, target, "application/json", body, {{"Authorization", "Bearer " + token}}});
  if (const auto* answer = std::get_if<HttpResponse>(&result)) return *answer;
  const auto* never = std::get_if<HttpNeverSent>(&result);
  std::cerr << (never != nullptr ? never->detail : std::get<HttpMaybeSent>(result).detail) << "\n";
  return std::nullopt;
}

using Renderer = std::function<std::string(const JsonObject&)>;

/// Calls the daemon and prints its response, in human-readable form unless --json is set.
ExitCode show(const std::string& method, const std::string& target, const std::string& body,
              const Renderer& render) {
  const auto answer = callDaemon(method, target, body);
  if (!answer) return ExitCode::unavailable;
  const ExitCode code = exitCodeOf(answer->status);
  Findings findings;
  const JsonObject json = parseJsonObject(answer->body, findings);
  if (absl::GetFlag(FLAGS_json) || !json) {
    std::cout << answer->body << "\n";
  } else if (code == ExitCode::ok) {
    std::cout << render(json);
  } else {
    std::cerr << renderFault(code, json);
  }
  return code;
}

std::optional<std::string> readFile() {
  const std::string path = absl::GetFlag(FLAGS_file);
  std::ifstream file(path);
  if (!file) {
    std::cerr << "--file: can't read '" << path << "'\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string afterQuery() {
  return "?after=" + std::to_string(absl::GetFlag(FLAGS_after));
}

}  // namespace

ExitCode settingsGetCommand() {
  return show("GET", "/settings", "", renderSettings);
}

ExitCode settingsCheckCommand() {
  const auto text = readFile();
  if (!text) return ExitCode::usage;
  return show("POST", "/settings/check", *text,
              [](const JsonObject&) { return std::string("no findings\n"); });
}

ExitCode settingsApplyCommand() {
  const auto text = readFile();
  if (!text) return ExitCode::usage;
  Findings findings;
  const JsonObject patch = parseJsonObject(*text, findings);
  if (!patch) {
    std::cerr << absl::GetFlag(FLAGS_file) << ": " << describe(findings);
    return ExitCode::invalid;
  }
  const auto current = callDaemon("GET", "/settings", "");
  if (!current) return ExitCode::unavailable;
  const JsonObject settings = parseJsonObject(current->body, findings);
  JsonObject proposal = new Poco::JSON::Object;
  proposal->set("author", absl::GetFlag(FLAGS_author));
  proposal->set("reason", absl::GetFlag(FLAGS_reason));
  proposal->set("patch", patch);
  if (settings) proposal->set("baseRevision", settings->optValue<std::uint64_t>("revision", 0));
  return show("POST", "/settings", jsonText(proposal), renderChange);
}

ExitCode settingsExplainCommand() {
  std::string target = "/settings/explain?key=" + absl::GetFlag(FLAGS_key) +
                       "&service=" + absl::GetFlag(FLAGS_service) +
                       "&organisation=" + absl::GetFlag(FLAGS_organisation);
  const std::string domain = absl::GetFlag(FLAGS_domain);
  if (!domain.empty()) target += "&domain=" + domain;
  return show("GET", target, "", renderExplained);
}

ExitCode settingsHistoryCommand() {
  return show("GET", "/settings/changes" + afterQuery(), "", renderHistory);
}

ExitCode settingsReferenceCommand() {
  std::cout << settingsReference();
  return ExitCode::ok;
}

ExitCode statusCommand() {
  return show("GET", "/status", "", renderStatus);
}

ExitCode requestsCommand() {
  return show("GET", "/requests", "", renderRequests);
}

ExitCode auditCommand() {
  return show("GET", "/audit" + afterQuery(), "", renderAudit);
}

ExitCode drainCommand() {
  return show("POST", "/drain", "", renderMessage);
}

ExitCode leaveCommand() {
  const std::string upstream = absl::GetFlag(FLAGS_upstream);
  if (upstream.empty()) {
    std::cerr << "--upstream is missing\n";
    return ExitCode::usage;
  }
  return show(
      "POST",
      "/upstreams/" + upstream + "/leave?inMs=" + std::to_string(absl::GetFlag(FLAGS_in_ms)), "",
      renderMessage);
}

ExitCode explainRequestCommand() {
  const std::string id = absl::GetFlag(FLAGS_request);
  if (id.empty()) {
    std::cerr << "explain-request: --request=ID is missing\n";
    return ExitCode::usage;
  }
  RequestStory story(id);
  std::string line;
  while (std::getline(std::cin, line)) story.addLine(line);
  if (story.write(std::cout)) return ExitCode::ok;
  std::cerr << "no line names request " << id
            << "; lines that could not be read: " << story.unreadable() << "\n";
  return ExitCode::refused;
}

ExitCode hashCommand() {
  std::string token;
  std::getline(std::cin, token);
  std::cout << secretHash(token) << "\n";
  return ExitCode::ok;
}

}  // namespace Hallchute
