// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Platform/PlatformHttp.h"

#include <Poco/URI.h>

#include "Hallchute/src/Core/Overloaded.h"
#include "Hallchute/src/Net/HttpExchange.h"
#include "Hallchute/src/Platform/HostListJson.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {
namespace {

enum class Effect { none, possible };

std::string encoded(std::string_view text) {
  std::string out;
  Poco::URI::encode(std::string(text), "?#&+=/%", out);
  return out;
}

std::string objectTarget(std::string_view key) {
  return "/v1/objects/" + encoded(key);
}

template <typename T>
PlatformReply<T> refusalOf(const HttpResponse& answer, Effect effect) {
  switch (answer.status) {
    case 404:
      return Refused{PlatformRefusal::absent, "no such object"};
    case 409:
      return Refused{PlatformRefusal::conflict, "the object has another version"};
    case 503:
      return Refused{PlatformRefusal::unavailable, "the platform says it is out"};
    default:
      break;
  }
  const std::string detail = "status " + std::to_string(answer.status);
  if (answer.status >= 500 && effect == Effect::possible) return OutcomeUnknown{detail};
  return Refused{PlatformRefusal::rejected, detail};
}

/// Runs one call. \p parse turns the body of a 200 into the value, or gives nothing.
template <typename T, typename Parse>
PlatformReply<T> perform(const HttpRoute& route, const HttpRequest& call, Effect effect,
                         const Parse& parse) {
  HttpExchange exchange(route);
  const HttpResult result = exchange.run(call);
  return std::visit(Overloaded{[&](const HttpResponse& answer) -> PlatformReply<T> {
                                 if (answer.status != 200) return refusalOf<T>(answer, effect);
                                 Findings findings;
                                 const JsonObject json = parseJsonObject(answer.body, findings);
                                 if (json) return Done<T>{parse(json)};
                                 if (effect == Effect::possible)
                                   return OutcomeUnknown{"unreadable answer"};
                                 return Refused{PlatformRefusal::rejected, "unreadable answer"};
                               },
                               [&](const HttpNeverSent& never) -> PlatformReply<T> {
                                 return Refused{PlatformRefusal::unavailable, never.detail};
                               },
                               [&](const HttpMaybeSent& maybe) -> PlatformReply<T> {
                                 if (effect == Effect::possible)
                                   return OutcomeUnknown{maybe.detail, maybe.timedOut};
                                 return Refused{PlatformRefusal::unavailable, maybe.detail};
                               }},
                    result);
}

std::uint64_t versionOf(const JsonObject& json) {
  return json->optValue<std::uint64_t>("version", 0);
}

StoredObject objectOf(const JsonObject& json) {
  return {json->optValue<std::string>("key", ""), versionOf(json),
          json->optValue<std::string>("value", "")};
}

ObjectList listOf(const JsonObject& json) {
  ObjectList list;
  list.version = versionOf(json);
  const auto objects = json->getArray("objects");
  if (!objects) return list;
  for (unsigned i = 0; i < objects->size(); ++i) {
    if (const JsonObject object = objects->getObject(i)) list.objects.push_back(objectOf(object));
  }
  return list;
}

}  // namespace

PlatformHttp::PlatformHttp(std::string address, std::string token, std::string source, Millis limit)
    : address_(std::move(address)),
      token_(std::move(token)),
      source_(std::move(source)),
      limit_(limit) {}

HttpRoute PlatformHttp::route(Millis extraWait) const {
  return {address_, source_, limit_, limit_ + extraWait};
}

HttpRequest PlatformHttp::makeCall(std::string method, std::string target) const {
  HttpRequest call;
  call.method = std::move(method);
  call.target = std::move(target);
  call.headers.emplace_back("Authorization", "Bearer " + token_);
  return call;
}

PlatformReply<StoredObject> PlatformHttp::read(std::string_view key) {
  return perform<StoredObject>(route(Millis(0)), makeCall("GET", objectTarget(key)), Effect::none,
                               objectOf);
}

PlatformReply<std::uint64_t> PlatformHttp::write(std::string_view key, std::string_view value,
                                                 std::uint64_t ifVersion) {
  HttpRequest call = makeCall("PUT", objectTarget(key) + "?ifVersion=" + std::to_string(ifVersion));
  call.body = value;
  call.contentType = "application/octet-stream";
  return perform<std::uint64_t>(route(Millis(0)), call, Effect::possible, versionOf);
}

PlatformReply<std::uint64_t> PlatformHttp::remove(std::string_view key, std::uint64_t ifVersion) {
  const HttpRequest call =
      makeCall("DELETE", objectTarget(key) + "?ifVersion=" + std::to_string(ifVersion));
  return perform<std::uint64_t>(route(Millis(0)), call, Effect::possible, versionOf);
}

PlatformReply<ObjectList> PlatformHttp::list(std::string_view prefix, std::string_view after,
                                             std::size_t most) {
  const HttpRequest call =
      makeCall("GET", "/v1/objects?prefix=" + encoded(prefix) + "&after=" + encoded(after) +
                          "&limit=" + std::to_string(most));
  return perform<ObjectList>(route(Millis(0)), call, Effect::none, listOf);
}

PlatformReply<ObjectList> PlatformHttp::watch(std::string_view prefix, std::uint64_t since,
                                              Millis wait) {
  const HttpRequest call =
      makeCall("GET", "/v1/watch?prefix=" + encoded(prefix) + "&since=" + std::to_string(since) +
                          "&waitMs=" + std::to_string(wait.count()));
  return perform<ObjectList>(route(wait), call, Effect::none, listOf);
}

PlatformReply<HostList> PlatformHttp::hosts() {
  return perform<HostList>(route(Millis(0)), makeCall("GET", "/v1/hosts"), Effect::none,
                           [](const JsonObject& json) {
                             Findings findings;
                             return readHostList(json, findings);
                           });
}

}  // namespace Hallchute
