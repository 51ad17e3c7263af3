// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "standin/EngineStandin.h"

#include <Poco/JSON/Array.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <ostream>
#include <thread>

#include "Hallchute/src/Routing/PrefixBlocks.h"
#include "Hallchute/src/Settings/JsonTree.h"
#include "standin/TokenFunction.h"

namespace Standin {
namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPServerResponse;
using std::chrono::steady_clock;

std::int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::chrono::microseconds micros(double ms) {
  return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1'000));
}

void writeEvent(std::ostream& out, const Object::Ptr& json) {
  out << "data: " << Hallchute::jsonText(json) << "\n\n" << std::flush;
}

Object::Ptr chunkJson(std::uint64_t epoch, std::size_t offset, const std::string& token) {
  Object::Ptr json = new Object;
  json->set("epoch", epoch);
  json->set("offset", offset);
  json->set("token", token);
  return json;
}

std::string keyOf(const Object::Ptr& json) {
  return json->optValue<std::string>("request", "") + "#" +
         std::to_string(json->optValue<std::uint64_t>("epoch", 0));
}

}  // namespace

/// One request at the engine.
struct EngineStandin::Generation {
  std::string key;
  std::uint64_t epoch = 0;
  std::string prompt;
  std::size_t maxTokens = 0;
  std::size_t offset = 0;
  std::string context;
  std::int64_t priority = 0;
  std::string handle;
  std::atomic<bool> cancelled{false};
  /// What it has generated, for export; guarded by the engine's mutex.
  std::string produced;
};

EngineStandin::EngineStandin(EngineModel model) : model_(model), cache_(model.cacheTokens) {}

void EngineStandin::handle(const Request& request, HTTPServerResponse& response) {
  if (request.path == "/v1/cache/import") {
    importCache(request, response);
    return;
  }
  if (request.path == "/v1/generate") {
    generate(request, response);
    return;
  }
  Hallchute::Findings findings;
  Object::Ptr json = new Object;
  if (!request.body.empty()) json = Hallchute::parseJsonObject(request.body, findings);
  if (!json) {
    sendJson(response, 400, new Object);
  } else if (request.path == "/v1/cancel") {
    cancel(json);
    sendJson(response, 200, new Object);
  } else if (request.path == "/v1/cache/export") {
    exportCache(json, response);
  } else if (request.path == "/v1/orders") {
    order(json, response);
  } else {
    control(request, json, response);
  }
}

void EngineStandin::generate(const Request& request, HTTPServerResponse& response) {
  Hallchute::Findings findings;
  const Object::Ptr json = Hallchute::parseJsonObject(request.body, findings);
  if (!json) {
    sendJson(response, 400, new Object);
    return;
  }
  auto generation = std::make_shared<Generation>();
  generation->key = keyOf(json);
  generation->epoch = json->optValue<std::uint64_t>("epoch", 0);
  generation->prompt = json->optValue<std::string>("prompt", "");
  generation->maxTokens = json->optValue<std::size_t>("maxTokens", 0);
  generation->priority = json->optValue<std::int64_t>("priority", 0);
  generation->handle = json->optValue<std::string>("cacheHandle", "");
  generation->context = generation->prompt;
  if (const auto soFar = json->getArray("tokensSoFar")) {
    generation->offset = soFar->size();
    for (unsigned i = 0; i < soFar->size(); ++i) {
      generation->context += " " + soFar->getElement<std::string>(i);
    }
  }
  {
    const std::lock_guard lock(mutex_);
    if (leaving_ || faults_.refuse) {
      if (leaving_) response.set("Engine-Leaving", std::to_string(leavesAtMs_ - wallClockMs()));
      sendJson(response, 503, new Object);
      return;
    }
    ++runs_[json->optValue<std::string>("request", "")];
    ++started_;
    lastStartMs_ = wallClockMs();
    running_[generation->key] = generation;
  }
  response.setContentType("text/event-stream");
  response.setChunkedTransferEncoding(true);
  std::ostream& out = response.send();
  stream(*generation, out);
  const std::lock_guard lock(mutex_);
  running_.erase(generation->key);
}

bool EngineStandin::takeSlot(Generation& generation) {
  std::unique_lock lock(mutex_);
  waiting_.push_back(generation.priority);
  const auto mayRun = [&] {
    const auto most = *std::max_element(waiting_.begin(), waiting_.end());
    return generation.cancelled ||
           (!waiting_.empty() && model_.slots > 0 && generation.priority >= most);
  };
  while (!mayRun()) changed_.wait(lock);
  waiting_.erase(std::find(waiting_.begin(), waiting_.end(), generation.priority));
  if (generation.cancelled) return false;
  --model_.slots;
  return true;
}

void EngineStandin::giveSlot(Generation&) {
  const std::lock_guard lock(mutex_);
  ++model_.slots;
  changed_.notify_all();
}

double EngineStandin::gapNow() {
  const std::lock_guard lock(mutex_);
  return model_.gapMs + model_.gapPerStreamMs * static_cast<double>(running_.size());
}

/// \returns the tokens that had to be computed.
std::size_t EngineStandin::prefill(Generation& generation) {
  const Hallchute::PrefixBlocks blocks = Hallchute::prefixBlocks(generation.context);
  std::size_t computed = 0;
  {
    const std::lock_guard lock(mutex_);
    const auto imported = imported_.find(generation.handle);
    if (imported != imported_.end()) {
      cache_.recordUse(imported->second);
      imported_.erase(imported);
      computed = 0;
    } else {
      computed = blocks.tokens - std::min(blocks.tokens, cache_.cachedTokens(blocks.hashes));
    }
    cache_.recordUse(blocks.hashes);
    computedTokens_ += computed;
  }
  std::this_thread::sleep_for(
      micros(model_.prefillMsPerThousand * static_cast<double>(computed) / 1'000));
  return computed;
}

void EngineStandin::stream(Generation& generation, std::ostream& out) {
  if (!takeSlot(generation)) return;
  Object::Ptr computed = new Object;
  computed->set("computed", prefill(generation));
  writeEvent(out, computed);
  bool toldLeaving = false;
  auto due = steady_clock::now();
  for (std::size_t i = generation.offset; i < generation.maxTokens; ++i) {
    due += micros(gapNow());
    std::this_thread::sleep_until(due);
    Faults faults;
    bool tell = false;
    {
      const std::lock_guard lock(mutex_);
      if (faults_.cutAfter > 0) --faults_.cutAfter;
      faults = faults_;
      tell = leaving_ && !toldLeaving;
    }
    const std::string token = tokenOf(generation.prompt, i);
    if (generation.cancelled || !out.good() || faults.cutAfter == 0) break;
    if (tell) {
      Object::Ptr word = new Object;
      word->set("leavesInMs", leavesAtMs_ - wallClockMs());
      writeEvent(out, word);
      toldLeaving = true;
    }
    if (faults.lateEpoch) {
      writeEvent(out, chunkJson(generation.epoch - 1, i, "stale "));
    }
    writeEvent(out, chunkJson(generation.epoch, i, token));
    if (faults.duplicate) writeEvent(out, chunkJson(generation.epoch, i, token));
    {
      const std::lock_guard lock(mutex_);
      generation.produced += " " + token;
    }
    if (i + 1 == generation.maxTokens) {
      Object::Ptr end = chunkJson(generation.epoch, generation.maxTokens, "");
      end->set("end", true);
      writeEvent(out, end);
    }
  }
  giveSlot(generation);
}

void EngineStandin::cancel(const Object::Ptr& json) {
  const std::lock_guard lock(mutex_);
  const auto it = running_.find(keyOf(json));
  if (it != running_.end()) it->second->cancelled = true;
  changed_.notify_all();
}

void EngineStandin::exportCache(const Object::Ptr& json, HTTPServerResponse& response) {
  std::unique_lock lock(mutex_);
  const auto it = running_.find(keyOf(json));
  if (it == running_.end() || faults_.refuseExport) {
    lock.unlock();
    sendJson(response, 409, new Object);
    return;
  }
  it->second->cancelled = true;
  Object::Ptr cache = new Object;
  cache->set("context", it->second->context + it->second->produced);
  lock.unlock();
  sendJson(response, 200, cache);
}

void EngineStandin::importCache(const Request& request, HTTPServerResponse& response) {
  Hallchute::Findings findings;
  const Object::Ptr json = Hallchute::parseJsonObject(request.body, findings);
  std::unique_lock lock(mutex_);
  if (!json || faults_.failImport) {
    lock.unlock();
    hangUp(request);
    return;
  }
  const std::string handle = "import-" + std::to_string(nextHandle_++);
  imported_[handle] = Hallchute::prefixBlocks(json->optValue<std::string>("context", "")).hashes;
  lock.unlock();
  Object::Ptr answer = new Object;
  answer->set("handle", handle);
  sendJson(response, 200, answer);
}

void EngineStandin::order(const Object::Ptr& json, HTTPServerResponse& response) {
  const auto token = json->optValue<std::uint64_t>("fencingToken", 0);
  std::unique_lock lock(mutex_);
  const bool accepted = token >= fence_;
  if (accepted) fence_ = token;
  lock.unlock();
  sendJson(response, accepted ? 200 : 409, new Object);
}

void EngineStandin::control(const Request& request, const Object::Ptr& json,
                            HTTPServerResponse& response) {
  Object::Ptr answer = new Object;
  if (request.path == "/control/faults") {
    const std::lock_guard lock(mutex_);
    faults_.cutAfter = json->optValue("cutAfter", faults_.cutAfter);
    faults_.duplicate = json->optValue("duplicate", faults_.duplicate);
    faults_.lateEpoch = json->optValue("lateEpoch", faults_.lateEpoch);
    faults_.refuseExport = json->optValue("refuseExport", faults_.refuseExport);
    faults_.failImport = json->optValue("failImport", faults_.failImport);
    faults_.refuse = json->optValue("refuse", faults_.refuse);
  } else if (request.path == "/control/leave") {
    leave(json->optValue("inMs", 0), json->optValue("die", true));
  } else if (request.path == "/control/counts" || request.path == "/v1/load") {
    const std::lock_guard lock(mutex_);
    answer->set("started", started_);
    answer->set("running", running_.size());
    answer->set("computedTokens", computedTokens_);
    answer->set("lastStartMs", lastStartMs_);
    std::uint64_t most = 0;
    for (const auto& [name, count] : runs_) most = std::max(most, count);
    answer->set("mostRunsOfOneRequest", most);
    answer->set("requests", runs_.size());
  }
  sendJson(response, 200, answer);
}

/// Accepts no new requests from now on; with \p die, exits after \p inMs.
void EngineStandin::leave(int inMs, bool die) {
  const std::lock_guard lock(mutex_);
  leaving_ = true;
  leavesAtMs_ = wallClockMs() + inMs;
  if (!die) return;
  std::thread([inMs] {
    std::this_thread::sleep_for(std::chrono::milliseconds(inMs));
    _exit(0);
  }).detach();
}

}  // namespace Standin
