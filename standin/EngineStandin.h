// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_ENGINESTANDIN_H
#define HALLCHUTE_STANDIN_ENGINESTANDIN_H

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Hallchute/src/Routing/PrefixIndex.h"
#include "standin/StandinServer.h"

namespace Standin {

/// \brief Speed and capacity of an engine.
struct EngineModel {
  /// Time per token of a stream while few run.
  double gapMs = 10;
  /// Time that each further stream adds to every token.
  double gapPerStreamMs = 0.2;
  /// Time to compute a thousand prompt tokens.
  double prefillMsPerThousand = 50;
  std::size_t slots = 32;
  std::size_t cacheTokens = 50'000;
};

/// \brief A model engine: continuous batching, a prefix cache of limited memory, priorities,
/// resumption, export and import of cached tokens, fenced orders, and its faults.
class EngineStandin {
 public:
  explicit EngineStandin(EngineModel model);
  void handle(const Request& request, Poco::Net::HTTPServerResponse& response);

 private:
  struct Generation;

  /// The faults currently injected.
  struct Faults {
    /// Ends streams after so many more tokens without an end mark.
    int cutAfter = -1;
    bool duplicate = false;
    bool lateEpoch = false;
    bool refuseExport = false;
    bool failImport = false;
    bool refuse = false;
  };

  void generate(const Request& request, Poco::Net::HTTPServerResponse& response);
  void stream(Generation& generation, std::ostream& out);
  std::size_t prefill(Generation& generation);
  bool takeSlot(Generation& generation);
  void giveSlot(Generation& generation);
  double gapNow();
  void cancel(const Poco::JSON::Object::Ptr& json);
  void exportCache(const Poco::JSON::Object::Ptr& json, Poco::Net::HTTPServerResponse& response);
  void importCache(const Request& request, Poco::Net::HTTPServerResponse& response);
  void order(const Poco::JSON::Object::Ptr& json, Poco::Net::HTTPServerResponse& response);
  void control(const Request& request, const Poco::JSON::Object::Ptr& json,
               Poco::Net::HTTPServerResponse& response);
  void leave(int inMs, bool die);

  EngineModel model_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Hallchute::PrefixIndex cache_;
  std::map<std::string, std::shared_ptr<Generation>> running_;
  std::vector<std::int64_t> waiting_;
  std::map<std::string, std::vector<std::uint64_t>> imported_;
  std::map<std::string, std::uint64_t> runs_;
  std::size_t started_ = 0;
  std::size_t computedTokens_ = 0;
  std::int64_t lastStartMs_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t nextHandle_ = 1;
  bool leaving_ = false;
  std::int64_t leavesAtMs_ = 0;
  Faults faults_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_ENGINESTANDIN_H
