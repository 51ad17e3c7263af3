// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/Callers.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <random>
#include <utility>

#include "Hallchute/src/Net/HttpExchange.h"
#include "test/soak/GatewayFleet.h"

namespace Soak {

void Callers::add(int threads, Millis period, BodySource bodies) {
  for (int i = 0; i < threads; ++i) {
    const unsigned seed = seed_ * 1'000 + static_cast<unsigned>(threads_.size());
    threads_.emplace_back([this, seed, period, bodies] { send(seed, period, bodies); });
  }
}

void Callers::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

std::vector<Attempt> Callers::attempts() const {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

void Callers::send(unsigned seed, Millis period, BodySource bodies) {
  std::mt19937 random(seed);
  std::this_thread::sleep_for(Millis(random() % static_cast<unsigned>(period.count())));
  auto next = Clock::now();
  while (!stopping_) {
    const std::uint64_t number = ++nextNumber_;
    const auto& daemons = fleet_.daemons();
    const std::size_t daemon = random() % daemons.size();
    const std::string& address = daemons[daemon].callers;
    Hallchute::HttpRequest request;
    request.method = "POST";
    request.body = bodies(number);
    request.target = absl::StartsWith(request.body, kOnceBody) ? "/once/work" : "/run/work";
    request.headers = {{"Host", GatewayFleet::kRequestHost},
                       {"Hallchute-Attempt-Id", absl::StrCat("a", number)},
                       {"Hallchute-Deadline-Ms", "4000"}};
    if (absl::StartsWith(request.body, kPromptBody)) {
      const std::string part = request.body.substr(0, request.body.find('-'));
      request.headers.emplace_back("Hallchute-Prompt-Prefix",
                                   absl::StrCat("shared:10,", part, ":10,last:10"));
    }
    Attempt attempt{Clock::now(), daemon, request.body, 0};
    Hallchute::HttpExchange exchange({address, "", Millis(500), Millis(4'500)});
    const auto result = exchange.run(request);
    if (const auto* answer = std::get_if<Hallchute::HttpResponse>(&result)) {
      attempt.status = answer->status;
    }
    {
      const std::lock_guard lock(mutex_);
      attempts_.push_back(std::move(attempt));
    }
    next += period;
    std::this_thread::sleep_until(next);
  }
}

}  // namespace Soak
