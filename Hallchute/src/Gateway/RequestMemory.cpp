// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/RequestMemory.h"

#include <algorithm>
#include <chrono>
#include <tuple>

#include "Hallchute/src/Gateway/RequestHolder.h"

namespace Hallchute {
namespace {

/// Reciprocal of the part of a limit that is freed beyond the excess, so that not every further
/// byte takes a search.
constexpr std::size_t kMarginFraction = 16;
/// Reciprocal of the part of the limit from which a fall counts.
constexpr std::size_t kFallFraction = 4;

std::size_t target(std::size_t limit) {
  return limit - limit / kMarginFraction;
}

/// Bytes per second since the request began.
double speedOf(const HeldRequest& held, Instant now) {
  const std::chrono::duration<double> age = now - held.since;
  // Not zero for a request that began just now.
  constexpr double kShortest = 0.001;
  return static_cast<double>(held.bytes) / std::max(age.count(), kShortest);
}

}  // namespace

std::size_t RequestMemory::largePart(const HeldRequest& held) {
  return held.total() > RequestMemoryLimits::kOrdinaryBytes ? held.total() : 0;
}

void RequestMemory::add(const HeldRequest& held) {
  total_ += held.total();
  large_ += largePart(held);
  if (!held.complete) return;
  complete_.all += held.bytes;
  if (largePart(held) > 0) complete_.large += held.bytes;
}

void RequestMemory::subtract(const HeldRequest& held) {
  total_ -= held.total();
  large_ -= largePart(held);
  if (!held.complete) return;
  complete_.all -= held.bytes;
  if (largePart(held) > 0) complete_.large -= held.bytes;
}

void RequestMemory::update(RequestHolder& holder, const HeldRequest& held) {
  const auto found = held_.find(&holder);
  if (found != held_.end()) subtract(found->second);
  if (held.total() == 0) {
    if (found != held_.end()) held_.erase(found);
    return;
  }
  held_.insert_or_assign(&holder, held);
  add(held);
  peak_ = std::max(peak_, total_);
}

bool RequestMemory::admit(RequestHolder& holder, const HeldRequest& held, Instant now) {
  remove(holder);
  const bool large = held.bytes > RequestMemoryLimits::kOrdinaryBytes;
  const bool fits = complete_.all + held.bytes <= limits_.bytes &&
                    (!large || complete_.large + held.bytes <= limits_.largeBytes);
  if (!fits) return false;
  update(holder, held);
  if (exceeded()) relieve(now);
  return true;
}

std::vector<RequestHolder*> RequestMemory::candidates(Instant now) const {
  struct Candidate {
    RequestHolder* holder;
    bool complete;
    double speed;
  };
  std::vector<Candidate> found;
  for (const auto& [holder, held] : held_) {
    if (held.complete && held.readAhead == 0) continue;
    found.push_back({holder, held.complete, speedOf(held, now)});
  }
  std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) {
    return std::tuple(!a.complete, a.speed) < std::tuple(!b.complete, b.speed);
  });
  std::vector<RequestHolder*> holders;
  holders.reserve(found.size());
  for (const Candidate& candidate : found) holders.push_back(candidate.holder);
  return holders;
}

void RequestMemory::relieve(Instant now) {
  if (relieving_ || !exceeded()) return;
  relieving_ = true;
  const std::vector<RequestHolder*> holders = candidates(now);
  if (large_ > limits_.largeBytes) relieve(holders, true);
  if (total_ > limits_.bytes) relieve(holders, false);
  relieving_ = false;
}

void RequestMemory::relieve(const std::vector<RequestHolder*>& candidates, bool largeOnly) {
  for (RequestHolder* holder : candidates) {
    const bool enough =
        largeOnly ? large_ <= target(limits_.largeBytes) : total_ <= target(limits_.bytes);
    if (enough) return;
    const auto found = held_.find(holder);
    if (found == held_.end() || (largeOnly && largePart(found->second) == 0)) continue;
    holder->giveUp();
  }
}

bool RequestMemory::takeFall() {
  if (peak_ < limits_.bytes / kFallFraction || total_ > peak_ / 2) return false;
  peak_ = total_;
  return true;
}

}  // namespace Hallchute
