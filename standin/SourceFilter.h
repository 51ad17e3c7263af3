// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_SOURCEFILTER_H
#define HALLCHUTE_STANDIN_SOURCEFILTER_H

#include <set>
#include <string>

namespace Standin {

/// \brief Has the kernel drop what a TCP socket receives from these IPv4 addresses, as a network
/// partition does: nothing is acknowledged, and connections to a listening socket don't come up.
/// Accepted sockets inherit the filter of their listener. An empty set removes it.
/// \throws std::runtime_error if the kernel refuses the filter.
void dropPacketsFrom(int socket, const std::set<std::string>& addresses);

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_SOURCEFILTER_H
