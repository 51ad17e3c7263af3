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

constexpr std::size_t kPage = 200;
constexpr std::uint64_t kSnapshotEvery = 50;
constexpr int kMaxTries = 3;

std::string utcNow() {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                         Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

}  // namespace

SettingsEditor::SettingsEditor(PlatformPort& platform, const SettingsStore& settings, Learn learn)
    : platform_(platform), settings_(settings), learn_(std::move(learn)) {}

PlatformReply<std::vector<SettingsChange>> SettingsEditor::history(std::uint64_t after,
                                                                   std::size_t most) {
  const auto reply = platform_.list(kChangePrefix, changeKey(after), most);
  if (const auto* refused = std::get_if<Refused>(&reply)) return *refused;
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&reply)) return *unknown;
  std::vector<SettingsChange> changes;
  for (const StoredObject& object : std::get<Done<ObjectList>>(reply).value.objects) {
    Findings findings;
    SettingsChange change = parseChange(object.value, findings);
    if (findings.empty()) {
      changes.push_back(std::move(change));
    } else {
      logLine(LogLevel::error, object.key + " is unreadable: " + describe(findings));
    }
  }
  return Done<std::vector<SettingsChange>>{std::move(changes)};
}

std::variant<std::uint64_t, ProposalUnavailable> SettingsEditor::catchUp(JsonObject& json) {
  const auto activeSettings = settings_.get();
  std::uint64_t revision = activeSettings->revision;
  json = activeSettings->json ? activeSettings->json : JsonObject(new Poco::JSON::Object);
  for (;;) {
    const auto reply = history(revision, kPage);
    const auto* done = std::get_if<Done<std::vector<SettingsChange>>>(&reply);
    if (done == nullptr) return ProposalUnavailable{"the platform can't be read"};
    for (const SettingsChange& change : done->value) {
      if (change.number != revision + 1) break;
      json = mergePatch(json, change.patch);
      revision = change.number;
      learn_(change);
    }
    if (done->value.size() < kPage) return revision;
  }
}

ProposalOutcome SettingsEditor::propose(const SettingsProposal& proposal) {
  JsonObject json;
  const auto caught = catchUp(json);
  if (const auto* out = std::get_if<ProposalUnavailable>(&caught)) return *out;
  const std::uint64_t revision = std::get<std::uint64_t>(caught);
  if (proposal.baseRevision != 0 && proposal.baseRevision < revision) {
    const auto winner = readChange(proposal.baseRevision + 1);
    if (const auto* out = std::get_if<ProposalUnavailable>(&winner)) return *out;
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
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    const auto reply = platform_.write(key, serializeChange(change), 0);
    if (std::holds_alternative<Done<std::uint64_t>>(reply)) {
      learn_(change);
      return ProposalAccepted{change};
    }
    const auto* refused = std::get_if<Refused>(&reply);
    const bool conflict = refused != nullptr && refused->reason == PlatformRefusal::conflict;
    if (refused != nullptr && !conflict) {
      if (maybeWritten) return ProposalUnknown{change.id};
      return ProposalUnavailable{refused->detail};
    }
    maybeWritten = maybeWritten || !conflict;
    // The reply may have been lost after the write took effect: what stands there decides.
    const auto stands = readChange(change.number);
    if (const auto* there = std::get_if<SettingsChange>(&stands)) {
      learn_(*there);
      if (there->id == change.id) return ProposalAccepted{change};
      return ProposalConflict{*there};
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

/// A snapshot spares starting daemons the whole log. Losing one costs nothing but reading.
void SettingsEditor::writeSnapshot(const SettingsChange& change, const JsonObject& json) {
  if (change.number % kSnapshotEvery != 0) return;
  const auto reply = platform_.read(kSnapshotKey);
  std::uint64_t version = 0;
  if (const auto* done = std::get_if<Done<StoredObject>>(&reply)) version = done->value.version;
  JsonObject snapshot = new Poco::JSON::Object;
  snapshot->set("revision", change.number);
  snapshot->set("settings", json);
  const auto written = platform_.write(kSnapshotKey, jsonText(snapshot), version);
  if (!std::holds_alternative<Done<std::uint64_t>>(written)) {
    logLine(LogLevel::warning, "the snapshot of the settings was not written");
  }
}

}  // namespace Hallchute
