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
void watchLiveness(Poco::Net::Socket& socket);

/// \brief Turns the probes of watchLiveness() on or off for a connection to an upstream.
/// \ingroup Net
///
/// While a request is under way they are off, and whoever waits for its answer ends the connection
/// by a reset: where the kernel gives up by itself, bytes that a cut holds up may still arrive when
/// the cut has healed, at an upstream that takes no new work by then.
void probeWhileIdle(Poco::Net::Socket& socket, bool idle);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_SOCKETLIVENESS_H
