// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_RECOVERY_HANDOVERRECORD_H
#define HALLCHUTE_RECOVERY_HANDOVERRECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief The state of a request whose record outlives the daemon that serves it.
/// \ingroup Recovery
enum class JobState { running, finished, refused };

/// \brief The state that another daemon needs to resume a request.
/// \ingroup Recovery
struct HandOverRecord {
  RequestId request;
  DaemonId holder;
  /// Incremented by each daemon that takes over the request; writes of a former holder fail.
  std::uint64_t generation = 1;
  /// The epoch of the latest attempt; the next attempt uses a higher one.
  std::uint64_t epoch = 0;
  JobState state = JobState::running;
  OrganisationName organisation;
  ServiceName service;
  WorkClassName workClass;
  std::string prompt;
  bool chat = true;
  std::size_t maxTokens = 0;
  std::vector<std::string> tokens;
  /// The reason of the refusal, in state `refused`.
  std::string detail;
};

inline constexpr std::string_view kRequestPrefix = "requests/";

/// \brief The platform key of a request's record.
/// \ingroup Recovery
std::string requestKey(const RequestId& request);

std::string handOverText(const HandOverRecord& record);

/// \brief Parses a record; adds findings if \p text is not a valid one.
/// \ingroup Recovery
HandOverRecord parseHandOver(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_HANDOVERRECORD_H
