// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_ENGINEPORT_H
#define HALLCHUTE_PORTS_ENGINEPORT_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Recovery/AnswerChunk.h"

namespace Hallchute {

/// \brief A request to an engine to generate an answer.
/// \ingroup Ports
struct GenerateRequest {
  std::string request;
  std::uint64_t epoch = 0;
  std::string prompt;
  std::size_t maxTokens = 0;
  /// Tokens already generated; the engine continues after them.
  std::vector<std::string> tokensSoFar;
  std::int64_t priority = 5;
  /// Handle of an imported cache, see importCache(); empty for none.
  std::string cacheHandle;
};

/// \brief How a stream from an engine ended.
/// \ingroup Ports
enum class StreamEnd {
  /// The receiver asked to stop.
  stopped,
  /// The connection failed; nothing was sent.
  connectFailed,
  /// The engine answered with an error status; it may have run the request.
  refused,
  /// The engine is leaving, accepts no new requests and did not run this one.
  leaving,
  /// The connection failed, was closed or timed out.
  broke,
};

/// \ingroup Ports
struct StreamResult {
  StreamEnd end = StreamEnd::broke;
  std::string detail;
  /// For `leaving`: time until the engine leaves.
  Millis leavesIn{0};
};

/// \brief Number of context tokens that the engine had to compute, not in its cache, for this
/// attempt. \ingroup Ports
struct ComputedTokens {
  std::size_t tokens = 0;
};

/// \brief Announces that the engine will leave; the stream continues until then.
/// \ingroup Ports
struct LeaveNotice {
  Millis leavesIn{0};
};

/// \ingroup Ports
using EngineEvent = std::variant<AnswerChunk, ComputedTokens, LeaveNotice>;

/// \brief A model engine.
/// \ingroup Ports
class EnginePort {
 public:
  /// \returns whether to continue reading.
  using Receiver = std::function<bool(const EngineEvent&)>;

  EnginePort() = default;
  EnginePort(const EnginePort&) = delete;
  EnginePort& operator=(const EnginePort&) = delete;
  virtual ~EnginePort() = default;

  /// \brief Streams an answer; blocks until it ends.
  /// \param stallTimeout longest time without data.
  virtual StreamResult generate(const GenerateRequest& request, Millis stallTimeout,
                                const Receiver& receiver) = 0;
  /// \brief Stops a request; best effort.
  virtual void cancel(const std::string& request, std::uint64_t epoch) = 0;
  /// \brief Exports the cached tokens of a request and stops it.
  /// \returns the exported cache, empty on failure.
  virtual std::string exportCache(const std::string& request, std::uint64_t epoch) = 0;
  /// \returns a handle for generate(), empty on failure.
  virtual std::string importCache(const std::string& cache) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_ENGINEPORT_H
