// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/StreamCallers.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <istream>

#include "Hallchute/src/Net/HttpExchange.h"
#include "test/soak/GatewayFleet.h"

namespace Soak {
namespace {

constexpr std::size_t kEvents = 60;
/// How long a caller comes back for its stream.
constexpr Millis kPatience{5'000};
constexpr Millis kPause{50};

/// Reads whole events until the stream ends or one is wrong.
void readEvents(std::istream& in, CallerStream& stream, StreamAttempt& attempt) {
  std::string id;
  std::string data;
  std::string blank;
  while (stream.versions.size() < kEvents && std::getline(in, id) && std::getline(in, data) &&
         std::getline(in, blank)) {
    // A last line without an end is part of an event.
    if (in.eof()) return;
    std::size_t number = 0;
    const bool expected = absl::StartsWith(id, "id: ") && absl::SimpleAtoi(id.substr(4), &number) &&
                          number == stream.versions.size() + 1;
    if (!expected || !absl::StartsWith(data, "data: ") || !blank.empty()) {
      stream.broken = true;
      return;
    }
    if (stream.versions.empty()) stream.beganAt = std::chrono::steady_clock::now();
    stream.versions.push_back(data.substr(6));
    attempt.brought = true;
  }
}

}  // namespace

void StreamCallers::add(int threads) {
  for (int i = 0; i < threads; ++i) {
    const unsigned seed = seed_ * 1'000 + static_cast<unsigned>(threads_.size());
    threads_.emplace_back([this, seed] { run(seed); });
  }
}

void StreamCallers::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

std::vector<CallerStream> StreamCallers::streams() const {
  const std::lock_guard lock(mutex_);
  return streams_;
}

void StreamCallers::run(unsigned seed) {
  std::mt19937 random(seed);
  while (!stopping_) {
    CallerStream stream = getStream(random);
    const std::lock_guard lock(mutex_);
    streams_.push_back(std::move(stream));
  }
}

CallerStream StreamCallers::getStream(std::mt19937& random) {
  CallerStream stream;
  std::string began;
  const std::size_t daemons = fleet_.daemons().size();
  std::size_t daemon = random() % daemons;
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (std::chrono::steady_clock::now() < end && stream.versions.size() < kEvents &&
         !stream.broken) {
    const std::string id = attempt(stream, began, daemon);
    if (began.empty() && stream.attempts.back().brought) began = id;
    daemon = (daemon + 1 + random() % (daemons - 1)) % daemons;
    std::this_thread::sleep_for(kPause);
  }
  return stream;
}

std::string StreamCallers::attempt(CallerStream& stream, const std::string& began,
                                   std::size_t daemon) {
  std::string id = absl::StrCat("s", ++nextNumber_);
  Hallchute::HttpRequest request;
  request.method = "POST";
  request.target = "/stream/work";
  request.body = std::to_string(kEvents);
  request.headers = {{"Host", GatewayFleet::kRequestHost},
                     {"Hallchute-Attempt-Id", id},
                     {"Hallchute-Deadline-Ms", "4000"}};
  StreamAttempt made{Clock::now(), daemon, "", false};
  if (!began.empty()) {
    request.headers.emplace_back("Last-Event-Id", std::to_string(stream.versions.size()));
    request.headers.emplace_back("Resumes", began);
    made.resumedVersion = stream.versions.front();
  }
  Hallchute::HttpExchange exchange(
      {fleet_.daemons()[daemon].callers, "", Millis(500), Millis(2'000)});
  const auto result = exchange.open(request);
  const auto* answer = std::get_if<Hallchute::HttpResponse>(&result);
  if (answer != nullptr && answer->status == 200) readEvents(exchange.stream(), stream, made);
  stream.attempts.push_back(std::move(made));
  return id;
}

}  // namespace Soak
