// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/PlatformStandin.h"

#include <Poco/JSON/Array.h>

#include <chrono>
#include <thread>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Standin {
namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::chrono::milliseconds kHangPoll{20};

std::int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

Object::Ptr messageJson(const std::string& message) {
  Object::Ptr json = new Object;
  json->set("message", message);
  return json;
}

Object::Ptr versionJson(std::uint64_t version) {
  Object::Ptr json = new Object;
  json->set("version", version);
  return json;
}

Object::Ptr objectJson(const std::string& key, std::uint64_t version, const std::string& value) {
  Object::Ptr json = versionJson(version);
  json->set("key", key);
  json->set("value", value);
  return json;
}

}  // namespace

void PlatformStandin::handle(const Request& request, HTTPServerResponse& response) {
  if (request.path.rfind("/control/", 0) == 0) {
    control(request, response);
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++calls_[request.method + " " + request.path.substr(0, request.path.find('/', 4))];
  }
  if (!suffer(request, response)) return;
  if (request.path.rfind(kObjects, 0) == 0) {
    objects(request, response, request.path.substr(kObjects.size()));
  } else if (request.path == "/v1/objects") {
    list(request, response);
  } else if (request.path == "/v1/watch") {
    watch(request, response);
  } else if (request.path == "/v1/hosts") {
    hosts(response);
  } else {
    sendJson(response, 404, messageJson("no such call"));
  }
}

void PlatformStandin::control(const Request& request, HTTPServerResponse& response) {
  Hallchute::Findings findings;
  Object::Ptr json = new Object;
  if (!request.body.empty()) json = Hallchute::parseJsonObject(request.body, findings);
  if (!json) {
    sendJson(response, 400, messageJson("not JSON"));
    return;
  }
  Object::Ptr answer = new Object;
  const std::lock_guard lock(mutex_);
  if (request.path == "/control/faults") setFaults(json);
  if (request.path == "/control/hosts") setHosts(json);
  if (request.path == "/control/notice") notice(json);
  if (request.path == "/control/counts") {
    for (const auto& [name, count] : calls_) answer->set(name, count);
  }
  changed_.notify_all();
  sendJson(response, 200, answer);
}

void PlatformStandin::setFaults(const Object::Ptr& json) {
  faults_.outage = json->optValue("outage", faults_.outage);
  faults_.hang = json->optValue("hang", faults_.hang);
  faults_.slowMs = json->optValue("slowMs", faults_.slowMs);
  faults_.loseReplies = json->optValue("loseReplies", faults_.loseReplies);
  const bool wasOld = showOld_;
  showOld_ = json->optValue("showOld", showOld_);
  if (showOld_ && !wasOld) old_ = objects_;
}

void PlatformStandin::setHosts(const Object::Ptr& json) {
  if (const auto set = json->getArray("set")) {
    for (unsigned i = 0; i < set->size(); ++i) {
      const Object::Ptr host = set->getObject(i);
      hosts_[host->getValue<std::string>("host")] = host;
    }
  }
  if (const auto gone = json->getArray("remove")) {
    for (unsigned i = 0; i < gone->size(); ++i) hosts_.erase(gone->getElement<std::string>(i));
  }
  ++hostsVersion_;
}

void PlatformStandin::notice(const Object::Ptr& json) {
  const auto host = json->getValue<std::string>("host");
  Object::Ptr value = new Object;
  value->set("host", host);
  value->set("endsAtMs", wallClockMs() + json->getValue<std::int64_t>("inMs"));
  objects_["notices/" + host] = {++version_, Hallchute::jsonText(value)};
}

bool PlatformStandin::suffer(const Request& request, HTTPServerResponse& response) {
  Faults faults;
  {
    const std::lock_guard lock(mutex_);
    faults = faults_;
  }
  if (faults.slowMs > 0) std::this_thread::sleep_for(std::chrono::milliseconds(faults.slowMs));
  if (faults.hang) {
    std::unique_lock lock(mutex_);
    while (faults_.hang) changed_.wait_for(lock, kHangPoll);
    hangUp(request);
    return false;
  }
  if (faults.outage) {
    sendJson(response, 503, messageJson("outage"));
    return false;
  }
  return true;
}

void PlatformStandin::objects(const Request& request, HTTPServerResponse& response,
                              const std::string& key) {
  if (request.method == "PUT" || request.method == "DELETE") {
    put(request, response, key);
    return;
  }
  std::unique_lock lock(mutex_);
  const auto it = shown().find(key);
  const bool found = it != shown().end();
  const Object::Ptr json =
      found ? objectJson(key, it->second.version, it->second.value) : messageJson("absent");
  lock.unlock();
  sendJson(response, found ? 200 : 404, json);
}

void PlatformStandin::put(const Request& request, HTTPServerResponse& response,
                          const std::string& key) {
  const std::uint64_t ifVersion = std::stoull(request.query("ifVersion", "0"));
  std::unique_lock lock(mutex_);
  const auto it = objects_.find(key);
  const std::uint64_t current = it == objects_.end() ? 0 : it->second.version;
  if (current != ifVersion) {
    lock.unlock();
    sendJson(response, 409, versionJson(current));
    return;
  }
  ++version_;
  if (request.method == "DELETE") {
    objects_.erase(key);
  } else {
    objects_[key] = {version_, request.body};
  }
  const std::uint64_t version = version_;
  const bool lose = faults_.loseReplies > 0;
  if (lose) --faults_.loseReplies;
  lock.unlock();
  changed_.notify_all();
  if (lose) {
    hangUp(request);
  } else {
    sendJson(response, 200, versionJson(version));
  }
}

void PlatformStandin::list(const Request& request, HTTPServerResponse& response) {
  const std::string prefix = request.query("prefix", "");
  const std::string after = request.query("after", "");
  const auto limit = std::stoull(request.query("limit", "100"));
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  std::unique_lock lock(mutex_);
  for (auto it = shown().lower_bound(std::max(prefix, after)); it != shown().end(); ++it) {
    if (it->first.rfind(prefix, 0) != 0 || rows->size() >= limit) break;
    if (it->first != after) rows->add(objectJson(it->first, it->second.version, it->second.value));
  }
  Object::Ptr json = versionJson(version_);
  lock.unlock();
  json->set("objects", rows);
  sendJson(response, 200, json);
}

void PlatformStandin::watch(const Request& request, HTTPServerResponse& response) {
  const std::string prefix = request.query("prefix", "");
  const auto since = std::stoull(request.query("since", "0"));
  const std::chrono::milliseconds wait(std::stoll(request.query("waitMs", "0")));
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  std::unique_lock lock(mutex_);
  const auto collect = [&] {
    for (auto it = shown().lower_bound(prefix); it != shown().end(); ++it) {
      if (it->first.rfind(prefix, 0) != 0) break;
      if (it->second.version > since) {
        rows->add(objectJson(it->first, it->second.version, it->second.value));
      }
    }
    return rows->size() > 0 || faults_.outage || faults_.hang;
  };
  changed_.wait_for(lock, wait, collect);
  const bool broken = faults_.outage || faults_.hang;
  Object::Ptr json = versionJson(version_);
  lock.unlock();
  if (broken) {
    hangUp(request);
    return;
  }
  json->set("objects", rows);
  sendJson(response, 200, json);
}

void PlatformStandin::hosts(HTTPServerResponse& response) {
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  std::unique_lock lock(mutex_);
  for (const auto& [host, json] : hosts_) rows->add(json);
  Object::Ptr json = versionJson(hostsVersion_);
  json->set("hosts", rows);
  const std::string body = Hallchute::jsonText(json);
  lock.unlock();
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

}  // namespace Standin
