// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_SOCKETLIVENESS_H
#define HALLCHUTE_NET_SOCKETLIVENESS_H

namespace Poco::Net {
class Socket;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief Makes the kernel end a connection whose other side is unreachable, within about 3 s.
/// \ingroup Net
///
/// Without it a connection through a cut hangs for minutes. An idle connection is probed after a
/// second; sent bytes that stay unacknowledged for 2.5 s end it.
void enableDeadPeerDetection(Poco::Net::Socket& socket);

/// \brief Leaves the end of a connection to its owner, who resets it. \ingroup Net
///
/// Where the kernel gives up by itself nothing is left to reset, and bytes that a cut holds up may
/// still arrive when the cut has healed.
void disableDeadPeerDetection(Poco::Net::Socket& socket);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_SOCKETLIVENESS_H
