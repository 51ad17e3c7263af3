// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/BoundedSocket.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <chrono>

#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {

int BoundedSocket::receiveBytes(void* buffer, int length, int flags) {
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline_ - clockNow());
  if (left.count() <= 0) throw Poco::TimeoutException("the answer isn't complete in time");
  if (bytesLeft_ == 0) throw Poco::Net::NetException("the answer is too long");
  // Not every system reports the timeout that was set: read back as zero it would mean no timeout.
  const bool timed = timeout_ > Millis(0) && timeout_ < left;
  const auto wait = timed ? std::chrono::microseconds(timeout_) : left;
  setReceiveTimeout(Poco::Timespan(wait.count()));
  const int most = static_cast<int>(std::min(static_cast<std::size_t>(length), bytesLeft_));
  const int got = StreamSocketImpl::receiveBytes(buffer, most, flags);
  if (got > 0) bytesLeft_ -= static_cast<std::size_t>(got);
  return got;
}

}  // namespace Hallchute
