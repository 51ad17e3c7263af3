// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "SimulatedFleet.h"

#include <algorithm>
#include <utility>

namespace Hallchute {
namespace {

/// From this size on daemons report through relays, in more domains.
constexpr int kLargeFleet = 13;
constexpr int kDomains = 3;
constexpr int kDomainsOfLargeFleet = 5;
constexpr std::uint64_t kFirstIncarnation = 1'000'000;
/// Daemons that start together report at about the same times.
constexpr int kReportPhases = 20;
constexpr int kSeeds = 3;

}  // namespace

SimulatedFleet::SimulatedFleet(int daemons, Partition partition)
    : partition_(partition), views_(static_cast<std::size_t>(daemons)) {}

std::string SimulatedFleet::addressOf(int daemon) {
  return "h" + std::to_string(daemon) + ":1";
}

FleetMember SimulatedFleet::memberOf(int daemon, int ms) const {
  const int domains = size() >= kLargeFleet ? kDomainsOfLargeFleet : kDomains;
  const std::string domain = "d" + std::to_string(daemon % domains);
  // The first daemon of each domain has the most capacity, so that it becomes the relay.
  const std::uint32_t capacity = daemon < domains ? 500U : 120U;
  return {DaemonId(domain + "-" + std::to_string(1'000 + daemon)), addressOf(daemon),
          kFirstIncarnation + static_cast<std::uint64_t>(std::chrono::hours(1) / Millis(1) + ms),
          FailureDomainName(domain), capacity};
}

void SimulatedFleet::start(int daemon, int ms) {
  auto& view = views_[static_cast<std::size_t>(daemon)];
  view = std::make_unique<FleetView>(memberOf(daemon, ms), at(ms));
  std::vector<std::string> seeds;
  for (int i = 0; i < std::min(kSeeds, size()); ++i) seeds.push_back(addressOf(i));
  view->addAddresses(seeds);
  view->noteEarlierSize(views_.size());
}

bool SimulatedFleet::reportsAt(int daemon, int ms) {
  const int phase = kStepMs * (daemon % kReportPhases);
  // A multiple of the period is added, as times before the start are negative.
  return (ms + phase + 1'000 * kReportPeriodMs) % kReportPeriodMs == 0;
}

bool SimulatedFleet::reaches(int from, int to, int ms) const {
  const bool partitioned = ms >= partition_.fromMs && ms < partition_.toMs;
  return !partitioned || (from < partition_.firstPart) == (to < partition_.firstPart);
}

bool SimulatedFleet::partitionStarting(int ms) const {
  return partition_.firstPart > 0 && ms >= partition_.fromMs && ms < partition_.fromMs + kContactMs;
}

void SimulatedFleet::report(int daemon, const FleetReport& own, int ms) {
  for (AddressedReport& sent : view(daemon).compose(own, at(ms))) {
    const int to = std::stoi(sent.address.substr(1));
    if (reaches(daemon, to, ms)) underWay_.push_back({ms, to, std::move(sent.report)});
  }
}

void SimulatedFleet::deliver(
    int ms, const std::function<bool(int daemon)>& receives,
    const std::function<void(int daemon, const FleetReport& report)>& onReport) {
  while (!underWay_.empty() && underWay_.front().ms + kReportDelayMs <= ms) {
    const SentReport& sent = underWay_.front();
    if (receives(sent.to)) {
      view(sent.to).receive(sent.report, at(ms));
      onReport(sent.to, sent.report);
    }
    underWay_.pop_front();
  }
}

}  // namespace Hallchute
