// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/ObjectStoreStandin.h"

#include <Poco/JSON/Array.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <chrono>

#include "Hallchute/src/Settings/JsonTree.h"

namespace Standin {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

Poco::JSON::Object::Ptr objectJson(const std::string& name, std::uint64_t revision,
                                   const Poco::JSON::Object::Ptr& spec,
                                   const Poco::JSON::Object::Ptr& status) {
  Poco::JSON::Object::Ptr metadata = new Poco::JSON::Object;
  metadata->set("name", name);
  metadata->set("rev", revision);
  Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
  json->set("metadata", metadata);
  json->set("spec", spec);
  if (status) json->set("status", status);
  return json;
}

}  // namespace

void ObjectStoreStandin::handle(const Request& request, Poco::Net::HTTPServerResponse& response) {
  const Poco::StringTokenizer path(request.path, "/", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  if (path.count() == 0 || path[0] != "objects") {
    sendJson(response, kOk, new Poco::JSON::Object);
    return;
  }
  const std::string kind = path.count() > 1 ? path[1] : "";
  const std::string name = path.count() > 2 ? path[2] : "";
  if (request.method != "GET") {
    write(request, response, kind, name, path.count() > 3 && path[3] == "status");
  } else if (!name.empty()) {
    read(request, response, kind, name);
  } else if (!request.query("watch", "").empty()) {
    watch(request, response, kind);
  } else {
    list(request, response, kind);
  }
}

void ObjectStoreStandin::set(const std::string& kind, const std::string& name,
                             const Poco::JSON::Object::Ptr& spec,
                             const Poco::JSON::Object::Ptr& status) {
  objects_[kind][name] = {++revision_, spec, status};
  events_.push_back({revision_, kind, name, spec, status, false, std::chrono::steady_clock::now()});
  changed_.notify_all();
}

void ObjectStoreStandin::setStaleness(std::chrono::milliseconds staleness) {
  const std::lock_guard lock(mutex_);
  staleness_ = staleness;
}

std::pair<ObjectStoreStandin::Objects, std::uint64_t> ObjectStoreStandin::state(
    const Request& request, const std::string& kind) {
  const std::lock_guard lock(mutex_);
  if (request.query("allow-stale", "").empty()) return {objects_[kind], revision_};
  const auto until = std::chrono::steady_clock::now() - staleness_;
  Objects objects;
  std::uint64_t revision = 0;
  for (const Event& event : events_) {
    if (event.at > until) break;
    revision = event.revision;
    if (event.kind != kind) continue;
    if (event.deleted) {
      objects.erase(event.name);
    } else {
      objects[event.name] = {event.revision, event.spec, event.status};
    }
  }
  return {objects, revision};
}

void ObjectStoreStandin::put(const std::string& kind, const std::string& name,
                             const Poco::JSON::Object::Ptr& spec) {
  const std::lock_guard lock(mutex_);
  set(kind, name, spec, objects_[kind][name].status);
}

void ObjectStoreStandin::remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(mutex_);
  if (objects_[kind].erase(name) == 0) return;
  events_.push_back({++revision_, kind, name, new Poco::JSON::Object, nullptr, true,
                     std::chrono::steady_clock::now()});
  changed_.notify_all();
}

void ObjectStoreStandin::read(const Request& request, Poco::Net::HTTPServerResponse& response,
                              const std::string& kind, const std::string& name) {
  const Objects objects = state(request, kind).first;
  const auto found = objects.find(name);
  if (found == objects.end()) {
    sendJson(response, kNotFound, new Poco::JSON::Object);
    return;
  }
  const StoredObject& object = found->second;
  sendJson(response, kOk, objectJson(name, object.revision, object.spec, object.status));
}

void ObjectStoreStandin::list(const Request& request, Poco::Net::HTTPServerResponse& response,
                              const std::string& kind) {
  Poco::JSON::Array::Ptr items = new Poco::JSON::Array;
  Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
  const auto [objects, revision] = state(request, kind);
  for (const auto& [name, object] : objects) {
    items->add(objectJson(name, object.revision, object.spec, object.status));
  }
  json->set("as-of", revision);
  json->set("items", items);
  sendJson(response, kOk, json);
}

void ObjectStoreStandin::watch(const Request& request, Poco::Net::HTTPServerResponse& response,
                               const std::string& kind) {
  const std::uint64_t since = std::stoull(request.query("watch", "0"));
  const std::chrono::milliseconds wait(std::stol(request.query("wait-ms", "0")));
  Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
  Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
  {
    std::unique_lock lock(mutex_);
    const auto isNew = [&](const Event& e) { return e.kind == kind && e.revision > since; };
    changed_.wait_for(lock, wait,
                      [&] { return std::any_of(events_.begin(), events_.end(), isNew); });
    for (const Event& event : events_) {
      if (!isNew(event)) continue;
      Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
      item->set("object", objectJson(event.name, event.revision, event.spec, event.status));
      item->set("deleted", event.deleted);
      events->add(item);
    }
    json->set("as-of", revision_);
  }
  json->set("events", events);
  sendJson(response, kOk, json);
}

/// POST creates an object; PUT replaces one or its status, if it has the revision that the call
/// names.
void ObjectStoreStandin::write(const Request& request, Poco::Net::HTTPServerResponse& response,
                               const std::string& kind, std::string name, bool ofStatus) {
  Hallchute::Findings findings;
  const Poco::JSON::Object::Ptr body = Hallchute::parseJsonObject(request.body, findings);
  const Poco::JSON::Object::Ptr metadata = body->getObject("metadata");
  const bool creates = request.method == "POST";
  if (creates) name = metadata->getValue<std::string>("name");
  Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
  int status = kConflict;
  {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    const StoredObject before = found == objects_[kind].end() ? StoredObject{} : found->second;
    const std::uint64_t expected = creates ? 0 : metadata->optValue<std::uint64_t>("rev", 0);
    if (before.revision == expected) {
      const Poco::JSON::Object::Ptr spec = ofStatus ? before.spec : body->getObject("spec");
      const Poco::JSON::Object::Ptr state = ofStatus ? body->getObject("status") : before.status;
      set(kind, name, spec, state);
      json = objectJson(name, revision_, spec, state);
      status = kOk;
    }
  }
  sendJson(response, status, json);
}

}  // namespace Standin
