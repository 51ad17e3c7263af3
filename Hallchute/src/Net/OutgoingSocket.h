// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_OUTGOINGSOCKET_H
#define HALLCHUTE_NET_OUTGOINGSOCKET_H

namespace Poco::Net {
class SocketAddress;
class StreamSocket;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief A socket that will connect from the address of \p source. \ingroup Net
///
/// The kernel chooses the port when the socket connects, and shares it with connections to other
/// destinations and with listeners that set SO_REUSEADDR. A port chosen at the bind would be taken
/// exclusively, also from a daemon that listens at it, until a minute after the connection's end.
/// \param source local address; its port is usually 0.
/// \throws Poco::Net::NetException if the socket can't be created or bound to the address.
Poco::Net::StreamSocket makeOutgoingSocket(const Poco::Net::SocketAddress& source);

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_OUTGOINGSOCKET_H
