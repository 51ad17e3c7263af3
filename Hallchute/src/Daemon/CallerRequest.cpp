// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/CallerRequest.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <istream>

#include "Hallchute/src/Daemon/CallerServices.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"

namespace Hallchute {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kReadSize = 16U << 10U;
constexpr Millis kDrainRetryAfter{1'000};

Refusal plainRefusal(RefusalReason reason, std::string detail) {
  return {reason, std::move(detail), RunOutcome::notRun, std::nullopt};
}

}  // namespace

void disableNagle(Poco::Net::HTTPServerRequest& request) {
  if (auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request)) {
    impl->socket().setNoDelay(true);
  }
}

std::variant<Caller, Refusal> authenticate(const Poco::Net::HTTPServerRequest& request,
                                           const CallerServices& services) {
  const std::string value = request.get("Authorization", "");
  Caller caller;
  caller.settings = services.context.settings.get();
  if (value.rfind(kBearer, 0) == 0) {
    caller.organisation = caller.settings->tree.organisationOf(value.substr(kBearer.size()));
  }
  if (caller.organisation == nullptr) {
    return plainRefusal(RefusalReason::unauthorised, "the bearer token is no organisation's");
  }
  return caller;
}

std::optional<Refusal> checkService(const Caller& caller, const ServiceName& service,
                                    ServiceKind kind) {
  const auto& services = caller.settings->tree.services;
  const auto it = services.find(service);
  if (it == services.end() || it->second.kind != kind) {
    return plainRefusal(RefusalReason::notFound, "there is no such service: " + service.str());
  }
  if (!caller.organisation->services.contains(service)) {
    return plainRefusal(RefusalReason::forbidden, "the organisation may not use this service");
  }
  return std::nullopt;
}

std::variant<const WorkClass*, Refusal> selectWorkClass(const Poco::Net::HTTPServerRequest& request,
                                                        const Caller& caller,
                                                        const ServiceName& service) {
  const SettingsTree& tree = caller.settings->tree;
  const ClassName named(request.get("Hallchute-Class", ""));
  const ClassName& name = named.empty() ? tree.services.at(service).defaultClass : named;
  const auto it = tree.workClasses.find(name);
  if (it == tree.workClasses.end()) {
    return plainRefusal(RefusalReason::badRequest,
                        "Hallchute-Class names no work class: " + name.str());
  }
  return &it->second;
}

std::variant<std::string, Refusal> readBody(Poco::Net::HTTPServerRequest& request,
                                            std::size_t most) {
  const Refusal tooLarge = plainRefusal(
      RefusalReason::tooLarge, "the body is larger than " + std::to_string(most) + " bytes");
  if (request.hasContentLength() && request.getContentLength64() > static_cast<Poco::Int64>(most)) {
    return tooLarge;
  }
  std::string body;
  std::array<char, kReadSize> buffer;
  std::istream& in = request.stream();
  while (in.good()) {
    in.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > most) return tooLarge;
  }
  const bool cut = request.hasContentLength() &&
                   static_cast<Poco::Int64>(body.size()) < request.getContentLength64();
  if (cut) return plainRefusal(RefusalReason::badRequest, "the body was cut short");
  return body;
}

std::optional<Refusal> drainingRefusal(const CallerServices& services) {
  if (!services.closed) return std::nullopt;
  return Refusal{RefusalReason::draining, "this host stops; another will answer",
                 RunOutcome::notRun, kDrainRetryAfter};
}

}  // namespace Hallchute
