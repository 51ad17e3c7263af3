// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_CALLERREQUEST_H
#define HALLCHUTE_DAEMON_CALLERREQUEST_H

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Settings/ChangeLog.h"

namespace Poco::Net {
class HTTPServerRequest;
}  // namespace Poco::Net

namespace Hallchute {

struct CallerServices;

/// \brief Who calls, with the settings that were in force when the call came.
/// \ingroup Daemon
struct Caller {
  std::shared_ptr<const SettingsInForce> settings;
  const Organisation* organisation = nullptr;
};

/// \brief Lets small pieces of the answer leave at once, instead of waiting for the caller's
/// acknowledgement of the piece before.
/// \ingroup Daemon
void disableNagle(Poco::Net::HTTPServerRequest& request);

/// \brief Checks the bearer token.
/// \ingroup Daemon
std::variant<Caller, Refusal> authenticate(const Poco::Net::HTTPServerRequest& request,
                                           const CallerServices& services);

/// \brief Checks that the service exists and the caller may use it.
/// \ingroup Daemon
std::optional<Refusal> checkService(const Caller& caller, const ServiceName& service,
                                    ServiceKind kind);

/// \brief The class that the request names in `Hallchute-Class`, else the service's default.
/// \ingroup Daemon
std::variant<const WorkClass*, Refusal> selectWorkClass(const Poco::Net::HTTPServerRequest& request,
                                                        const Caller& caller,
                                                        const ServiceName& service);

/// \brief Reads a body of at most \p most bytes.
/// \ingroup Daemon
std::variant<std::string, Refusal> readBody(Poco::Net::HTTPServerRequest& request,
                                            std::size_t most);

/// \brief The refusal of a daemon that takes no new requests, if it is one.
/// \ingroup Daemon
std::optional<Refusal> drainingRefusal(const CallerServices& services);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERREQUEST_H
