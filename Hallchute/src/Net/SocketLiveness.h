// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_SOCKETLIVENESS_H
#define HALLCHUTE_NET_SOCKETLIVENESS_H

namespace Poco::Net {
class Socket;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief Makes the kernel close an idle connection within about 3 s if the peer is unreachable.
/// \ingroup Net
///
/// One with bytes that the peer hasn't acknowledged is left to its owner: the kernel doesn't tell a
/// peer that is gone from one that is there and reads late.
void enableIdlePeerDetection(Poco::Net::Socket& socket);

/// \brief Makes the kernel close the connection within about 3 s if the peer is unreachable, or has
/// no room for sent bytes for 2.5 s: for peers that always read. \ingroup Net
///
/// By default a connection hangs for minutes after a network partition.
void enableDeadPeerDetection(Poco::Net::Socket& socket);

/// \brief Leaves it to the owner to reset the connection if the peer is unreachable. \ingroup Net
///
/// Once the kernel has closed a connection by itself, the owner can't send a reset any more, and
/// bytes delayed by a network partition may still reach the peer when the partition heals.
void disableDeadPeerDetection(Poco::Net::Socket& socket);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_SOCKETLIVENESS_H
