// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Fleet/FleetView.h"

#include <algorithm>

namespace Hallchute {
namespace {

/// Several report periods: one lost report doesn't make a daemon unheard.
constexpr Millis kHeardFor{1'000};
/// How long a silent daemon may still be running behind a cut and spending its part of quotas.
constexpr Millis kKnownFor{15'000};
/// How long an address is reported to after its daemon was last heard.
constexpr Millis kTriedFor{60'000};

}  // namespace

void addUsage(UsageByWindow& total, const UsageByWindow& more) {
  for (const auto& [window, counts] : more) {
    for (const auto& [organisation, count] : counts) total[window][organisation] += count;
  }
}

void FleetView::addAddresses(std::span<const std::string> addresses) {
  for (const std::string& address : addresses) {
    if (!address.empty() && address != self_.address) addresses_.insert(address);
  }
}

void FleetView::learnMember(const FleetMember& member, Instant now) {
  if (member.daemon == self_.daemon || daemons_.contains(member.daemon)) return;
  Known& known = daemons_[member.daemon];
  known.report.self = member;
  known.heard = now;
  known.hearsay = true;
}

FleetNews FleetView::receive(const FleetReport& report, Instant now) {
  FleetNews news;
  if (report.self.daemon == self_.daemon) return news;
  Known& known = daemons_[report.self.daemon];
  FleetReport& last = known.report;
  if (report.self.incarnation < last.self.incarnation) return news;
  news.newIncarnation = known.hearsay || report.self.incarnation > last.self.incarnation;
  if (report.self.incarnation > last.self.incarnation && !last.usage.empty()) {
    pastUsage_[{last.self.daemon, last.self.incarnation}] = last.usage;
  }
  const bool sameLife = report.self.incarnation == last.self.incarnation;
  for (const auto& [organisation, spent] : report.spent) {
    const auto before = last.spent.find(organisation);
    const double more = spent - (sameLife && before != last.spent.end() ? before->second : 0);
    if (more > 0) news.spentMore[organisation] = more;
  }
  for (const UpstreamId& upstream : report.draining) {
    const auto& seen = last.draining;
    if (std::find(seen.begin(), seen.end(), upstream) == seen.end()) {
      news.draining.push_back(upstream);
    }
  }
  known.report = report;
  known.heard = now;
  known.hearsay = false;
  for (const FleetMember& member : report.members) learnMember(member, now);
  return news;
}

std::vector<std::string> FleetView::targets(Instant now) const {
  std::set<std::string> wanted = addresses_;
  for (const auto& [daemon, known] : daemons_) {
    const std::string& address = known.report.self.address;
    if (now - known.heard <= kTriedFor) {
      wanted.insert(address);
    } else {
      wanted.erase(address);
    }
  }
  wanted.erase(self_.address);
  return {wanted.begin(), wanted.end()};
}

std::size_t FleetView::heard(Instant now) const {
  std::size_t count = 1;
  for (const auto& [daemon, known] : daemons_) {
    if (!known.hearsay && !known.report.leaving && now - known.heard <= kHeardFor) ++count;
  }
  return count;
}

std::size_t FleetView::known(Instant now) const {
  std::size_t count = 1;
  for (const auto& [daemon, known] : daemons_) {
    if (!known.report.leaving && now - known.heard <= kKnownFor) ++count;
  }
  return count;
}

UpstreamLoads FleetView::loadsElsewhere(Instant now) const {
  UpstreamLoads loads;
  for (const FleetReport* report : reports(now)) {
    for (const auto& [upstream, load] : report->loads) loads[upstream] += load;
  }
  return loads;
}

UsageByWindow FleetView::usageElsewhere() const {
  UsageByWindow total;
  for (const auto& [life, usage] : pastUsage_) addUsage(total, usage);
  for (const auto& [daemon, known] : daemons_) addUsage(total, known.report.usage);
  return total;
}

void FleetView::forgetUsageBefore(std::int64_t firstWindow) {
  for (auto& [life, usage] : pastUsage_) {
    usage.erase(usage.begin(), usage.lower_bound(firstWindow));
  }
  std::erase_if(pastUsage_, [](const auto& entry) { return entry.second.empty(); });
}

std::vector<FleetMember> FleetView::members(Instant now) const {
  std::vector<FleetMember> members;
  for (const auto& [daemon, known] : daemons_) {
    if (now - known.heard <= kKnownFor) members.push_back(known.report.self);
  }
  return members;
}

const FleetReport* FleetView::find(const DaemonId& daemon, Instant now) const {
  const auto it = daemons_.find(daemon);
  if (it == daemons_.end() || it->second.hearsay || now - it->second.heard > kHeardFor) {
    return nullptr;
  }
  return &it->second.report;
}

std::vector<const FleetReport*> FleetView::reports(Instant now) const {
  std::vector<const FleetReport*> reports;
  for (const auto& [daemon, known] : daemons_) {
    if (!known.hearsay && now - known.heard <= kHeardFor) reports.push_back(&known.report);
  }
  return reports;
}

}  // namespace Hallchute
