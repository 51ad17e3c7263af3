// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <istream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/Net"
#include "Hallchute/Upstream"
#include "Hallchute/src/Observability/DurationHistogram.h"
#include "Hallchute/src/Settings/JsonTree.h"

ABSL_FLAG(std::string, daemons, "", "caller addresses, separated by commas");
ABSL_FLAG(std::string, engine, "", "an engine that every second request goes to directly");
ABSL_FLAG(std::string, token, "", "bearer token");
ABSL_FLAG(std::string, service, "scribe-pool", "model service");
ABSL_FLAG(double, rate, 20, "requests a second, Poisson");
ABSL_FLAG(double, seconds, 10, "how long requests start");
ABSL_FLAG(int, tokens, 50, "tokens of each answer");
ABSL_FLAG(int, prompt_words, 100, "words of each prompt");
ABSL_FLAG(uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(double, most_added_p75_ms, 1e9,
          "ends with 1 if the daemon adds more to the first token's third quartile");
ABSL_FLAG(std::string, json, "", "a file for the result as JSON");

namespace {

using namespace Hallchute;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::duration<double, std::milli>;

constexpr Millis kConnectLimit{2'000};
constexpr Millis kAnswerLimit{30'000};

/// Results of the requests of one kind. Updated from any thread.
struct Tally {
  DurationHistogram firstToken;
  DurationHistogram gap;
  std::atomic<std::size_t> done{0};
  std::atomic<std::size_t> failed{0};
  std::atomic<std::size_t> tokens{0};
  std::mutex mutex;
  std::vector<double> firstTokens;
};

/// Records the tokens of one answer as they arrive.
class Watch {
 public:
  explicit Watch(Tally& tally) : tally_(tally), start_(Clock::now()) {}
  void token() {
    const auto now = Clock::now();
    if (tokens_++ == 0) {
      const Ms first = now - start_;
      tally_.firstToken.record(first);
      const std::lock_guard lock(tally_.mutex);
      tally_.firstTokens.push_back(first.count());
    } else {
      tally_.gap.record(now - last_);
    }
    last_ = now;
    ++tally_.tokens;
  }
  void end(bool whole) { ++(whole ? tally_.done : tally_.failed); }

 private:
  Tally& tally_;
  Clock::time_point start_;
  Clock::time_point last_{};
  std::size_t tokens_ = 0;
};

std::string promptOf(std::uint64_t number) {
  std::string prompt = "load " + std::to_string(number);
  for (int i = 2; i < absl::GetFlag(FLAGS_prompt_words); ++i) prompt += " w" + std::to_string(i);
  return prompt;
}

void askDaemon(const std::string& address, std::uint64_t number, Tally& tally) {
  Watch watch(tally);
  JsonObject json = new Poco::JSON::Object;
  json->set("model", absl::GetFlag(FLAGS_service));
  json->set("prompt", promptOf(number));
  json->set("max_tokens", absl::GetFlag(FLAGS_tokens));
  json->set("stream", true);
  HttpRequest call{"POST", "/v1/completions", "application/json", jsonText(json), {}};
  call.headers.emplace_back("Authorization", "Bearer " + absl::GetFlag(FLAGS_token));
  HttpExchange exchange({address, "", kConnectLimit, kAnswerLimit});
  const HttpResult result = exchange.open(call);
  const auto* answer = std::get_if<HttpResponse>(&result);
  bool whole = false;
  std::string line;
  while (answer != nullptr && !whole && std::getline(exchange.stream(), line)) {
    if (line.rfind("id: ", 0) == 0) watch.token();
    whole = line == "data: [DONE]";
  }
  watch.end(whole);
}

void askEngine(const std::string& address, std::uint64_t number, Tally& tally) {
  Watch watch(tally);
  EngineHttp engine(address, "", kConnectLimit);
  GenerateRequest request;
  request.request = "direct-" + std::to_string(number);
  request.epoch = 1;
  request.prompt = promptOf(number);
  request.maxTokens = static_cast<std::size_t>(absl::GetFlag(FLAGS_tokens));
  bool whole = false;
  engine.generate(request, kAnswerLimit, [&](const EngineEvent& event) {
    const auto* chunk = std::get_if<AnswerChunk>(&event);
    if (chunk != nullptr && !chunk->end) watch.token();
    whole = chunk != nullptr && chunk->end;
    return !whole;
  });
  watch.end(whole);
}

double exactQuantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

JsonObject show(const char* name, Tally& tally) {
  const double p50 = exactQuantile(tally.firstTokens, 0.5);
  const double p95 = exactQuantile(tally.firstTokens, 0.95);
  std::printf(
      "%-8s done %zu failed %zu tokens %zu first token p50 %.2f p95 %.2f ms, gap p95 %.1f ms\n",
      name, tally.done.load(), tally.failed.load(), tally.tokens.load(), p50, p95,
      tally.gap.quantile(0.95));
  JsonObject json = new Poco::JSON::Object;
  json->set("done", tally.done.load());
  json->set("failed", tally.failed.load());
  json->set("tokens", tally.tokens.load());
  json->set("firstTokenP50Ms", p50);
  json->set("firstTokenP95Ms", p95);
  json->set("gapP95Ms", tally.gap.quantile(0.95));
  return json;
}

}  // namespace

/// Open-loop load: requests start at their scheduled times, regardless of earlier ones.
int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> daemons = absl::StrSplit(absl::GetFlag(FLAGS_daemons), ',');
  const std::string engine = absl::GetFlag(FLAGS_engine);
  std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
  std::exponential_distribution<double> gap(absl::GetFlag(FLAGS_rate));
  Tally through;
  Tally direct;
  std::vector<std::thread> threads;
  const auto start = Clock::now();
  std::uint64_t number = 0;
  double at = gap(random);
  while (at < absl::GetFlag(FLAGS_seconds)) {
    std::this_thread::sleep_until(
        start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at)));
    if (!engine.empty() && number % 2 == 1) {
      threads.emplace_back([&, number] { askEngine(engine, number, direct); });
    } else {
      threads.emplace_back(
          [&, number] { askDaemon(daemons[number % daemons.size()], number, through); });
    }
    at += gap(random);
    ++number;
  }
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> took = Clock::now() - start;
  JsonObject json = new Poco::JSON::Object;
  json->set("seconds", took.count());
  json->set("hallchute", show("daemon", through));
  if (!engine.empty()) json->set("direct", show("direct", direct));
  std::printf("rate     %.1f requests/s, %.0f tokens/s\n",
              static_cast<double>(through.done) / took.count(),
              static_cast<double>(through.tokens) / took.count());
  const std::string path = absl::GetFlag(FLAGS_json);
  if (!path.empty()) std::ofstream(path) << jsonText(json) << "\n";
  const double added =
      exactQuantile(through.firstTokens, 0.75) - exactQuantile(direct.firstTokens, 0.75);
  return through.failed == 0 && added <= absl::GetFlag(FLAGS_most_added_p75_ms) ? 0 : 1;
}
