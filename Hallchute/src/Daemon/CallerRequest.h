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
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Settings/ChangeLog.h"

namespace Poco::Net {
class HTTPServerRequest;
}  // namespace Poco::Net

namespace Hallchute {

class HeldBody;
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

/// \brief Limits of a body that is read. \ingroup Daemon
struct BodyLimits {
  std::size_t maxBytes = 0;
  /// From now on until the body must be complete.
  Millis time{0};
};

/// \brief Reads a body. \param held counts its memory; null: it isn't counted.
/// \ingroup Daemon
std::variant<std::string, Refusal> readBody(Poco::Net::HTTPServerRequest& request,
                                            const BodyLimits& limits, HeldBody* held);

/// \brief The descriptor of the caller's connection; -1 if there is none.
/// \ingroup Daemon
int socketOf(Poco::Net::HTTPServerRequest& request);

/// \brief The refusal of a new request if this daemon accepts none because it is draining.
/// \ingroup Daemon
std::optional<Refusal> drainingRefusal(const CallerServices& services);

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CALLERREQUEST_H
