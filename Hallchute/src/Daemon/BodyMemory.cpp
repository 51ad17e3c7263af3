// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/BodyMemory.h"

#include "Hallchute/src/Daemon/HeldBody.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/ProcessMemory.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {

BodyMemory::BodyMemory(std::size_t share, Metrics& metrics)
    : share_(share), memory_(RequestMemoryLimits::divide(share, 0)), metrics_(metrics) {}

void BodyMemory::allow(std::size_t largestBody) {
  const std::lock_guard lock(mutex_);
  if (largestBody <= largest_) return;
  largest_ = largestBody;
  memory_.setLimits(
      RequestMemoryLimits::divide(share_, RequestMemoryLimits::largestRequest(0, largest_)));
  LogLine(LogLevel::info, "request.memory")
      .with("limit", memory_.limits().bytes)
      .with("limitOfLarge", memory_.limits().largeBytes)
      .with("largestBody", largest_)
      .with("raised", memory_.limits().bytes > share_);
}

void BodyMemory::drop(HeldBody& body) {
  memory_.remove(body);
  noteGivenUp();
}

void BodyMemory::update(HeldBody& body, const HeldRequest& held) {
  const std::lock_guard lock(mutex_);
  memory_.update(body, held);
  if (memory_.exceeded()) memory_.relieve(clockNow());
}

bool BodyMemory::admit(HeldBody& body, const HeldRequest& held) {
  const std::lock_guard lock(mutex_);
  if (memory_.admit(body, held, clockNow())) return true;
  noteGivenUp();
  return false;
}

void BodyMemory::remove(HeldBody& body) {
  bool fell = false;
  {
    const std::lock_guard lock(mutex_);
    memory_.remove(body);
    fell = memory_.takeFall();
  }
  if (fell) returnFreeMemory();
}

void BodyMemory::noteGivenUp() {
  LogLine(LogLevel::info, "request.overMemory")
      .with("held", memory_.held())
      .with("limit", memory_.limits().bytes)
      .with("limitOfLarge", memory_.limits().largeBytes);
  metrics_.add("hallchute_bodies_given_up_total", "");
}

}  // namespace Hallchute
