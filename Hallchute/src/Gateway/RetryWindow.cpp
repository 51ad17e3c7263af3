// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RetryWindow.h"

#include <algorithm>

#include "Hallchute/src/Gateway/RetrySlack.h"

namespace Hallchute {
namespace {

/// Fraction of the slack that is used, because daemons may underestimate the number of peers.
constexpr double kUsableSlack = 0.7;
/// Part of a window's allowance that is earned in that window; the rest in the one before it.
constexpr double kEarnedInWindow = 0.5;
/// Time from a caller's request until it is counted, plus the time from a retry until it reaches
/// an upstream. Within it, retries of one window arrive in the next.
constexpr Millis kTransitTime{1'000};

/// Part of the budget that hedges may use.
constexpr double kHedgeShare = 0.5;

void dropBefore(std::deque<Instant>& times, Instant start) {
  while (!times.empty() && times.front() < start) times.pop_front();
}

}  // namespace

void RetryWindow::noteRequest(const RetryAllowance& allowance, Instant now) {
  dropBefore(requests_, now - 2 * allowance.window);
  requests_.push_back(now);
}

double RetryWindow::earnedSince(const RetryAllowance& allowance, const RetrySlack& slack,
                                Instant from, Instant now) const {
  const auto first = std::lower_bound(requests_.begin(), requests_.end(), from);
  const auto requests = static_cast<double>(requests_.end() - first);
  const double windowsShared = slack.earned(from, now) / allowance.window;
  const double fromSlack = allowance.slack * kUsableSlack * windowsShared;
  return kEarnedInWindow * (allowance.ratio * requests + fromSlack);
}

bool RetryWindow::withinBudget(const std::deque<Instant>& spent, double share,
                               const RetryAllowance& allowance, const RetrySlack& slack,
                               Instant now) const {
  for (std::size_t i = 0; i < spent.size(); ++i) {
    const auto count = static_cast<double>(spent.size() - i);
    const Instant earning = spent[i] - allowance.window + kTransitTime;
    if (count > share * earnedSince(allowance, slack, earning, now)) return false;
  }
  return true;
}

bool RetryWindow::takeRetry(const RetryAllowance& allowance, const RetrySlack& slack, Instant now) {
  dropBefore(retries_, now - allowance.window - kTransitTime);
  retries_.push_back(now);
  const bool allowed = withinBudget(retries_, 1, allowance, slack, now);
  if (!allowed) retries_.pop_back();
  return allowed;
}

bool RetryWindow::takeHedge(const RetryAllowance& allowance, const RetrySlack& slack, Instant now) {
  dropBefore(hedges_, now - allowance.window - kTransitTime);
  hedges_.push_back(now);
  const bool allowed =
      withinBudget(hedges_, kHedgeShare, allowance, slack, now) && takeRetry(allowance, slack, now);
  if (!allowed) hedges_.pop_back();
  return allowed;
}

}  // namespace Hallchute
