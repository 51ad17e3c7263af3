// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/SettingsEditor.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include "Hallchute/src/Daemon/RandomName.h"
#include "Hallchute/src/Daemon/SettingsStore.h"
#include "Hallchute/src/Observability/Log.h"

namespace Hallchute {
namespace {

constexpr std::size_t kPageSize = 200;
constexpr std::uint64_t kChangesPerSnapshot = 50;
constexpr int kMaxAttempts = 3;

std::string utcNow() {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                         Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

}  // namespace

SettingsEditor::SettingsEditor(PlatformPort& platform, const SettingsStore& settings,
                               ChangeCallback onChange)
    : platform_(platform), settings_(settings), onChange_(std::move(onChange)) {}

PlatformReply<std::vector<SettingsChange>> SettingsEditor::history(std::uint64_t after,
                                                                   std::size_t limit) {
  const auto reply = platform_.list(kChangePrefix, changeKey(after), limit);
  if (const auto* refused = std::get_if<Refused>(&reply)) return *refused;
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&reply)) return *unknown;
  std::vector<SettingsChange> changes;
  for (const StoredObject& object : std::get<Done<ObjectList>>(reply).value.objects) {
    Findings findings;
    SettingsChange change = parseChange(object.value, findings);
    if (findings.empty()) {
      changes.push_back(std::move(change));
    } else {
      logMessage(LogLevel::error, object.key + " is malformed: " + describe(findings));
    }
  }
  return Done<std::vector<SettingsChange>>{std::move(changes)};
}

std::variant<std::uint64_t, ProposalUnavailable> SettingsEditor::loadLatest(JsonObject& json) {
  const auto activeSettings = settings_.get();
  std::uint64_t revision = activeSettings->revision;
  json = activeSettings->json ? activeSettings->json : JsonObject(new Poco::JSON::Object);
  for (;;) {
    const auto reply = history(revision, kPageSize);
    const auto* done = std::get_if<Done<std::vector<SettingsChange>>>(&reply);
    if (done == nullptr) return ProposalUnavailable{"the platform can't be read"};
    for (const SettingsChange& change : done->value) {
      if (change.number != revision + 1) break;
      json = mergePatch(json, change.patch);
      revision = change.number;
      onChange_(change);
    }
    if (done->value.size() < kPageSize) return revision;
  }
}

ProposalOutcome SettingsEditor::propose(const SettingsProposal& proposal) {
  JsonObject json;
  const auto latest = loadLatest(json);
  if (const auto* unavailable = std::get_if<ProposalUnavailable>(&latest)) return *unavailable;
  const std::uint64_t revision = std::get<std::uint64_t>(latest);
  if (proposal.baseRevision != 0 && proposal.baseRevision < revision) {
    const auto winner = readChange(proposal.baseRevision + 1);
    if (const auto* unavailable = std::get_if<ProposalUnavailable>(&winner)) return *unavailable;
    return ProposalConflict{std::get<SettingsChange>(winner)};
  }
  const JsonObject merged = mergePatch(json, proposal.patch);
  Findings findings;
  readSettings(merged, findings);
  if (proposal.author.empty()) findings.push_back({"/author", "is missing"});
  if (proposal.reason.empty()) findings.push_back({"/reason", "is missing"});
  if (!findings.empty()) return ProposalInvalid{std::move(findings)};
  SettingsChange change;
  change.number = revision + 1;
  change.id = randomName();
  change.author = proposal.author;
  change.reason = proposal.reason;
  change.at = utcNow();
  change.patch = proposal.patch;
  change.differences = differences(json, merged);
  if (change.differences.empty()) return ProposalEmpty{};
  ProposalOutcome outcome = create(change);
  if (std::holds_alternative<ProposalAccepted>(outcome)) writeSnapshot(change, merged);
  return outcome;
}

ProposalOutcome SettingsEditor::create(const SettingsChange& change) {
  const std::string key = changeKey(change.number);
  bool maybeWritten = false;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto reply = platform_.write(key, serializeChange(change), 0);
    if (std::holds_alternative<Done<std::uint64_t>>(reply)) {
      onChange_(change);
      return ProposalAccepted{change};
    }
    const auto* refused = std::get_if<Refused>(&reply);
    const bool conflict = refused != nullptr && refused->reason == PlatformRefusal::conflict;
    if (refused != nullptr && !conflict) {
      if (maybeWritten) return ProposalUnknown{change.id};
      return ProposalUnavailable{refused->detail};
    }
    maybeWritten = maybeWritten || !conflict;
    // The reply may have been lost after the write took effect, so compare the stored object.
    const auto stored = readChange(change.number);
    if (const auto* existing = std::get_if<SettingsChange>(&stored)) {
      onChange_(*existing);
      if (existing->id == change.id) return ProposalAccepted{change};
      return ProposalConflict{*existing};
    }
  }
  return ProposalUnknown{change.id};
}

std::variant<SettingsChange, ProposalUnavailable> SettingsEditor::readChange(std::uint64_t number) {
  const auto reply = platform_.read(changeKey(number));
  const auto* done = std::get_if<Done<StoredObject>>(&reply);
  if (done == nullptr) return ProposalUnavailable{"the platform can't be read"};
  Findings findings;
  SettingsChange change = parseChange(done->value.value, findings);
  if (!findings.empty()) return ProposalUnavailable{describe(findings)};
  return change;
}

/// A snapshot saves starting daemons from reading the whole log. If the write fails, they only read
/// more of the log.
void SettingsEditor::writeSnapshot(const SettingsChange& change, const JsonObject& json) {
  if (change.number % kChangesPerSnapshot != 0) return;
  const auto reply = platform_.read(kSnapshotKey);
  std::uint64_t version = 0;
  if (const auto* done = std::get_if<Done<StoredObject>>(&reply)) version = done->value.version;
  JsonObject snapshot = new Poco::JSON::Object;
  snapshot->set("revision", change.number);
  snapshot->set("settings", json);
  const auto written = platform_.write(kSnapshotKey, jsonText(snapshot), version);
  if (!std::holds_alternative<Done<std::uint64_t>>(written)) {
    logMessage(LogLevel::warning, "failed to write the settings snapshot");
  }
}

}  // namespace Hallchute
