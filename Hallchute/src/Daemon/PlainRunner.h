// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_PLAINRUNNER_H
#define HALLCHUTE_DAEMON_PLAINRUNNER_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Daemon/GrantSpec.h"
#include "Hallchute/src/Ledger/OnceEvent.h"
#include "Hallchute/src/Ports/PlainServicePort.h"
#include "Hallchute/src/Settings/Organisation.h"
#include "Hallchute/src/Settings/WorkClass.h"

namespace Hallchute {

class OnceRecordStore;
struct TrafficContext;

/// \brief A call to a plain service that was let in.
/// \ingroup Daemon
struct PlainJob {
  RequestId request;
  const Organisation* organisation = nullptr;
  ServiceName service;
  WorkClass workClass;
  /// Empty if the caller gave none.
  std::string idempotencyKey;
  PlainRequest call;
  Instant deadline{};
  Millis queueLimit{0};
};

/// \ingroup Daemon
using PlainOutcome = std::variant<PlainResponse, Refusal>;

/// \brief Runs a call to a plain service: once, or with retries where it may repeat.
/// \ingroup Daemon
class PlainRunner {
 public:
  PlainRunner(TrafficContext& context, OnceRecordStore& keeper, PlainJob job);
  PlainOutcome run();

 private:
  PlainOutcome runRepeatable();
  PlainOutcome runOnce();
  GrantOutcome acquire();
  PlainResult callAt(ScopedGrant& hold);
  OnceEvent dispatchOnce(std::unique_ptr<ScopedGrant> hold);
  void noteLeaving(const UpstreamId& upstream);
  Millis timeLeft() const;

  TrafficContext& context_;
  OnceRecordStore& keeper_;
  PlainJob job_;
  std::vector<UpstreamId> avoid_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_PLAINRUNNER_H
