// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "bench/policy/Workload.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "Hallchute/src/Core/StableHash.h"
#include "Hallchute/src/Routing/PrefixBlocks.h"
#include "Hallchute/src/Settings/JsonReader.h"

namespace Bench {
namespace {

using Hallchute::JsonReader;

constexpr std::int64_t kMost = 100'000'000;

StreamSpec readStream(JsonReader& reader, const Hallchute::JsonObject& json) {
  StreamSpec spec;
  const auto number = [&](const char* name) {
    return static_cast<std::size_t>(reader.integer(name, 0, kMost, 0));
  };
  spec.workClass = reader.text("class", true);
  spec.organisation = reader.text("organisation", true);
  spec.priority = reader.integer("priority", 0, 9, 5);
  spec.firstTokenMs = static_cast<double>(number("firstTokenMs"));
  spec.gapMs = static_cast<double>(number("gapMs"));
  reader.has("sessionsPerSecond");
  spec.sessionsPerSecond = json->optValue("sessionsPerSecond", 1.0);
  spec.turns = static_cast<int>(number("turns"));
  spec.thinkMs = static_cast<double>(number("thinkMs"));
  spec.sharedTokens = number("sharedTokens");
  spec.sharedGroups = number("sharedGroups");
  spec.ownTokens = number("ownTokens");
  spec.growthTokens = number("growthTokens");
  spec.outputTokens = number("outputTokens");
  return spec;
}

}  // namespace

Workload readWorkload(const std::string& path, Hallchute::Findings& findings) {
  Workload workload;
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const Hallchute::JsonObject json = Hallchute::parseJsonObject(text.str(), findings);
  if (!json) return workload;
  workload.name = json->optValue<std::string>("name", "");
  const auto streams = json->getArray("streams");
  for (unsigned i = 0; streams && i < streams->size(); ++i) {
    const Hallchute::JsonObject stream = streams->getObject(i);
    JsonReader reader(stream, "/streams/" + std::to_string(i), findings);
    workload.streams.push_back(readStream(reader, stream));
  }
  if (workload.streams.empty()) findings.push_back({"/streams", "must not be empty"});
  return workload;
}

std::size_t Session::promptTokens() const {
  return spec->sharedTokens + spec->ownTokens +
         static_cast<std::size_t>(turn) * (spec->growthTokens + spec->outputTokens);
}

std::vector<std::uint64_t> Session::hashes() const {
  constexpr std::size_t kBlock = Hallchute::PrefixBlocks::kTokensPerBlock;
  const std::size_t blocks =
      std::min(promptTokens() / kBlock, Hallchute::PrefixBlocks::kMaxBlocks * 4);
  const std::size_t shared = spec->sharedTokens / kBlock;
  std::vector<std::uint64_t> hashes;
  hashes.reserve(blocks);
  std::uint64_t chain = Hallchute::stableHash(spec->workClass + "/" + std::to_string(group));
  for (std::size_t i = 0; i < blocks; ++i) {
    if (i == shared) chain = Hallchute::stableHash(std::to_string(id), chain);
    chain = Hallchute::stableHash("block", chain);
    hashes.push_back(chain);
  }
  return hashes;
}

std::vector<Session> makeSessions(const Workload& workload, double lengthMs, double scale,
                                  std::mt19937_64& random) {
  std::vector<Session> sessions;
  std::uint64_t id = 1;
  for (const StreamSpec& spec : workload.streams) {
    std::exponential_distribution<double> gap(spec.sessionsPerSecond * scale / 1'000);
    double at = gap(random);
    while (at < lengthMs) {
      sessions.push_back(
          {id++, &spec, random() % std::max<std::size_t>(spec.sharedGroups, 1), 0, at});
      at += gap(random);
    }
  }
  return sessions;
}

}  // namespace Bench
