// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_DURATIONHISTOGRAM_H
#define HALLCHUTE_OBSERVABILITY_DURATIONHISTOGRAM_H

#include <boost/histogram.hpp>

#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

/// \brief A histogram of durations with logarithmic buckets from 0.1 ms to 100 s, 10 per decade.
/// \ingroup Observability
///
/// Thread-safe. Units: milliseconds. Quantiles are accurate to the width of a bucket (26%).
class DurationHistogram {
 public:
  DurationHistogram();
  void record(std::chrono::duration<double, std::milli> time);
  std::size_t count() const;
  /// \brief The upper bound of the bucket that contains the \p q quantile; 0 if empty.
  double quantile(double q) const;
  /// \brief Appends the histogram to \p page in the Prometheus text format.
  /// \param labels comma-separated `name="value"` pairs; may be empty.
  void write(std::string_view name, std::string_view labels, std::string& page) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  mutable std::mutex mutex_;
  Histogram histogram_;
  double sum_ = 0;
  std::size_t count_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_DURATIONHISTOGRAM_H
