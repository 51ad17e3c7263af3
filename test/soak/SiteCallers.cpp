// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/SiteCallers.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <istream>
#include <utility>

namespace Soak {
namespace {

using Clock = std::chrono::steady_clock;
using End = CallerResult::End;
using Millis = std::chrono::milliseconds;

constexpr std::array<RequestSort, 5> kSorts{{
    {"long", "/stream/long/a", 7.78, 17, 9'190, Millis(8'000), true, 9'241},
    {"middle", "/stream/middle/a", 10.3, 8, 2'368, Millis(4'000), true, 2'392},
    {"chat", "/stream/chat/a", 11.6, 78, 715, Millis(15'000), true, 949},
    {"order", "/order/a", 7.41, 0, 0, Millis(600), false, 200},
    {"look", "/look/a", 4.57, 0, 0, Millis(600), true, 200},
}};
constexpr std::array<std::size_t, 2> kFirstCallersOfOtherZones{21, 37};
constexpr std::array<double, SiteFleet::kTenants> kTenantParts{0.4, 0.25, 0.15, 0.1, 0.1};
constexpr int kTokensAnEvent = 3;
constexpr Millis kPollPeriod{1'000};
constexpr int kTooMany = 429;
constexpr int kMisses = 2;
constexpr Millis kConnectLimit{1'000};
/// After a gap of this length a caller gives a stream up.
constexpr Millis kLongestGap{4'000};
constexpr Millis kIdleLimit{4'000};
constexpr std::size_t kNone = SIZE_MAX;

Poco::Timespan span(Millis time) {
  return Poco::Timespan(std::max<Millis::rep>(time.count(), 1) * 1'000);
}

bool isPromise(int status) {
  return status == kTooMany || status == 503 || status == 408 || status == 421;
}

std::unique_ptr<Poco::Net::HTTPClientSession> connection(const std::string& address) {
  return std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(address));
}

Millis since(Clock::time_point time) {
  return std::chrono::duration_cast<Millis>(Clock::now() - time);
}

}  // namespace

SiteCallers::SiteCallers(SiteFleet& fleet, double requestsPerSecond, unsigned seed)
    : fleet_(fleet), random_(seed), in_(fleet.daemons().size()) {
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    for (const std::size_t first : kFirstCallersOfOtherZones) {
      if (i >= first) ++callers_[i].zone;
    }
  }
  for (std::size_t i = 0; i < in_.size(); ++i) {
    in_[i] = true;
    threads_.emplace_back([this, i] { poll(i); });
  }
  threads_.emplace_back([this, requestsPerSecond] { send(requestsPerSecond); });
}

SiteCallers::~SiteCallers() {
  stop();
}

void SiteCallers::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  while (running_ > 0) std::this_thread::sleep_for(Millis(10));
}

std::vector<CallerResult> SiteCallers::results() const {
  const std::lock_guard lock(mutex_);
  return results_;
}

void SiteCallers::poll(std::size_t daemon) {
  int misses = 0;
  auto next = Clock::now();
  while (!stopping_) {
    bool ready = false;
    try {
      const auto session = connection(fleet_.daemons()[daemon].readinessLink);
      session->setTimeout(span(kPollPeriod));
      Poco::Net::HTTPRequest request("GET", "/ready", "HTTP/1.1");
      session->sendRequest(request);
      Poco::Net::HTTPResponse response;
      session->receiveResponse(response);
      ready = response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
    } catch (const Poco::Exception&) {
      // A miss.
    }
    misses = ready ? 0 : misses + 1;
    if (misses == 0 || misses >= kMisses) in_[daemon] = ready;
    next = std::max(next + kPollPeriod, Clock::now());
    std::this_thread::sleep_until(next);
  }
}

void SiteCallers::send(double perSecond) {
  std::exponential_distribution<double> gap(perSecond);
  std::vector<double> weights;
  weights.reserve(kSorts.size());
  for (const RequestSort& sort : kSorts) weights.push_back(sort.weight);
  std::discrete_distribution<std::size_t> sorts(weights.begin(), weights.end());
  std::discrete_distribution<std::size_t> tenants(kTenantParts.begin(), kTenantParts.end());
  auto next = Clock::now();
  for (std::uint64_t number = 1; !stopping_; ++number) {
    const std::size_t caller = random_() % callers_.size();
    Call call{callers_[caller], caller, random_() % 2 == 0, {}, 0, {}, false};
    call.result.tenant = tenants(random_);
    call.result.sort = &kSorts[sorts(random_)];
    call.result.id = absl::StrCat("r", number);
    ++running_;
    std::thread([this, call]() mutable {
      run(std::move(call));
      --running_;
    }).detach();
    next +=
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(random_)));
    std::this_thread::sleep_until(next);
  }
}

/// A daemon of the zone that is in; of all of them if fewer than half are; of other zones if none
/// is.
std::size_t SiteCallers::choose(std::size_t zone, std::size_t hash, std::size_t avoided) const {
  std::vector<std::size_t> all;
  std::vector<std::size_t> in;
  std::vector<std::size_t> elsewhere;
  for (std::size_t i = 0; i < in_.size(); ++i) {
    if (i == avoided) continue;
    if (fleet_.daemons()[i].zone != zone) {
      if (in_[i]) elsewhere.push_back(i);
      continue;
    }
    all.push_back(i);
    if (in_[i]) in.push_back(i);
  }
  if (in.empty() && !elsewhere.empty()) return elsewhere[hash % elsewhere.size()];
  if (in.size() * 2 < all.size()) in = all;
  return in.empty() ? 0 : in[hash % in.size()];
}

void SiteCallers::run(Call call) {
  CallerResult& result = call.result;
  result.at = Clock::now();
  result.daemon = choose(call.caller.zone, call.hash, kNone);
  attempt(call);
  const Millis left = result.sort->limit - since(result.at);
  if (result.end != End::served && (call.surelyNotRun || result.sort->safe) && left > Millis(0)) {
    double wait = 0;
    if (!absl::SimpleAtod(call.retryAfter, &wait)) wait = 0;
    const auto third = static_cast<double>(left.count()) / 3'000;
    std::this_thread::sleep_for(std::chrono::duration<double>(std::min(wait, third)));
    result.daemon = choose(call.caller.zone, call.hash, result.daemon);
    call.keeps = false;
    result.id += "b";
    attempt(call);
  }
  const std::lock_guard lock(mutex_);
  results_.push_back(result);
}

void SiteCallers::attempt(Call& call) {
  CallerResult& result = call.result;
  call.surelyNotRun = false;
  call.retryAfter.clear();
  result.status = 0;
  result.end = End::failed;
  Session session = takeSession(call, !call.keeps);
  if (fleet_.daemons()[result.daemon].down) {
    // As for a port at which nobody listens; the link would take the connection.
    call.surelyNotRun = true;
    return;
  }
  try {
    exchange(call, *session);
  } catch (const Poco::Exception&) {
    return;
  }
  if (result.status == kTooMany) ++result.overQuota;
  if (isPromise(result.status)) {
    result.end = End::refused;
    call.surelyNotRun = true;
  }
  if (call.keeps && result.end == End::served && session->getKeepAlive()) {
    const std::lock_guard lock(call.caller.mutex);
    call.caller.idle[result.daemon] = {std::move(session), Clock::now()};
  }
}

SiteCallers::Session SiteCallers::takeSession(Call& call, bool fresh) {
  const std::lock_guard lock(call.caller.mutex);
  const auto found = call.caller.idle.find(call.result.daemon);
  if (!fresh && found != call.caller.idle.end()) {
    IdleSession idle = std::move(found->second);
    call.caller.idle.erase(found);
    if (since(idle.since) < kIdleLimit) return std::move(idle.session);
  }
  Session session = connection(fleet_.daemons()[call.result.daemon].frontLink);
  session->setKeepAlive(true);
  return session;
}

void SiteCallers::exchange(Call& call, Poco::Net::HTTPClientSession& session) {
  CallerResult& result = call.result;
  const RequestSort& sort = *result.sort;
  const Millis left = sort.limit - since(result.at);
  session.setTimeout(span(kConnectLimit), span(left), span(std::min(left, kLongestGap)));
  Poco::Net::HTTPRequest request("POST", sort.path, "HTTP/1.1");
  const std::string body = std::to_string(sort.events);
  request.setHost(SiteFleet::kHost);
  request.setContentLength(static_cast<std::streamsize>(body.size()));
  request.set("Hallchute-Attempt-Id", result.id);
  request.set("Hallchute-Deadline-Ms", std::to_string(left.count()));
  request.set("Authorization", absl::StrCat("Bearer key-", result.tenant));
  if (sort.events > 0) {
    const int parts = sort.promptTokens;
    request.set("Hallchute-Model", "m");
    request.set("Hallchute-Token-Counts", absl::StrCat(parts, ",", sort.events * kTokensAnEvent));
    request.set("Hallchute-Prompt-Prefix", absl::StrCat("5c1e07a2:", parts / 2, ",",
                                                        absl::Hex(call.hash + 1), ":", parts / 2));
    if (call.events > 0) request.set("Last-Event-Id", std::to_string(call.events));
  }
  session.sendRequest(request) << body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  result.status = response.getStatus();
  call.retryAfter = response.get("Retry-After", "");
  if (result.status != Poco::Net::HTTPResponse::HTTP_OK) {
    std::string rest;
    Poco::StreamCopier::copyToString(in, rest);
    return;
  }
  std::string line;
  bool whole = false;
  while (std::getline(in, line)) {
    if (result.first == Millis(0)) result.first = since(result.at);
    if (absl::StartsWith(line, "id: ") && absl::SimpleAtoi(line.substr(4), &call.events)) {
      whole = call.events == sort.events;
    }
    whole = whole || (sort.events == 0 && line == "done");
  }
  if (whole && response.has("Hallchute-Replica-Signature") && since(result.at) <= sort.limit) {
    result.end = End::served;
  }
}

}  // namespace Soak
