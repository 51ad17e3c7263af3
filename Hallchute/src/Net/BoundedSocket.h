// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_BOUNDEDSOCKET_H
#define HALLCHUTE_NET_BOUNDEDSOCKET_H

#include <Poco/Net/StreamSocketImpl.h>

#include <cstddef>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A blocking stream socket that receives a bounded number of bytes until a deadline.
/// \ingroup Net
///
/// POCO's HTTP client bounds neither the header nor the interim responses before it, and its
/// timeout starts again with every byte.
class BoundedSocket final : public Poco::Net::StreamSocketImpl {
 public:
  /// \param socket a connected socket, which the new object owns.
  /// \param timeout longest time without data; zero for any.
  BoundedSocket(poco_socket_t socket, std::size_t maxBytes, Millis timeout, Instant deadline)
      : StreamSocketImpl(socket), bytesLeft_(maxBytes), timeout_(timeout), deadline_(deadline) {}

  /// \throws Poco::TimeoutException at the deadline, and Poco::Net::NetException beyond the bytes.
  int receiveBytes(void* buffer, int length, int flags = 0) override;
  using StreamSocketImpl::receiveBytes;

 private:
  std::size_t bytesLeft_;
  Millis timeout_;
  Instant deadline_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_BOUNDEDSOCKET_H
