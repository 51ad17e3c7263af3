// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SOAK_CALLERRESULT_H
#define HALLCHUTE_TEST_SOAK_CALLERRESULT_H

#include <chrono>
#include <cstddef>
#include <string>

namespace Soak {

/// \brief A kind of request.
struct RequestSort {
  const char* name;
  const char* path;
  double weight;
  /// Of a stream; 0 for a plain request.
  int events;
  int promptTokens;
  std::chrono::milliseconds limit;
  bool safe;
  double tokens;
};

/// \brief How a request of a caller ended, after its retries.
struct CallerResult {
  enum class End { served, refused, failed };
  std::chrono::steady_clock::time_point at;
  End end = End::failed;
  /// The daemon of the last attempt and its status; 0: no complete answer.
  std::size_t daemon = 0;
  int status = 0;
  const RequestSort* sort = nullptr;
  /// To the first event, or to the whole answer.
  std::chrono::milliseconds first{0};
  std::size_t tenant = 0;
  /// Attempts that were refused because of the tenant's quota.
  int overQuota = 0;
  std::string id;
};

}  // namespace Soak

#endif  // HALLCHUTE_TEST_SOAK_CALLERRESULT_H
