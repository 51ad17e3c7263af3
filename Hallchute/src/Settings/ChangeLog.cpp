// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/ChangeLog.h"

namespace Hallchute {
namespace {

constexpr std::size_t kRecentChanges = 128;

std::shared_ptr<const ActiveSettings> makeInForce(std::uint64_t revision, const JsonObject& json) {
  auto made = std::make_shared<ActiveSettings>();
  Findings findings;
  made->revision = revision;
  made->json = json;
  made->tree = readSettings(json, findings);
  return made;
}

}  // namespace

ChangeLog::ChangeLog() : inForce_(makeInForce(0, new Poco::JSON::Object)) {}

bool ChangeLog::loadSnapshot(std::uint64_t revision, const JsonObject& json) {
  if (revision <= inForce_->revision) return false;
  inForce_ = makeInForce(revision, json);
  waiting_.erase(waiting_.begin(), waiting_.upper_bound(revision));
  while (applyNext()) {
  }
  return true;
}

bool ChangeLog::add(SettingsChange change) {
  if (change.number <= inForce_->revision) return false;
  if (waiting_.size() >= kMaxWaiting && change.number != inForce_->revision + 1) return false;
  const std::uint64_t before = inForce_->revision;
  const std::uint64_t number = change.number;
  waiting_.emplace(number, std::move(change));
  while (applyNext()) {
  }
  return inForce_->revision > before;
}

bool ChangeLog::applyNext() {
  const auto it = waiting_.find(inForce_->revision + 1);
  if (it == waiting_.end()) return false;
  inForce_ = makeInForce(it->first, mergePatch(inForce_->json, it->second.patch));
  recent_.insert(waiting_.extract(it));
  if (recent_.size() > kRecentChanges) recent_.erase(recent_.begin());
  return true;
}

std::vector<SettingsChange> ChangeLog::after(std::uint64_t revision, std::size_t most) const {
  std::vector<SettingsChange> found;
  auto it = recent_.upper_bound(revision);
  if (it == recent_.end() || it->first != revision + 1) return found;
  for (; it != recent_.end() && found.size() < most; ++it) found.push_back(it->second);
  return found;
}

}  // namespace Hallchute
