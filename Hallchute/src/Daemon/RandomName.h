// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_RANDOMNAME_H
#define HALLCHUTE_DAEMON_RANDOMNAME_H

#include <string>

namespace Hallchute {

/// \brief 128 random bits in hexadecimal, from the system's source.
/// \ingroup Daemon
std::string randomName();

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_RANDOMNAME_H
