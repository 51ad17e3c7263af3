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

/// \brief How far a request has come whose record outlives its daemon.
/// \ingroup Recovery
enum class JobState { running, finished, refused };

/// \brief All that another daemon needs to go on with a request.
/// \ingroup Recovery
struct HandOverRecord {
  RequestId request;
  DaemonId holder;
  /// Raised by each daemon that takes the request on; a stale holder's writes fail.
  std::uint64_t generation = 1;
  /// The attempt epoch reached; the next attempt's is higher.
  std::uint64_t epoch = 0;
  JobState state = JobState::running;
  OrganisationName organisation;
  ServiceName service;
  ClassName workClass;
  std::string prompt;
  bool chat = true;
  std::size_t maxTokens = 0;
  std::vector<std::string> tokens;
  /// Why, if refused.
  std::string detail;
};

inline constexpr std::string_view kRequestPrefix = "requests/";

/// \brief The platform key of a request's record.
/// \ingroup Recovery
std::string requestKey(const RequestId& request);

std::string handOverText(const HandOverRecord& record);

/// \brief Reads a record; adds findings if \p text is none.
/// \ingroup Recovery
HandOverRecord parseHandOver(std::string_view text, Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_RECOVERY_HANDOVERRECORD_H
