// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_RANDOMNAME_H
#define HALLCHUTE_DAEMON_RANDOMNAME_H

#include <string>

namespace Hallchute {

/// \brief Returns 128 bits from the system's random source, in hexadecimal.
/// \ingroup Daemon
std::string randomName();

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_RANDOMNAME_H
