// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_HELDBODY_H
#define HALLCHUTE_DAEMON_HELDBODY_H

#include <atomic>
#include <cstddef>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/RequestHolder.h"

namespace Hallchute {

class BodyMemory;

/// \brief The body of one request as a part of BodyMemory, for as long as this object lives.
/// \ingroup Daemon
class HeldBody final : public RequestHolder {
 public:
  /// \param socket the caller's connection, as a descriptor that stays open during the reading.
  /// \param maxBytes the largest body that the settings allow.
  HeldBody(BodyMemory& memory, int socket, std::size_t maxBytes);
  ~HeldBody() override;

  /// \brief Notes that \p bytes have been read. \returns false if the request must be refused.
  bool noteRead(std::size_t bytes);
  /// \brief Notes that the body is complete. \returns false if the request must be refused.
  bool noteComplete(std::size_t bytes);
  /// \brief Whether the body had to be given up: reading it has ended early.
  bool givenUp() const { return givenUp_; }
  /// Another thread may be reading: for it, the body ends here.
  void giveUp() override;

 private:
  BodyMemory& memory_;
  int socket_;
  Instant began_;
  std::atomic<bool> givenUp_{false};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_HELDBODY_H
