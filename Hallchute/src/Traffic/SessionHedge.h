// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TRAFFIC_SESSIONHEDGE_H
#define HALLCHUTE_TRAFFIC_SESSIONHEDGE_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/UpstreamTable.h"

namespace Hallchute {

class SessionDispatch;
class TrafficEngine;
struct Route;

/// \brief The hedge of one request: when it is due, whether it is sent, and how it ends. Logs and
/// counts each of these once. Traffic thread only. \ingroup Traffic
class SessionHedge {
 public:
  /// \param engine and \p route must outlive this.
  SessionHedge(TrafficEngine& engine, const Route& route, ServiceName service,
               std::string requestId);
  ~SessionHedge();
  SessionHedge(const SessionHedge&) = delete;
  SessionHedge& operator=(const SessionHedge&) = delete;

  /// \brief Counts the request as one of its route.
  void noteRequest();
  /// \brief Calls \p due once the request's first dispatch, made now, has been at work for the
  /// delay; never if hedging is off or too few requests of the route were measured.
  void arm(std::function<void()> due);
  void disarm();
  /// \brief Whether the policy allows a hedge to \p second; null if there is no other upstream.
  bool mayHedge(const UpstreamEntry* second, std::uint64_t promptTokens);
  /// \brief Takes a hedge from the retry budget. \returns whether there was one.
  bool takeFromBudget();
  /// \brief Records that the hedge could not be sent, for \p reason.
  void deny(std::string_view reason);
  /// \brief Records that the hedge was sent, beside \p first.
  void noteSent(const SessionDispatch& hedge, const SessionDispatch& first);
  bool isHedge(const SessionDispatch& dispatch) const { return &dispatch == hedge_; }
  /// \brief Records that data came, \p time after the first dispatch.
  void noteFirstData(Millis time);
  /// \brief Records that a dispatch ends. \param answering the dispatch whose data ends it; null
  /// if there is none.
  void noteEnded(const SessionDispatch& dispatch, DispatchResult result,
                 const SessionDispatch* answering);
  /// \brief How the hedge ended: `won`, `lost`, `rejected`, `failed`, or `unfinished` if the
  /// request ended while both upstreams were at work; empty if there was none or it is at work.
  std::string_view outcome() const { return outcome_; }

 private:
  void settle(std::string_view outcome);

  TrafficEngine& engine_;
  const Route& route_;
  ServiceName service_;
  std::string requestId_;
  const SessionDispatch* hedge_ = nullptr;
  std::string_view outcome_;
  Millis delay_{0};
  Instant armedAt_{};
  Millis predictedFirstEvent_{0};
  std::uint64_t timer_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TRAFFIC_SESSIONHEDGE_H
