// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "DutyFleet.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "Hallchute/src/Fleet/ReportSums.h"

namespace Hallchute {
namespace {

const OrganisationName kOrganisation("org");
const DutyPolicy kPolicy{Millis(3'000), Millis(DutyFleet::kWindow), Millis(DutyFleet::kDue)};
constexpr int kStep = 10;
constexpr int kServeEvery = 1'000 / DutyFleet::kRunsPerSecond;
constexpr int kReportPeriod = 200;
constexpr int kDutyTurn = 250;
constexpr int kOnTheWay = 10;
/// Between the end of a daemon that was stopped as planned and its next start.
constexpr int kRestart = 500;
/// The wall clock at the start of a run, on a boundary of windows.
constexpr std::int64_t kWallStart = 1'000'000'000;

std::uint64_t countOf(const UsageCounts& counts) {
  const auto it = counts.find(kOrganisation);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

Instant DutyFleet::at(int ms) {
  return Instant(std::chrono::hours(1)) + Millis(ms);
}

DutyFleet::DutyFleet(int daemons, int domains) {
  for (int i = 0; i < daemons; ++i) {
    Host host;
    host.domain = i % domains;
    host.name = "d" + std::to_string(host.domain) + "-" + std::to_string(100 + i);
    byAddress_[host.name + ":1"] = hosts_.size();
    hosts_.push_back(std::move(host));
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) start(i, 0);
}

void DutyFleet::powerOffAll(int from, int to) {
  for (std::size_t i = 0; i < hosts_.size(); ++i) powerOff(static_cast<int>(i), from, to);
}

Millis DutyFleet::wallClock(std::size_t index, int ms) const {
  Millis clock(kWallStart + ms);
  for (const Step& step : steps_) {
    const bool now = ms >= step.from && ms < step.to;
    if (now && step.host == static_cast<int>(index)) clock += Millis(step.ahead);
  }
  return clock;
}

void DutyFleet::start(std::size_t index, int ms) {
  Host& host = hosts_[index];
  const auto incarnation = static_cast<std::uint64_t>(kWallStart + ms);
  const FleetMember self{DaemonId(host.name), host.name + ":1", incarnation,
                         DomainName("d" + std::to_string(host.domain)), 500};
  host.view = std::make_unique<FleetView>(self, at(ms));
  const std::size_t seeds = std::min<std::size_t>(3, hosts_.size());
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < seeds; ++i) addresses.push_back(hosts_[i].name + ":1");
  host.view->addAddresses(addresses);
  host.view->noteWallClock(wallClock(index, ms), at(ms));
  if (stored_) host.view->noteEarlierSize(stored_->record.daemons);
  host.keeper = std::make_unique<DutyStateMachine>(kPolicy, self.daemon, incarnation);
  host.usage.clear();
}

bool DutyFleet::isHolder(const Host& host) const {
  return stored_ && stored_->record.holder.daemon.str() == host.name;
}

void DutyFleet::fail(int ms) {
  for (const Failure& outage : outages_) {
    if (outage.from != ms) continue;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const bool hit =
          outage.host == kHolder ? isHolder(hosts_[i]) : outage.host == static_cast<int>(i);
      if (!hit) continue;
      hosts_[i].view.reset();
      hosts_[i].keeper.reset();
      hosts_[i].backAt = outage.to;
    }
  }
}

void DutyFleet::leave(int ms) {
  for (const Failure& refusal : refusals_) {
    if (refusal.from != ms) continue;
    for (Host& host : hosts_) {
      if (isHolder(host)) host.refusedUntil = refusal.to;
    }
  }
  for (const Failure& stop : stops_) {
    if (stop.from != ms) continue;
    for (Host& host : hosts_) {
      if (isHolder(host)) host.endsAt = stop.to;
    }
  }
  for (Host& host : hosts_) {
    if (host.endsAt != ms || ms == 0) continue;
    host.view.reset();
    host.keeper.reset();
    host.endsAt = 0;
    host.backAt = ms + kRestart;
  }
}

void DutyFleet::run(int untilMs) {
  for (now_ = 0; now_ < untilMs; now_ += kStep) {
    fail(now_);
    leave(now_);
    for (std::size_t i = 0; i < hosts_.size(); ++i) turn(i, now_);
    const bool held = std::any_of(hosts_.begin(), hosts_.end(), [](const Host& host) {
      return host.keeper != nullptr && host.keeper->holdsDuties();
    });
    if (!held && stored_) unheld_ += kStep;
    while (!sent_.empty() && sent_.front().ms + kOnTheWay <= now_) {
      deliver(sent_.front(), now_);
      sent_.pop_front();
    }
  }
}

void DutyFleet::turn(std::size_t index, int ms) {
  Host& host = hosts_[index];
  if (host.view == nullptr && ms >= host.backAt) start(index, ms);
  if (host.view == nullptr) return;
  // Daemons don't act at the same moment.
  const int shifted = ms + 30 * static_cast<int>(index % 7);
  if (ms % kServeEvery == 0) serve(host, ms);
  if (shifted % kReportPeriod == 0) report(index, ms);
  if (shifted % kDutyTurn == 0) keep(host, ms);
}

void DutyFleet::serve(Host& host, int ms) {
  ++served_[(kWallStart + ms) / kWindow];
  ++host.usage[host.view->clock().at(at(ms)).count() / kWindow][kOrganisation];
}

bool DutyFleet::apart(int domain, int other, int ms) const {
  if (domain == other) return false;
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) {
    return ms >= cut.from && ms < cut.to && (cut.domain == domain || cut.domain == other);
  });
}

void DutyFleet::report(std::size_t index, int ms) {
  Host& host = hosts_[index];
  host.view->noteWallClock(wallClock(index, ms), at(ms));
  FleetReport own;
  own.wallClock = wallClock(index, ms);
  own.usage = host.usage;
  own.leaving = host.endsAt != 0;
  own.duties = facts(host, ms).reportedHolder;
  for (AddressedReport& report : host.view->compose(own, at(ms))) {
    sent_.push_back({ms, index, byAddress_.at(report.address), std::move(report.report)});
  }
}

void DutyFleet::deliver(const Sent& sent, int ms) {
  Host& host = hosts_[sent.to];
  if (host.view == nullptr || apart(hosts_[sent.from].domain, host.domain, ms)) return;
  host.view->receive(sent.report, at(ms));
}

DutyFacts DutyFleet::facts(const Host& host, int ms) const {
  const Instant now = at(ms);
  const FleetView& view = *host.view;
  DutyFacts facts;
  facts.heard = view.liveOthers(now);
  if (host.endsAt == 0) facts.heard[DaemonId(host.name)] = host.keeper->self().incarnation;
  facts.known = view.known(now);
  facts.fleetDiscovered = view.discoveryComplete(now);
  facts.usageComplete = view.usageComplete(now);
  facts.usage = view.usageElsewhere(now);
  addUsage(facts.usage, host.usage);
  facts.wallClock = view.clock().at(now);
  facts.reportedHolder = host.keeper->holder();
  for (const FleetReport* report : view.reports(now))
    facts.reportedHolder.mergeNewer(report->duties);
  return facts;
}

void DutyFleet::keep(Host& host, int ms) {
  if (host.endsAt != 0) {
    if (host.keeper->holdsDuties()) release(host, ms);
    return;
  }
  const DutyStep step = host.keeper->next(facts(host, ms), at(ms));
  std::visit([&](const auto& s) { perform(host, s, ms); }, step);
}

void DutyFleet::release(Host& host, int ms) {
  const auto write = std::get<DutySteps::Write>(host.keeper->release(facts(host, ms)));
  put(host, write.record, write.revision, ms);
  host.keeper->stepDown();
}

void DutyFleet::perform(Host&, const DutySteps::Nothing&, int) {}

bool DutyFleet::refused(Host& host, int ms) {
  if (ms >= host.refusedUntil) return false;
  host.keeper->noteOutcome(DutyOutcome::unavailable, 0, at(ms));
  return true;
}

void DutyFleet::perform(Host& host, const DutySteps::Read&, int ms) {
  if (refused(host, ms)) return;
  if (stored_) {
    host.keeper->noteRead(*stored_, at(ms));
  } else {
    host.keeper->noteOutcome(DutyOutcome::absent, 0, at(ms));
  }
}

void DutyFleet::put(Host& host, const DutyRecord& record, std::uint64_t revision, int ms) {
  if (refused(host, ms)) return;
  const std::uint64_t present = stored_ ? stored_->revision : 0;
  if (revision != present) {
    host.keeper->noteOutcome(DutyOutcome::superseded, 0, at(ms));
    return;
  }
  stored_ = StoredDutyRecord{record, present + 1};
  host.keeper->noteOutcome(DutyOutcome::done, present + 1, at(ms));
}

void DutyFleet::perform(Host& host, const DutySteps::Create& step, int ms) {
  put(host, step.record, 0, ms);
}

void DutyFleet::perform(Host& host, const DutySteps::Write& step, int ms) {
  put(host, step.record, step.revision, ms);
}

void DutyFleet::perform(Host& host, const DutySteps::SendUsage& step, int ms) {
  if (step.epoch < highestEpoch_) {
    host.keeper->noteOutcome(DutyOutcome::superseded, 0, at(ms));
    return;
  }
  highestEpoch_ = step.epoch;
  const Report report{ms, countOf(step.counts)};
  const auto [first, fresh] = reports_.emplace(step.window, report);
  if (first->second.count != report.count) ++contradictions_;
  host.keeper->noteOutcome(DutyOutcome::done, 0, at(ms));
}

int DutyFleet::uncounted(int window) const {
  const int due = (window + 1) * kWindow + kDue;
  const auto report = reports_.find(kWallStart / kWindow + window);
  const bool inTime = report != reports_.end() && report->second.ms <= due;
  const std::uint64_t told = inTime ? report->second.count : 0;
  return static_cast<int>(served_.at(kWallStart / kWindow + window)) - static_cast<int>(told);
}

std::string DutyFleet::wrongWindows() const {
  std::string wrong;
  for (int window = 0; (window + 1) * kWindow + kDue <= now_; ++window) {
    const auto served = static_cast<int>(served_.at(kWallStart / kWindow + window));
    const int lacks = uncounted(window);
    if (std::abs(lacks) * 20 <= served) continue;
    wrong += " window " + std::to_string(window) + ": lacks " + std::to_string(lacks) + " of " +
             std::to_string(served);
  }
  return wrong;
}

}  // namespace Hallchute
