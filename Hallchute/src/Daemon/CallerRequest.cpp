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
#include "Hallchute/src/Daemon/HeldBody.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Daemon/TrafficContext.h"
#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr Millis kDrainingRetryAfter{1'000};
constexpr Millis kMemoryRetryAfter{1'000};

Refusal notRunRefusal(RefusalReason reason, std::string detail) {
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
  if (value.rfind(kBearerPrefix, 0) == 0) {
    caller.organisation = caller.settings->tree.organisationOf(value.substr(kBearerPrefix.size()));
  }
  if (caller.organisation == nullptr) {
    return notRunRefusal(RefusalReason::unauthorised, "the bearer token is no organisation's");
  }
  return caller;
}

std::optional<Refusal> checkService(const Caller& caller, const ServiceName& service,
                                    ServiceKind kind) {
  const auto& services = caller.settings->tree.services;
  const auto it = services.find(service);
  if (it == services.end() || it->second.kind != kind) {
    return notRunRefusal(RefusalReason::notFound, "there is no such service: " + service.str());
  }
  if (!caller.organisation->services.contains(service)) {
    return notRunRefusal(RefusalReason::forbidden, "the organisation may not use this service");
  }
  return std::nullopt;
}

std::variant<const WorkClass*, Refusal> selectWorkClass(const Poco::Net::HTTPServerRequest& request,
                                                        const Caller& caller,
                                                        const ServiceName& service) {
  const SettingsTree& tree = caller.settings->tree;
  const WorkClassName requestedName(request.get("Hallchute-Class", ""));
  const WorkClassName& name =
      requestedName.empty() ? tree.services.at(service).defaultClass : requestedName;
  const auto it = tree.workClasses.find(name);
  if (it == tree.workClasses.end()) {
    return notRunRefusal(RefusalReason::badRequest,
                         "Hallchute-Class names no work class: " + name.str());
  }
  return &it->second;
}

int socketOf(Poco::Net::HTTPServerRequest& request) {
  auto* impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
  return impl == nullptr ? -1 : impl->socket().impl()->sockfd();
}

std::variant<std::string, Refusal> readBody(Poco::Net::HTTPServerRequest& request,
                                            const BodyLimits& limits, HeldBody* held) {
  const std::size_t maxBytes = limits.maxBytes;
  const Refusal tooLarge = notRunRefusal(
      RefusalReason::tooLarge, "the body is larger than " + std::to_string(maxBytes) + " bytes");
  if (request.hasContentLength() &&
      request.getContentLength64() > static_cast<Poco::Int64>(maxBytes)) {
    return tooLarge;
  }
  const Refusal noMemory{RefusalReason::overloaded, "this host holds too much of other requests",
                         RunOutcome::notRun, kMemoryRetryAfter};
  const Instant end = clockNow() + limits.time;
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  std::istream& in = request.stream();
  // Waits for the next bytes, and takes those that have arrived.
  while (in.peek() != std::istream::traits_type::eof()) {
    const std::streamsize count =
        in.readsome(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    body.append(buffer.data(), static_cast<std::size_t>(count));
    if (body.size() > maxBytes) return tooLarge;
    if (held != nullptr && !held->noteRead(body.size())) return noMemory;
    if (clockNow() >= end) {
      return notRunRefusal(RefusalReason::requestTimeout, "the body took too long to arrive");
    }
  }
  if (held != nullptr && held->givenUp()) return noMemory;
  const bool truncated = request.hasContentLength() &&
                         static_cast<Poco::Int64>(body.size()) < request.getContentLength64();
  if (truncated) return notRunRefusal(RefusalReason::badRequest, "the body was cut short");
  if (held != nullptr && !held->noteComplete(body.size())) return noMemory;
  return body;
}

std::optional<Refusal> drainingRefusal(const CallerServices& services) {
  if (!services.rejectsNewRequests) return std::nullopt;
  return Refusal{RefusalReason::draining, "this host stops; another will answer",
                 RunOutcome::notRun, kDrainingRetryAfter};
}

}  // namespace Hallchute
