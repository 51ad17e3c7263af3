// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/LimitLedger.h"

#include <algorithm>
#include <cmath>

#include "Hallchute/src/Core/StableHash.h"

namespace Hallchute {
namespace {

/// Time for which the allowed requests are divided. A shorter one leaves more of the limit unused,
/// as a daemon needs a request in time for its share; a longer one lets the requests of more time
/// arrive at once, as many as go on to arrive when a limit is lowered.
constexpr Millis kSharePeriod{500};
/// How long a change is reported: several report periods, so that a lost report loses nothing.
constexpr Millis kReportTime{1'000};
/// How often all limits are reported.
constexpr Millis kListInterval{1'000};
/// How long an upstream is remembered that nothing is heard of. Also how long it is remembered that
/// a limit was dropped, so that a daemon that was silent can't bring it back.
constexpr Millis kRetention{60'000};
/// Requests a second that an upstream gets at least: only an answer tells that its limit has
/// changed.
constexpr double kLeastPerSecond = 0.25;
/// Age of the last answer that named a limit from which on the next allowed request goes to that
/// upstream: without a request it would not be noticed that the limit was dropped.
constexpr Millis kConfirmationInterval{1'000};

/// Whether \p other, reported by a daemon, replaces \p known.
bool isLater(const NamedLimit& other, const NamedLimit& known) {
  if (other.upstream.incarnation != known.upstream.incarnation)
    return other.upstream.incarnation > known.upstream.incarnation;
  if (other.namedAt != known.namedAt) return other.namedAt > known.namedAt;
  return other.limited && !known.limited;
}

bool saysTheSame(const NamedLimit& a, const NamedLimit& b) {
  return a.upstream == b.upstream && a.limited == b.limited && a.perSecond == b.perSecond;
}

}  // namespace

Millis LimitLedger::sharedClock(Instant now) const {
  return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + fleet_.clockOffset;
}

std::int64_t LimitLedger::periodAt(Instant now) const {
  return sharedClock(now) / kSharePeriod;
}

bool LimitLedger::noteAnswer(const UpstreamIncarnation& upstream, std::optional<double> perSecond,
                             Instant now) {
  const auto known = entries_.find(upstream.id);
  if (known == entries_.end() && !perSecond) return false;
  NamedLimit limit{upstream, perSecond.has_value(), perSecond.value_or(0), sharedClock(now)};
  Entry& entry = entries_[upstream.id];
  // What this daemon receives now is later than what it was told before, whatever the clocks say.
  limit.namedAt = std::max(limit.namedAt, entry.limit.namedAt + Millis(1));
  const bool changed = known == entries_.end() || !saysTheSame(limit, entry.limit);
  entry.limit = limit;
  entry.heardAt = now;
  if (!changed) return false;
  entry.changedAt = now;
  entry.observedAt = now;
  return true;
}

void LimitLedger::assume(const UpstreamIncarnation& upstream, double perSecond, Instant now) {
  Entry& entry = entries_[upstream.id];
  entry = Entry{};
  entry.limit = {upstream, true, perSecond, Millis(0)};
  entry.heardAt = now;
}

bool LimitLedger::knows(const UpstreamIncarnation& upstream) const {
  const auto it = entries_.find(upstream.id);
  return it != entries_.end() && it->second.limit.upstream.incarnation >= upstream.incarnation;
}

void LimitLedger::merge(std::span<const NamedLimit> limits, Instant now) {
  for (const NamedLimit& limit : limits) {
    const auto known = entries_.find(limit.upstream.id);
    if (known != entries_.end() && !isLater(limit, known->second.limit)) continue;
    Entry& entry = entries_[limit.upstream.id];
    if (known == entries_.end() || !saysTheSame(limit, entry.limit)) entry.changedAt = now;
    entry.limit = limit;
    entry.heardAt = now;
  }
}

std::vector<NamedLimit> LimitLedger::report(bool forwards, Instant now) {
  const bool lists = forwards && now - listedAt_ >= kListInterval;
  if (lists) listedAt_ = now;
  std::vector<NamedLimit> limits;
  for (const auto& [id, entry] : entries_) {
    const Instant changed = forwards ? entry.changedAt : entry.observedAt;
    const bool recent = changed != Instant{} && now - changed <= kReportTime;
    if (recent || lists) limits.push_back(entry.limit);
  }
  return limits;
}

/// The requests of a period are numbered through all periods, so that a low limit allows one in
/// some of them. Those that can't be divided evenly go to the daemons that follow a hash of
/// upstream and period on a ring: a daemon more or less changes the share of one other.
std::uint64_t LimitLedger::shareOf(const Entry& entry, std::int64_t period) const {
  if (!fleet_.active || fleet_.members.empty()) return 0;
  const std::chrono::duration<double> periodLength = kSharePeriod;
  const double perPeriod = std::max(entry.limit.perSecond, kLeastPerSecond) * periodLength.count();
  const auto through = [&](std::int64_t end) {
    return static_cast<std::uint64_t>(std::floor(perPeriod * static_cast<double>(end)));
  };
  const std::uint64_t allowed = through(period + 1) - through(period);
  const std::uint64_t daemons = fleet_.members.size();
  const std::uint64_t start =
      stableHash(entry.limit.upstream.id.str(), static_cast<std::uint64_t>(period));
  const auto first = std::lower_bound(fleet_.members.begin(), fleet_.members.end(), start);
  const auto offset = static_cast<std::uint64_t>(first - fleet_.members.begin());
  const std::uint64_t rank = (fleet_.self + daemons - offset) % daemons;
  return allowed / daemons + (rank < allowed % daemons ? 1 : 0);
}

std::optional<std::uint64_t> LimitLedger::share(const UpstreamId& upstream, Instant now) const {
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.limit.limited) return std::nullopt;
  return shareOf(it->second, periodAt(now));
}

std::optional<double> LimitLedger::limitOf(const UpstreamId& upstream) const {
  if (entries_.empty()) return std::nullopt;
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.limit.limited) return std::nullopt;
  return it->second.limit.perSecond;
}

bool LimitLedger::maySend(const UpstreamId& upstream, Instant now) const {
  if (entries_.empty()) return true;
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.limit.limited) return true;
  const Entry& entry = it->second;
  const std::int64_t period = periodAt(now);
  const std::uint64_t sent = entry.sentIn == period ? entry.sent : 0;
  return sent < shareOf(entry, period);
}

bool LimitLedger::needsConfirmation(const UpstreamId& upstream, Instant now) const {
  const auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.limit.limited) return false;
  const bool recent = sharedClock(now) - it->second.limit.namedAt < kConfirmationInterval;
  // One request at a time: an upstream that doesn't answer must not draw all that its limit allows.
  const bool asked = now - it->second.sentAt < kConfirmationInterval;
  return !recent && !asked && maySend(upstream, now);
}

void LimitLedger::noteSent(const UpstreamId& upstream, Instant now) {
  const auto it = entries_.find(upstream);
  if (it == entries_.end()) return;
  Entry& entry = it->second;
  const std::int64_t period = periodAt(now);
  if (entry.sentIn != period) entry.sent = 0;
  entry.sentIn = period;
  entry.sentAt = now;
  ++entry.sent;
}

void LimitLedger::sweep(Instant now) {
  std::erase_if(entries_, [&](const auto& item) { return now - item.second.heardAt > kRetention; });
}

}  // namespace Hallchute
