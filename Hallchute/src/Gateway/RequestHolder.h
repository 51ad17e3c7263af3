// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_REQUESTHOLDER_H
#define HALLCHUTE_GATEWAY_REQUESTHOLDER_H

namespace Hallchute {

/// \brief Holds bytes of a request that count towards RequestMemory. \ingroup Gateway
class RequestHolder {
 public:
  RequestHolder() = default;
  RequestHolder(const RequestHolder&) = delete;
  RequestHolder& operator=(const RequestHolder&) = delete;
  virtual ~RequestHolder() = default;

  /// \brief Frees what can be: what follows a request in progress, or a request that isn't
  /// complete, which is refused. Called by RequestMemory, which must be told what is held then.
  virtual void giveUp() = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_REQUESTHOLDER_H
