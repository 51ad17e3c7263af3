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

/// \brief The state of an attempt at a request that must run at most once.
/// \ingroup Ledger
enum class OnceState {
  /// The request may be dispatched at any moment, or has been.
  started,
  /// The request ran; its answer is stored.
  done,
  /// A byte may have reached the upstream, but no answer was received: it may or may not have run.
  unknown,
  /// Abandoned before the dispatch: another attempt may replace it.
  abandoned,
};

/// \brief The platform object for one Idempotency-Key of one organisation.
/// \ingroup Ledger
struct OnceRecord {
  /// Random id; identifies, after a lost reply, the attempt whose write took effect.
  std::string attempt;
  /// Hash of the request's target and body.
  std::string digest;
  DaemonId holder;
  OnceState state = OnceState::started;
  int status = 0;
  std::string contentType;
  std::string body;
  /// Wall clock of the holder in ms since 1970; read only to remove old records.
  std::int64_t startedAtMs = 0;
  std::int64_t lifetimeMs = 0;
};

/// \brief The platform key of the record: the organisation and a hash of \p idempotencyKey.
/// \ingroup Ledger
std::string onceKey(const OrganisationName& organisation, std::string_view idempotencyKey);

inline constexpr std::string_view kOncePrefix = "once/";

std::string onceText(const OnceRecord& record);

/// \brief Parses a record; adds findings if \p text is not a valid one.
/// \ingroup Ledger
OnceRecord parseOnce(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_LEDGER_ONCERECORD_H
