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

/// \brief An authenticated caller, with the settings active when the request arrived.
/// \ingroup Daemon
struct Caller {
  std::shared_ptr<const ActiveSettings> settings;
  const Organisation* organisation = nullptr;
};

/// \brief Disables Nagle's algorithm, so that small writes are not delayed until the caller has
/// acknowledged the previous one.
/// \ingroup Daemon
void disableNagle(Poco::Net::HTTPServerRequest& request);

/// \brief Determines the organisation from the bearer token.
/// \ingroup Daemon
std::variant<Caller, Refusal> authenticate(const Poco::Net::HTTPServerRequest& request,
                                           const CallerServices& services);

/// \brief Checks that the service exists and the caller may use it.
/// \ingroup Daemon
std::optional<Refusal> checkService(const Caller& caller, const ServiceName& service,
                                    ServiceKind kind);

/// \brief The work class given in the header `Hallchute-Class`, or else the service's default.
/// \ingroup Daemon
std::variant<const WorkClass*, Refusal> selectWorkClass(const Poco::Net::HTTPServerRequest& request,
                                                        const Caller& caller,
                                                        const ServiceName& service);

/// \brief Reads a body of at most \p maxBytes bytes.
/// \ingroup Daemon
std::variant<std::string, Refusal> readBody(Poco::Net::HTTPServerRequest& request,
                                            std::size_t maxBytes);

/// \brief The refusal of a new request if this daemon accepts none because it is draining.
/// \ingroup Daemon
std::optional<Refusal> drainingRefusal(const CallerServices& services);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERREQUEST_H
