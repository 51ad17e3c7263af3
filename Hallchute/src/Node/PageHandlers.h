// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NODE_PAGEHANDLERS_H
#define HALLCHUTE_NODE_PAGEHANDLERS_H

#include <functional>
#include <memory>

#include "Hallchute/src/Front/FrontExchange.h"
#include "Hallchute/src/Front/FrontHandler.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {

/// \brief Responds to readiness probes of the load balancer with 200 or 503. \ingroup Node
class ReadinessHandler final : public FrontHandler {
 public:
  explicit ReadinessHandler(std::function<bool()> ready) : ready_(std::move(ready)) {}
  void handle(const std::shared_ptr<FrontExchange>& exchange) override {
    exchange->respond(ready_() ? 200 : 503, {}, "");
  }
  void refuseForMemory(const std::shared_ptr<FrontExchange>& exchange) override {
    exchange->respond(503, {}, "");
  }

 private:
  std::function<bool()> ready_;
};

/// \brief Serves the metrics in the Prometheus text format. \ingroup Node
class MetricsHandler final : public FrontHandler {
 public:
  explicit MetricsHandler(const Metrics& metrics) : metrics_(metrics) {}
  void handle(const std::shared_ptr<FrontExchange>& exchange) override {
    HttpFields fields;
    fields.add("Content-Type", "text/plain; version=0.0.4");
    exchange->respond(200, fields, metrics_.page());
  }
  void refuseForMemory(const std::shared_ptr<FrontExchange>& exchange) override {
    exchange->respond(503, {}, "");
  }

 private:
  const Metrics& metrics_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NODE_PAGEHANDLERS_H
