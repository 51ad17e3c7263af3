// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Observability/Metrics.h"

#include "Hallchute/src/Observability/DurationHistogram.h"

namespace Hallchute {
namespace {

void writeType(const std::string& name, std::string_view type, std::string& lastName,
               std::string& page) {
  if (name == lastName) return;
  lastName = name;
  page += "# TYPE " + name + " " + std::string(type) + "\n";
}

std::string labelBlock(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::string_view labels, std::uint64_t amount) {
  const std::lock_guard lock(mutex_);
  counters_[{std::string(name), std::string(labels)}] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[{std::string(name), std::string(labels)}] = value;
}

void Metrics::time(std::string_view name, std::string_view labels,
                   std::chrono::duration<double, std::milli> duration) {
  DurationHistogram* histogram = nullptr;
  {
    const std::lock_guard lock(mutex_);
    auto& entry = histograms_[{std::string(name), std::string(labels)}];
    if (!entry) entry = std::make_unique<DurationHistogram>();
    histogram = entry.get();
  }
  histogram->record(duration);
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const {
  const std::lock_guard lock(mutex_);
  const auto it = counters_.find({std::string(name), std::string(labels)});
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::page() const {
  const std::lock_guard lock(mutex_);
  std::string page;
  std::string lastName;
  for (const auto& [series, value] : counters_) {
    writeType(series.name, "counter", lastName, page);
    page += series.name + labelBlock(series.labels) + " " + std::to_string(value) + "\n";
  }
  for (const auto& [series, value] : gauges_) {
    writeType(series.name, "gauge", lastName, page);
    page += series.name + labelBlock(series.labels) + " " + std::to_string(value) + "\n";
  }
  for (const auto& [series, histogram] : histograms_) {
    writeType(series.name, "histogram", lastName, page);
    histogram->write(series.name, series.labels, page);
  }
  return page;
}

}  // namespace Hallchute
