// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/DurationHistogram.h"

#include <absl/strings/str_cat.h>

namespace Hallchute {
namespace {

constexpr unsigned kBuckets = 60;
constexpr double kLeast = 0.1;
constexpr double kMost = 100'000;

}  // namespace

DurationHistogram::DurationHistogram()
    : histogram_(boost::histogram::make_histogram(Axis(kBuckets, kLeast, kMost))) {}

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
  const double wanted = q * static_cast<double>(count_);
  double seen = histogram_.at(-1);
  if (seen >= wanted) return kLeast;
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    seen += histogram_.at(i);
    if (seen >= wanted) return histogram_.axis().bin(i).upper();
  }
  return kMost;
}

void DurationHistogram::write(std::string_view name, std::string_view labels,
                              std::string& page) const {
  const std::lock_guard lock(mutex_);
  const std::string base(name);
  const std::string own(labels);
  const std::string prefix = absl::StrCat(base, "_bucket{", own, own.empty() ? "" : ",", "le=\"");
  double seen = histogram_.at(-1);
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    const double here = histogram_.at(i);
    seen += here;
    if (here == 0) continue;
    absl::StrAppend(&page, prefix, histogram_.axis().bin(i).upper(), "\"} ",
                    static_cast<std::size_t>(seen), "\n");
  }
  absl::StrAppend(&page, prefix, "+Inf\"} ", count_, "\n");
  absl::StrAppend(&page, base, "_sum{", own, "} ", sum_, "\n");
  absl::StrAppend(&page, base, "_count{", own, "} ", count_, "\n");
}

}  // namespace Hallchute
