// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "Hallchute/src/Settings/JsonTree.h"
#include "bench/policy/Trial.h"

ABSL_FLAG(std::string, workloads, "bench/workloads", "the folder of the workloads");
ABSL_FLAG(std::string, json, "", "a file for the result as JSON");
ABSL_FLAG(uint64_t, seed, 1, "the seed of arrivals");
ABSL_FLAG(double, load_bound, 4, "loadBound of prefix-affinity");
ABSL_FLAG(double, request_tokens, 100, "tokensPerRequest of prefix-affinity");
ABSL_FLAG(double, eviction, 1, "evictionWeight of prefix-affinity");
ABSL_FLAG(std::string, only, "", "cost, cache, wave, fair, overload or retry; empty for all");

namespace {

using namespace Bench;
using Hallchute::RoutingPolicy;

struct NamedPolicy {
  const char* name;
  RoutingPolicy policy;
};

RoutingPolicy ours() {
  return Hallchute::PrefixAffinity{absl::GetFlag(FLAGS_load_bound),
                                   absl::GetFlag(FLAGS_request_tokens),
                                   absl::GetFlag(FLAGS_eviction)};
}

const std::vector<NamedPolicy>& policies() {
  static const std::vector<NamedPolicy> kPolicies{
      {"round-robin", Hallchute::RoundRobin{}},
      {"least-in-flight", Hallchute::LeastInFlight{}},
      {"session-hash", Hallchute::SessionHash{}},
      {"prefix-affinity", ours()},
  };
  return kPolicies;
}

constexpr std::size_t kMostEngines = 40;
constexpr double kReclaimablePricePerHour = 1.2;
constexpr double kMsPerHour = 3'600'000;

/// All rows of the run, for the JSON file.
class Report {
 public:
  void add(const std::string& measure, const std::string& workload, const std::string& policy,
           const std::string& name, double value) {
    std::printf("%-9s %-8s %-16s %-34s %10.2f\n", measure.c_str(), workload.c_str(), policy.c_str(),
                name.c_str(), value);
    std::fflush(stdout);
    Hallchute::JsonObject row = new Poco::JSON::Object;
    row->set("measure", measure);
    row->set("workload", workload);
    row->set("policy", policy);
    row->set("name", name);
    row->set("value", value);
    rows_->add(row);
  }
  void write(const std::string& path) const {
    if (path.empty()) return;
    Hallchute::JsonObject json = new Poco::JSON::Object;
    json->set("rows", rows_);
    std::ofstream(path) << Hallchute::jsonText(json) << "\n";
  }

 private:
  Poco::JSON::Array::Ptr rows_ = new Poco::JSON::Array;
};

TrialSpec base(const Workload& workload, const RoutingPolicy& policy) {
  TrialSpec spec;
  spec.workload = &workload;
  spec.seed = absl::GetFlag(FLAGS_seed);
  spec.policy.choice = policy;
  spec.policy.maxQueue = 2'000;
  spec.policy.maxInFlightPerUpstream = 24;
  spec.policy.prefixTokensPerUpstream = spec.engine.memoryTokens;
  return spec;
}

/// The cheapest pool that meets every class's targets.
void measureCost(const Workload& workload, Report& report) {
  for (const NamedPolicy& named : policies()) {
    std::size_t least = kMostEngines + 1;
    TrialResult atLeast;
    // Each batch limit is a way to run the same pool: the policy takes its best.
    for (const std::size_t batch : {12, 20, 32}) {
      std::size_t low = 2;
      std::size_t high = least;
      while (low < high) {
        const std::size_t middle = (low + high) / 2;
        TrialSpec spec = base(workload, named.policy);
        spec.policy.maxInFlightPerUpstream = batch;
        spec.engines = middle;
        TrialResult result = Trial(spec).run();
        if (result.meetsTargets()) {
          high = middle;
          least = middle;
          atLeast = std::move(result);
        } else {
          low = middle + 1;
        }
      }
    }
    const double price = static_cast<double>(least) * kReclaimablePricePerHour;
    const double perHour = atLeast.perSecond * kMsPerHour / 1'000;
    report.add("cost", workload.name, named.name, "engines at the target",
               static_cast<double>(least));
    if (perHour > 0) {
      report.add("cost", workload.name, named.name, "price per million tokens",
                 price / perHour * 1e6);
      report.add("cost", workload.name, named.name, "recomputed per 1000 served",
                 atLeast.recomputedPerThousand());
    }
  }
}

/// The same pool for all: under normal load, with little cache, and through a reclaim wave.
void measureRecomputed(const Workload& workload, Report& report, bool wave) {
  for (const NamedPolicy& named : policies()) {
    for (const bool small : {false, true}) {
      if (wave && small) continue;
      TrialSpec spec = base(workload, named.policy);
      spec.engines = 16;
      if (small) {
        spec.engine.memoryTokens /= 2;
        spec.policy.prefixTokensPerUpstream /= 2;
      }
      if (wave) {
        spec.waveEngines = spec.engines / 2;
        spec.plannedMoves = std::string(named.name) == "prefix-affinity";
      }
      const TrialResult result = Trial(spec).run();
      const std::string word = wave ? "wave" : (small ? "half the memory" : "quiet");
      report.add(wave ? "wave" : "cache", workload.name, named.name, "recomputed per 1000, " + word,
                 result.recomputedPerThousand());
      for (const auto& [name, kind] : result.classes) {
        report.add(wave ? "wave" : "cache", workload.name, named.name,
                   absl::StrCat("p95 first token ms, ", name, ", ", word),
                   kind.firstTokenQuantile(0.95));
      }
    }
  }
}

/// One organisation sends ten times its share.
void measureFairness(Workload workload, Report& report) {
  const std::string greedy = workload.streams.back().organisation;
  const std::string other = workload.streams.front().organisation;
  for (const double factor : {1.0, 10.0}) {
    Workload loaded = workload;
    for (StreamSpec& stream : loaded.streams) {
      if (stream.organisation == greedy) stream.sessionsPerSecond *= factor;
      // The same class for both: only the shares distinguish them.
      stream.priority = 5;
    }
    TrialSpec spec = base(loaded, ours());
    spec.engines = 14;
    TrialResult result = Trial(spec).run();
    report.add("fair", workload.name, "prefix-affinity",
               absl::StrCat("p95 ms of ", other, ", ", greedy, " x", int(factor)),
               result.organisations[other].firstTokenQuantile(0.95));
  }
}

/// Twice the load that the pool can serve.
void measureOverload(const Workload& workload, Report& report) {
  for (const double scale : {1.0, 2.0, 4.0}) {
    TrialSpec spec = base(workload, ours());
    spec.engines = 8;
    spec.scale = scale;
    spec.policy.maxQueue = 60;
    const TrialResult result = Trial(spec).run();
    const std::string at = " at x" + std::to_string(int(scale));
    report.add("overload", workload.name, "prefix-affinity", "tokens per second" + at,
               result.perSecond);
    report.add("overload", workload.name, "prefix-affinity", "share refused" + at,
               result.refused / result.requests);
    const ClassResult& urgent = result.classes.at(workload.streams.front().workClass);
    report.add("overload", workload.name, "prefix-affinity",
               "share in time of " + workload.streams.front().workClass + at,
               urgent.shareFirstInTime());
  }
}

/// A third of the engines refuse connections.
void measureRetries(const Workload& workload, Report& report) {
  for (const bool budget : {false, true}) {
    TrialSpec spec = base(workload, ours());
    spec.engines = 18;
    spec.brokenEngines = 6;
    spec.retryBudget = budget;
    const TrialResult result = Trial(spec).run();
    const std::string word = budget ? ", with budget" : ", without";
    report.add("retry", workload.name, "prefix-affinity", "attempts per request" + word,
               result.attempts / result.requests);
    report.add("retry", workload.name, "prefix-affinity", "share refused" + word,
               result.refused / result.requests);
  }
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  Report report;
  const std::string only = absl::GetFlag(FLAGS_only);
  const auto wanted = [&](const char* name) { return only.empty() || only == name; };
  for (const char* name : {"nairobi", "muscat"}) {
    Hallchute::Findings findings;
    const std::string path = absl::GetFlag(FLAGS_workloads) + "/" + name + ".json";
    const Workload workload = readWorkload(path, findings);
    if (!findings.empty()) {
      std::cerr << path << ": " << Hallchute::describe(findings);
      return 3;
    }
    if (wanted("cost")) measureCost(workload, report);
    if (wanted("cache")) measureRecomputed(workload, report, false);
    if (wanted("wave")) measureRecomputed(workload, report, true);
    if (wanted("fair")) measureFairness(workload, report);
    if (wanted("overload")) measureOverload(workload, report);
    if (wanted("retry")) measureRetries(workload, report);
  }
  report.write(absl::GetFlag(FLAGS_json));
  return 0;
}
