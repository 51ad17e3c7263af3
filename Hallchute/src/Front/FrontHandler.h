// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTHANDLER_H
#define HALLCHUTE_FRONT_FRONTHANDLER_H

#include <memory>

namespace Hallchute {

class FrontExchange;

/// \brief Handles the requests of callers.
/// \ingroup Front
class FrontHandler {
 public:
  FrontHandler() = default;
  FrontHandler(const FrontHandler&) = delete;
  FrontHandler& operator=(const FrontHandler&) = delete;
  virtual ~FrontHandler() = default;

  /// \brief Called for each complete request. The handler must respond exactly once, now or later.
  virtual void handle(const std::shared_ptr<FrontExchange>& exchange) = 0;
  /// \brief Called for a request that there is no memory for, without its body; its head may be
  /// missing too. The handler must respond at once, and the request never runs.
  virtual void refuseForMemory(const std::shared_ptr<FrontExchange>& exchange) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTHANDLER_H
