// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_SOCKETLIVENESS_H
#define HALLCHUTE_NET_SOCKETLIVENESS_H

namespace Poco::Net {
class Socket;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief Makes the kernel close the connection within about 3 s if the peer is unreachable.
/// \ingroup Net
///
/// By default a connection hangs for minutes after a network partition. Idle connections are probed
/// after 1 s, and sent bytes that are not acknowledged within 2.5 s close the connection.
void enableDeadPeerDetection(Poco::Net::Socket& socket);

/// \brief Leaves it to the owner to reset the connection if the peer is unreachable. \ingroup Net
///
/// Once the kernel has closed a connection by itself, the owner can't send a reset any more, and
/// bytes delayed by a network partition may still reach the peer when the partition heals.
void disableDeadPeerDetection(Poco::Net::Socket& socket);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_SOCKETLIVENESS_H
