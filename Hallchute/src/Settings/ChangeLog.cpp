// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Settings/ChangeLog.h"

namespace Hallchute {
namespace {

constexpr std::size_t kMaxRecentChanges = 128;

std::shared_ptr<const ActiveSettings> makeActiveSettings(std::uint64_t revision,
                                                         const JsonObject& json) {
  auto settings = std::make_shared<ActiveSettings>();
  Findings findings;
  settings->revision = revision;
  settings->json = json;
  settings->tree = readSettings(json, findings);
  return settings;
}

}  // namespace

ChangeLog::ChangeLog() : active_(makeActiveSettings(0, new Poco::JSON::Object)) {}

bool ChangeLog::loadSnapshot(std::uint64_t revision, const JsonObject& json) {
  if (revision <= active_->revision) return false;
  active_ = makeActiveSettings(revision, json);
  pending_.erase(pending_.begin(), pending_.upper_bound(revision));
  while (applyNext()) {
  }
  return true;
}

bool ChangeLog::add(SettingsChange change) {
  if (change.number <= active_->revision) return false;
  if (pending_.size() >= kMaxPendingChanges && change.number != active_->revision + 1) return false;
  const std::uint64_t before = active_->revision;
  const std::uint64_t number = change.number;
  pending_.emplace(number, std::move(change));
  while (applyNext()) {
  }
  return active_->revision > before;
}

bool ChangeLog::applyNext() {
  const auto it = pending_.find(active_->revision + 1);
  if (it == pending_.end()) return false;
  active_ = makeActiveSettings(it->first, mergePatch(active_->json, it->second.patch));
  recent_.insert(pending_.extract(it));
  if (recent_.size() > kMaxRecentChanges) recent_.erase(recent_.begin());
  return true;
}

std::vector<SettingsChange> ChangeLog::after(std::uint64_t revision, std::size_t maxCount) const {
  std::vector<SettingsChange> changes;
  auto it = recent_.upper_bound(revision);
  if (it == recent_.end() || it->first != revision + 1) return changes;
  for (; it != recent_.end() && changes.size() < maxCount; ++it) changes.push_back(it->second);
  return changes;
}

}  // namespace Hallchute
