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

/// \brief A generation asked of an engine.
/// \ingroup Ports
struct GenerateRequest {
  std::string request;
  std::uint64_t epoch = 0;
  std::string prompt;
  std::size_t maxTokens = 0;
  /// The answer so far; the engine goes on after it.
  std::vector<std::string> tokensSoFar;
  std::int64_t priority = 5;
  /// Cached tokens imported under this handle; empty for none.
  std::string cacheHandle;
};

/// \brief How a stream from an engine ended.
/// \ingroup Ports
enum class StreamEnd {
  /// The receiver said stop.
  stopped,
  /// No connection: nothing was sent.
  connectFailed,
  /// The engine refused: nothing runs there.
  refused,
  /// The engine says that it leaves and takes nothing new.
  leaving,
  /// It broke, closed or fell silent.
  broke,
};

/// \brief How a stream ended, and why.
/// \ingroup Ports
struct StreamResult {
  StreamEnd end = StreamEnd::broke;
  std::string detail;
  /// For `leaving`: time left there.
  Millis leavesIn{0};
};

/// \brief The engine's word on how many context tokens it had to compute for this attempt.
/// \ingroup Ports
struct ComputedTokens {
  std::size_t tokens = 0;
};

/// \brief The engine's word that it leaves; the stream goes on meanwhile.
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
  /// \returns whether to go on reading.
  using Receiver = std::function<bool(const EngineEvent&)>;

  EnginePort() = default;
  EnginePort(const EnginePort&) = delete;
  EnginePort& operator=(const EnginePort&) = delete;
  virtual ~EnginePort() = default;

  /// \brief Streams an answer; blocks until it ends.
  /// \param stallLimit the longest silence.
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
