// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Gateway/PlacePolicy.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Hallchute {
namespace {

/// A request that arrives more slowly is a stalled one, in bytes per second.
constexpr double kStalledSpeed = 16 << 10;

/// The smaller, the sooner a connection gives its place up: a rank, and an order within it.
using GivingOrder = std::pair<int, double>;

enum Rank { answered, stalled, idle, receiving, unread };

std::optional<GivingOrder> orderOf(const HeldPlace& place, Millis headTimeout, Instant now) {
  const double age = std::chrono::duration<double>(now - place.since).count();
  const bool old = now - place.since >= headTimeout;
  switch (place.use) {
    case PlaceUse::answered:
      return GivingOrder{Rank::answered, -age};
    case PlaceUse::idle:
      return GivingOrder{Rank::idle, -age};
    case PlaceUse::receiving: {
      constexpr double kShortest = 0.001;
      const double speed = static_cast<double>(place.received) / std::max(age, kShortest);
      const bool isStalled = old && speed < kStalledSpeed;
      return GivingOrder{isStalled ? Rank::stalled : Rank::receiving, speed};
    }
    case PlaceUse::unread:
      if (!old) return std::nullopt;
      return GivingOrder{Rank::unread, -age};
    case PlaceUse::inProgress:
      break;
  }
  return std::nullopt;
}

}  // namespace

std::string_view describe(PlaceUse use) {
  switch (use) {
    case PlaceUse::answered:
      return "answered";
    case PlaceUse::receiving:
      return "receiving";
    case PlaceUse::idle:
      return "idle";
    case PlaceUse::unread:
      return "unread";
    case PlaceUse::inProgress:
      break;
  }
  return "inProgress";
}

std::optional<std::size_t> placeToGiveUp(std::span<const HeldPlace> places, Millis headTimeout,
                                         Instant now) {
  std::optional<std::size_t> chosen;
  std::optional<GivingOrder> first;
  for (std::size_t i = 0; i < places.size(); ++i) {
    const std::optional<GivingOrder> order = orderOf(places[i], headTimeout, now);
    if (!order || (first && *first <= *order)) continue;
    first = order;
    chosen = i;
  }
  return chosen;
}

}  // namespace Hallchute
