// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Duty/RolloutPlan.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Hallchute {
namespace {

/// Part of the exposure limit that the canary uses; the rest is left for faults that show only
/// while the share grows.
constexpr double kCanaryPart = 0.8;
/// Shares between canary and drain, and the time that each is watched: about what reports need to
/// reach all daemons and return with evidence.
constexpr std::array kRampShares{0.25, 0.5};
constexpr Millis kRampStep{700};
/// Time from the first requests of the canary until first events are judged: its caches are cold.
constexpr Millis kCanaryWarmTime{1'500};
/// Time before the limit at which the final status is written: a call to the store takes up to 2 s
/// when it times out, and normally milliseconds.
constexpr double kStatusFraction = 0.1;
constexpr Millis kMinStatusMargin{1'000};
constexpr Millis kMaxStatusMargin{1'500};
/// Time for requests that are in flight at the previous versions, as a fraction of the duration:
/// streams take some seconds.
constexpr double kDrainFraction = 0.25;
constexpr Millis kMaxDrainTime{10'000};
constexpr double kRampFraction = 0.14;
constexpr Millis kMaxRampTime{2'100};
/// Delay before a call for the status is repeated.
constexpr Millis kStatusRetryDelay{200};
/// Time beyond the lag of reports in which a daemon that has just learned of the drain sends no
/// more requests to previous versions: two report periods.
constexpr Millis kDrainSettling{400};

Millis fractionOf(Millis duration, double fraction) {
  return Millis(static_cast<Millis::rep>(static_cast<double>(duration.count()) * fraction));
}

RolloutState stateOf(RolloutPhase phase) {
  if (phase == RolloutPhase::done) return RolloutState::done;
  if (phase == RolloutPhase::rolledBack) return RolloutState::rolledBack;
  return RolloutState::running;
}

bool isFinal(const RolloutStatus& status) {
  return status.state != RolloutState::running;
}

bool contains(const std::vector<SoftwareVersion>& versions, const SoftwareVersion& version) {
  return std::find(versions.begin(), versions.end(), version) != versions.end();
}

/// The versions that serve when a new order arrives.
std::vector<SoftwareVersion> servingVersions(const RolloutFacts& facts,
                                             const RolloutRecord* earlier) {
  if (earlier != nullptr && earlier->phase == RolloutPhase::done) return {earlier->target};
  if (earlier != nullptr && !earlier->previous.empty()) return earlier->previous;
  std::vector<SoftwareVersion> versions;
  for (const auto& [version, fleet] : facts.versions) {
    if (fleet.upstreams > 0) versions.push_back(version);
  }
  return versions;
}

}  // namespace

RolloutPlan::RolloutPlan(RolloutPolicy policy, RolloutRecord record)
    : policy_(policy),
      record_(std::move(record)),
      inForce_(record_),
      evidence_(record_.service, record_.order, record_.target) {}

RolloutRecord RolloutPlan::begin(const RolloutOrder& order, const RolloutFacts& facts,
                                 const RolloutRecord* earlier) {
  RolloutRecord record;
  record.name = order.name;
  record.service = order.service;
  record.target = order.target;
  record.order = order.revision;
  record.orderedAt = facts.wallClock;
  record.duration = order.duration;
  record.previous = servingVersions(facts, earlier);
  // The target serves already, alone or beside a version that an earlier order brought.
  const bool serves = contains(record.previous, order.target);
  std::erase(record.previous, order.target);
  const bool reverts = serves && earlier != nullptr && earlier->target != order.target;
  if (reverts) record.previous = {earlier->target};
  if (reverts || (serves && record.previous.empty())) {
    record.phase = RolloutPhase::drain;
    record.share = 1;
  }
  return record;
}

Millis RolloutPlan::statusMargin() const {
  return std::clamp(fractionOf(record_.duration, kStatusFraction), kMinStatusMargin,
                    kMaxStatusMargin);
}

Millis RolloutPlan::drainTime() const {
  return std::min(fractionOf(record_.duration, kDrainFraction), kMaxDrainTime);
}

Millis RolloutPlan::rampTime() const {
  return std::min(fractionOf(record_.duration, kRampFraction), kMaxRampTime);
}

RolloutStage RolloutPlan::stage(std::uint64_t epoch) const {
  return {inForce_.service, inForce_.target, inForce_.previous, inForce_.order, inForce_.phase,
          inForce_.share,   epoch,           inForce_.step,     Millis(0)};
}

std::vector<RolloutChange> RolloutPlan::takeChanges() {
  return std::exchange(changes_, {});
}

void RolloutPlan::noteChange(std::string_view reason, const std::string& route) {
  changes_.push_back({record_.phase, record_.share, record_.step, reason, route, evidence_.target(),
                      evidence_.previous(), timeLimit() - wallClock_, reportLag_});
}

void RolloutPlan::propose(RolloutPhase phase, double share, std::string_view reason) {
  record_.phase = phase;
  record_.share = share;
  ++record_.step;
  noteChange(reason, {});
}

void RolloutPlan::conclude(RolloutPhase phase, std::string_view reason, const std::string& route) {
  record_.phase = phase;
  record_.share = phase == RolloutPhase::done ? 1 : 0;
  ++record_.step;
  noteChange(reason, route);
  enforce();
}

void RolloutPlan::enforce() {
  inForce_ = record_;
  since_ = wallClock_;
  idleSince_.reset();
}

void RolloutPlan::noteStored(const RolloutRecord& stored) {
  const bool same = stored.order == record_.order && stored.step == record_.step;
  if (same && pending()) enforce();
}

void RolloutPlan::noteReported(const RolloutStage& reported) {
  if (reported.order != record_.order || ended()) return;
  if (reported.phase != RolloutPhase::rolledBack) return;
  record_.step = std::max(record_.step, reported.step);
  conclude(RolloutPhase::rolledBack, "reported");
}

void RolloutPlan::noteOrder(const RolloutOrder& order) {
  if (order_ && order.revision < order_->revision) return;
  order_ = order;
  if (order.status && isFinal(*order.status)) statusSeen_ = true;
  statusUnknown_ = false;
  record_.duration = order.duration;
  inForce_.duration = order.duration;
  if (ended() || !order.status) return;
  // An earlier holder wrote it before it could store its record.
  if (order.status->state == RolloutState::done) conclude(RolloutPhase::done, "statusFound");
  if (order.status->state == RolloutState::rolledBack)
    conclude(RolloutPhase::rolledBack, "statusFound");
}

/// Each write of the object or of its status raises the revision.
bool RolloutPlan::replacedBy(const RolloutOrder& order) const {
  const bool newer = !order_ || order.revision > order_->revision;
  return newer && !order.status && ended() && (statusSeen_ || withdrawn_);
}

void RolloutPlan::withdraw() {
  withdrawn_ = true;
  if (!ended()) conclude(RolloutPhase::rolledBack, "withdrawn");
}

std::optional<RolloutStatus> RolloutPlan::wantedStatus() const {
  if (withdrawn_ || !order_) return std::nullopt;
  const RolloutStatus wanted{stateOf(record_.phase), record_.target};
  if (order_->status && (*order_->status == wanted || isFinal(*order_->status)))
    return std::nullopt;
  return wanted;
}

RolloutStep RolloutPlan::statusStep(Instant now) const {
  if (now < statusRetryAt_) return RolloutSteps::Nothing{};
  const std::optional<RolloutStatus> wanted = wantedStatus();
  if (!wanted) return RolloutSteps::Nothing{};
  if (statusUnknown_) return RolloutSteps::ReadOrder{order_->name};
  return RolloutSteps::WriteStatus{order_->name, order_->revision, *wanted};
}

void RolloutPlan::noteStatusOutcome(const RolloutStatus& status, DutyOutcome outcome,
                                    std::uint64_t revision, Instant now) {
  switch (outcome) {
    case DutyOutcome::done:
      if (order_ && revision > order_->revision) {
        order_->revision = revision;
        order_->status = status;
        if (isFinal(status)) statusSeen_ = true;
      }
      return;
    case DutyOutcome::absent:
      withdraw();
      return;
    case DutyOutcome::superseded:
      statusUnknown_ = true;
      return;
    case DutyOutcome::unknown:
      statusUnknown_ = true;
      statusRetryAt_ = now + kStatusRetryDelay;
      return;
    case DutyOutcome::unavailable:
      statusRetryAt_ = now + kStatusRetryDelay;
      return;
  }
}

std::uint32_t RolloutPlan::upstreamsOfTarget(const RolloutFacts& facts) const {
  const auto fleet = facts.versions.find(record_.target);
  return fleet == facts.versions.end() ? 0 : fleet->second.upstreams;
}

std::uint32_t RolloutPlan::inFlightElsewhere(const RolloutFacts& facts) const {
  std::uint32_t requests = 0;
  for (const auto& [version, fleet] : facts.versions) {
    if (version != record_.target) requests += fleet.inFlight;
  }
  return requests;
}

void RolloutPlan::observe(const RolloutFacts& facts) {
  wallClock_ = facts.wallClock;
  reportLag_ = facts.reportLag;
  if (!since_) since_ = wallClock_;
  evidence_.fold(facts.evidence, wallClock_);
  if (ended() || mustRollBack(facts)) return;
  // The stage stays while it can't be stored.
  if (!pending()) advance(facts);
}

bool RolloutPlan::mustRollBack(const RolloutFacts& facts) {
  // A reverted order's target has served before.
  const bool canary = inForce_.phase == RolloutPhase::canary;
  if (canary && inForce_.share > 0 && wallClock_ - *since_ >= kCanaryWarmTime) evidence_.markWarm();
  const FaultFinding finding = evidence_.fault(canary);
  if (finding.fault != VersionFault::none) {
    conclude(RolloutPhase::rolledBack, describe(finding.fault), finding.route);
    return true;
  }
  const bool late = timeLimit() - wallClock_ <= statusMargin();
  if (late && upstreamsOfTarget(facts) == 0) {
    conclude(RolloutPhase::rolledBack, "noUpstreams");
    return true;
  }
  return false;
}

void RolloutPlan::advance(const RolloutFacts& facts) {
  switch (inForce_.phase) {
    case RolloutPhase::canary:
      advanceCanary(facts);
      return;
    case RolloutPhase::ramp: {
      // A successor that took over late leaves out the rest of the ramp.
      if (timeLimit() - wallClock_ <= statusMargin() + drainTime() / 2) {
        propose(RolloutPhase::drain, 1, "behind");
        return;
      }
      if (wallClock_ - *since_ < kRampStep) return;
      const auto* const next =
          std::upper_bound(kRampShares.begin(), kRampShares.end(), inForce_.share);
      if (next == kRampShares.end()) {
        propose(RolloutPhase::drain, 1, "time");
      } else {
        propose(RolloutPhase::ramp, *next, "time");
      }
      return;
    }
    case RolloutPhase::drain:
      advanceDrain(facts);
      return;
    case RolloutPhase::done:
    case RolloutPhase::rolledBack:
      return;
  }
}

void RolloutPlan::advanceCanary(const RolloutFacts& facts) {
  if (upstreamsOfTarget(facts) == 0) return;
  if (inForce_.share <= 0) {
    propose(RolloutPhase::canary, policy_.exposeShare * kCanaryPart, "upstreams");
    return;
  }
  const Millis left = timeLimit() - wallClock_ - statusMargin() - rampTime() - drainTime();
  if (left > Millis(0)) return;
  if (!evidence_.enough() && left > -drainTime() / 2) return;
  if (evidence_.unanswered()) {
    conclude(RolloutPhase::rolledBack, "unanswered");
    return;
  }
  const bool behind = left < -rampTime();
  const double share = behind ? kRampShares.back() : kRampShares.front();
  propose(RolloutPhase::ramp, share, evidence_.enough() ? "time" : "littleEvidence");
}

void RolloutPlan::advanceDrain(const RolloutFacts& facts) {
  if (upstreamsOfTarget(facts) == 0) return;
  if (inFlightElsewhere(facts) > 0) {
    idleSince_.reset();
  } else if (!idleSince_) {
    idleSince_ = wallClock_;
  }
  // Twice the lag: daemons learn of the drain, and the holder of what they still sent.
  const bool heard = wallClock_ - *since_ >= 2 * facts.reportLag + kDrainSettling;
  const bool idle = idleSince_ && wallClock_ - *idleSince_ >= facts.reportLag;
  if (heard && idle) {
    conclude(RolloutPhase::done, "drained");
  } else if (timeLimit() - wallClock_ <= kMinStatusMargin) {
    // Requests that are still in flight may break off, but the order is late otherwise.
    conclude(RolloutPhase::done, "timeLimit");
  }
}

}  // namespace Hallchute
