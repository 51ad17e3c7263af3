// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_METRICS_H
#define HALLCHUTE_OBSERVABILITY_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"

namespace Hallchute {

class DurationHistogram;

/// \brief The registry of a daemon's counters, gauges and histograms.
/// \ingroup Observability
///
/// Thread-safe. A series is a metric name and its labels in Prometheus syntax. Each call costs a
/// lock and a map look-up.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void add(std::string_view name, std::string_view labels, std::uint64_t amount = 1);
  void set(std::string_view name, std::string_view labels, double value);
  void time(std::string_view name, std::string_view labels,
            std::chrono::duration<double, std::milli> duration);
  std::uint64_t counter(std::string_view name, std::string_view labels) const;
  /// \brief All series in the Prometheus text format.
  std::string page() const;

 private:
  struct Series {
    std::string name;
    std::string labels;
    auto operator<=>(const Series&) const = default;
  };

  mutable std::mutex mutex_;
  std::map<Series, std::uint64_t> counters_;
  std::map<Series, double> gauges_;
  std::map<Series, std::unique_ptr<DurationHistogram>> histograms_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_METRICS_H
