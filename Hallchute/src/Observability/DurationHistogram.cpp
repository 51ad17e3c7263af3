// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/DurationHistogram.h"

#include <absl/strings/str_cat.h>

namespace Hallchute {
namespace {

constexpr unsigned kBucketCount = 60;
constexpr double kLowerBoundMs = 0.1;
constexpr double kUpperBoundMs = 100'000;

}  // namespace

DurationHistogram::DurationHistogram()
    : histogram_(
          boost::histogram::make_histogram(Axis(kBucketCount, kLowerBoundMs, kUpperBoundMs))) {}

void DurationHistogram::record(std::chrono::duration<double, std::milli> time) {
  const std::lock_guard lock(mutex_);
  histogram_(time.count());
  sum_ += time.count();
  ++count_;
}

std::size_t DurationHistogram::count() const {
  const std::lock_guard lock(mutex_);
  return count_;
}

double DurationHistogram::quantile(double q) const {
  const std::lock_guard lock(mutex_);
  if (count_ == 0) return 0;
  const double targetRank = q * static_cast<double>(count_);
  double cumulative = histogram_.at(-1);
  if (cumulative >= targetRank) return kLowerBoundMs;
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    cumulative += histogram_.at(i);
    if (cumulative >= targetRank) return histogram_.axis().bin(i).upper();
  }
  return kUpperBoundMs;
}

void DurationHistogram::write(std::string_view name, std::string_view labels,
                              std::string& page) const {
  const std::lock_guard lock(mutex_);
  const std::string metricName(name);
  const std::string labelList(labels);
  const std::string prefix =
      absl::StrCat(metricName, "_bucket{", labelList, labelList.empty() ? "" : ",", "le=\"");
  double cumulative = histogram_.at(-1);
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    const double binCount = histogram_.at(i);
    cumulative += binCount;
    if (binCount == 0) continue;
    absl::StrAppend(&page, prefix, histogram_.axis().bin(i).upper(), "\"} ",
                    static_cast<std::size_t>(cumulative), "\n");
  }
  absl::StrAppend(&page, prefix, "+Inf\"} ", count_, "\n");
  absl::StrAppend(&page, metricName, "_sum{", labelList, "} ", sum_, "\n");
  absl::StrAppend(&page, metricName, "_count{", labelList, "} ", count_, "\n");
}

}  // namespace Hallchute
