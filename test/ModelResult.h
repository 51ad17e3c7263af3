// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_MODELRESULT_H
#define HALLCHUTE_TEST_MODELRESULT_H

#include <algorithm>
#include <cstddef>
#include <vector>

namespace Hallchute {

/// Results of a simulation with a model service.
struct ModelResult {
  int requestCount = 0;
  int rejections = 0;
  double prefillTokens = 0;
  double recomputedTokens = 0;
  std::vector<int> timesToFirstTokenMs;
  /// The same by kind of request.
  std::vector<std::vector<int>> timesByKindMs;

  int timeToFirstTokenMs(double quantile) const { return at(quantile, timesToFirstTokenMs); }
  int timeToFirstTokenMs(double quantile, std::size_t kind) const {
    return at(quantile, timesByKindMs[kind]);
  }
  double recomputedFraction() const { return recomputedTokens / prefillTokens; }
  double rejectedFraction() const { return static_cast<double>(rejections) / requestCount; }

 private:
  static int at(double quantile, std::vector<int> times) {
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))];
  }
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_MODELRESULT_H
