// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <signal.h>

#include <iostream>
#include <random>
#include <stdexcept>

#include "test/scenario/Runner.h"

namespace Scenario {
namespace {

constexpr int kParallel = 16;
constexpr int kKeyRepeats = 3;

/// Counts of the outcomes of a storm of orders.
struct Tally {
  int confirmed = 0;
  int notRun = 0;
  int unknown = 0;
  int silent = 0;
};

void count(const CallResult& result, Tally& tally) {
  if (result.status == 200) {
    ++tally.confirmed;
  } else if (result.outcome == "not-run") {
    ++tally.notRun;
  } else if (result.status != 0) {
    ++tally.unknown;
  } else {
    ++tally.silent;
  }
}

}  // namespace

/// `storm orders=N seed=S via=A,B,..`: N orders, each key sent up to three times through any of
/// the daemons, while the platform and the service suffer random faults and daemons are frozen and
/// killed. No key may run twice, and a key that was confirmed once is confirmed alike from then on.
void Runner::storm(const Step& step) {
  std::mt19937 random(static_cast<unsigned>(step.number("seed", 1)));
  const int orders = step.number("orders", 1'000);
  const auto chance = [&](unsigned oneIn) { return random() % oneIn == 0; };
  const auto daemons = fleet_.all(Kind::daemon);
  Tally tally;
  std::map<std::string, std::string> confirmations;
  for (int sent = 0; sent < orders;) {
    if (chance(4)) fleet_.control("platform", "/control/faults", R"({"loseReplies":3})");
    if (chance(6)) fleet_.control("platform", "/control/faults", R"({"outage":true})");
    if (chance(4)) {
      Node* service = fleet_.all(Kind::plain)[random() % fleet_.all(Kind::plain).size()];
      fleet_.control(service->name, "/control/faults", R"({"dropAnswers":2})");
    }
    Node* victim = daemons[random() % daemons.size()];
    const bool freezes = chance(5);
    const bool kills = !freezes && chance(6);
    if (freezes) victim->process->signal(SIGSTOP);
    std::vector<std::unique_ptr<Caller>> batch;
    for (int i = 0; i < kParallel && sent < orders; ++i, ++sent) {
      CallPlan plan;
      plan.kind = "order";
      plan.daemons = {daemons[random() % daemons.size()]->address};
      plan.token = kCallerToken;
      plan.service = step.option("service", "");
      plan.key = "storm-" + std::to_string(random() % static_cast<unsigned>(orders / kKeyRepeats));
      plan.body = "{\"order\":\"" + plan.key + "\"}";
      batch.push_back(std::make_unique<Caller>(plan));
    }
    if (kills) {
      victim->process->kill();
      fleet_.startNode(*victim);
    }
    if (freezes) {
      std::this_thread::sleep_for(Hallchute::Millis(random() % 300));
      victim->process->signal(SIGCONT);
    }
    fleet_.control("platform", "/control/faults", R"({"outage":false,"loseReplies":0})");
    for (const auto& caller : batch) {
      while (!caller->finished()) std::this_thread::sleep_for(Hallchute::Millis(2));
      const CallResult& result = caller->result();
      count(result, tally);
      if (result.status != 200) continue;
      const std::string& known =
          confirmations.emplace(caller->plan().key, result.text).first->second;
      if (known != result.text) {
        throw std::runtime_error(caller->plan().key + " was confirmed in two ways");
      }
    }
  }
  std::cout << "    " << tally.confirmed << " confirmed, " << tally.notRun << " not run, "
            << tally.unknown << " not known or in progress, " << tally.silent
            << " callers whose daemon died" << std::endl;
  if (tally.confirmed == 0) throw std::runtime_error("nothing was confirmed");
}

}  // namespace Scenario
