// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_LEDGER_ONCERECORD_H
#define HALLCHUTE_LEDGER_ONCERECORD_H

#include <cstdint>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief How far an attempt at work that must not repeat has come.
/// \ingroup Ledger
enum class OnceState {
  /// It may be dispatched at any moment, or has been.
  started,
  /// It ran; its answer is stored.
  done,
  /// A byte may have reached the upstream and no answer came: nobody knows.
  unknown,
  /// Given up before its dispatch: another attempt may take its place.
  abandoned,
};

/// \brief The platform's object about one Idempotency-Key of one organisation.
/// \ingroup Ledger
struct OnceRecord {
  /// Random; tells after a lost reply whose write took effect.
  std::string attempt;
  /// Hash of the request's target and body.
  std::string digest;
  DaemonId holder;
  OnceState state = OnceState::started;
  int status = 0;
  std::string contentType;
  std::string body;
  /// Wall clock, ms since 1970, of the holder. Only the sweeper of old records reads it.
  std::int64_t startedAtMs = 0;
  std::int64_t lifetimeMs = 0;
};

/// \brief The key of the record: organisation and a hash of the caller's key.
/// \ingroup Ledger
std::string onceKey(const OrganisationName& organisation, std::string_view idempotencyKey);

inline constexpr std::string_view kOncePrefix = "once/";

std::string onceText(const OnceRecord& record);

/// \brief Reads a record; adds findings if \p text is none.
/// \ingroup Ledger
OnceRecord parseOnce(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCERECORD_H
