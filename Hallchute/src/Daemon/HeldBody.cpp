// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/HeldBody.h"

#include <sys/socket.h>

#include "Hallchute/src/Daemon/BodyMemory.h"
#include "Hallchute/src/Net/Clock.h"

namespace Hallchute {

HeldBody::HeldBody(BodyMemory& memory, int socket, std::size_t maxBytes)
    : memory_(memory), socket_(socket), began_(clockNow()) {
  memory_.allow(maxBytes);
}

HeldBody::~HeldBody() {
  memory_.remove(*this);
}

bool HeldBody::noteRead(std::size_t bytes) {
  if (!givenUp_) memory_.update(*this, {bytes, 0, false, began_});
  return !givenUp_;
}

bool HeldBody::noteComplete(std::size_t bytes) {
  return !givenUp_ && memory_.admit(*this, {bytes, 0, true, began_});
}

void HeldBody::giveUp() {
  givenUp_ = true;
  memory_.drop(*this);
  ::shutdown(socket_, SHUT_RD);
}

}  // namespace Hallchute
