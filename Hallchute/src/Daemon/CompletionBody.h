// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_COMPLETIONBODY_H
#define HALLCHUTE_DAEMON_COMPLETIONBODY_H

#include <cstddef>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Finding.h"
#include "Hallchute/src/Core/Id.h"

namespace Hallchute {

/// \brief The members of a completion request that hallchute uses; unknown members are ignored, as
/// other servers of this API do.
/// \ingroup Daemon
struct CompletionBody {
  ServiceName service;
  std::string prompt;
  std::size_t maxTokens = 0;
  bool stream = false;
  /// The member `user`: requests with the same value belong to one session.
  std::string session;
};

/// \brief Parses the body of `/v1/chat/completions` or `/v1/completions`.
/// \ingroup Daemon
CompletionBody readCompletionBody(std::string_view text, bool chat, std::size_t maxTokens,
                                  Findings& findings);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_COMPLETIONBODY_H
