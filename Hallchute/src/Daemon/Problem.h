// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PROBLEM_H
#define HALLCHUTE_DAEMON_PROBLEM_H

#include <string>
#include <string_view>

#include "Hallchute/src/Core/Refusal.h"

namespace Poco::Net {
class HTTPServerResponse;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief The `application/problem+json` document of a refusal (RFC 9457).
/// \ingroup Daemon
std::string problemDocument(const Refusal& refusal, std::string_view request);

/// \brief Sends a refusal as the response: status, Hallchute-Outcome, Retry-After and document.
/// \ingroup Daemon
void sendProblem(Poco::Net::HTTPServerResponse& response, const Refusal& refusal,
                 std::string_view request);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PROBLEM_H
