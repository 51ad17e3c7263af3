// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "test/soak/KeptCallers.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include "Hallchute/src/Http/HttpReader.h"
#include "test/soak/GatewayFleet.h"

namespace Soak {
namespace {

using Hallchute::HttpProgress;
using Sort = KeptRequest::Sort;

constexpr Millis kDeadline{5'000};
/// Past the deadline, for a daemon that is stopped and a busy machine.
constexpr Millis kPatience{9'000};
constexpr Millis kPause{50};
/// A caller that is later than this can't tell how long its connection has been idle.
constexpr Millis kHeldUp{60};
constexpr double kRestPart = 0.8;
/// Of the longest rest: near the end of the idle time a timer and a request can meet.
constexpr double kLeastRest = 0.5;
constexpr unsigned kBusyRestMs = 4;
/// After a refusal.
constexpr Millis kRefusedRest{60};
constexpr unsigned kBusyRequests = 16;
constexpr int kMostRepeats = 2;
const Poco::Timespan kConnectTimeout(0, 500'000);
const Poco::Timespan kTurn(0, 20'000);

const char* pathOf(Sort sort) {
  constexpr std::array kPaths{"/stream/kept", "/run/kept", "/once/kept"};
  return kPaths.at(static_cast<std::size_t>(sort));
}

void readEvents(const std::string& body, KeptRequest& request) {
  const std::vector<std::string> parts = absl::StrSplit(body, "\n\n");
  // What follows the last end of an event is no event.
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const std::string start = absl::StrCat("id: ", ++request.events, "\ndata: ");
    request.disordered = request.disordered || !parts[i].starts_with(start);
  }
}

}  // namespace

void KeptCallers::add(int threads, Habit habit) {
  for (int i = 0; i < threads; ++i) {
    const unsigned seed = seed_ * 1'000 + static_cast<unsigned>(threads_.size());
    threads_.emplace_back([this, seed, habit] { run(seed, habit); });
  }
}

void KeptCallers::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void KeptCallers::announce(Millis idleTime, Millis timeLimit) {
  const std::lock_guard lock(mutex_);
  limits_.push_back({Clock::now(), idleTime, timeLimit});
}

std::vector<KeptRequest> KeptCallers::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

KeptCallers::Limits KeptCallers::leastSince(Clock::time_point time) const {
  const std::lock_guard lock(mutex_);
  Limits least = limits_.back();
  for (auto limits = limits_.rbegin(); limits != limits_.rend(); ++limits) {
    least.idleTime = std::min(least.idleTime, limits->idleTime);
    least.timeLimit = std::min(least.timeLimit, limits->timeLimit);
    if (limits->at <= time - settle_) break;
  }
  return least;
}

void KeptCallers::run(unsigned seed, Habit habit) {
  std::mt19937 random(seed);
  KeptRequest last;
  while (!stopping_) {
    try {
      useConnection(random() % fleet_.daemons().size(), habit, last, random);
    } catch (const Poco::Exception&) {
      // Nobody listens.
    }
    std::this_thread::sleep_for(habit == Habit::rests ? kPause : Millis(kBusyRestMs));
  }
}

KeptRequest KeptCallers::draw(std::size_t daemon, Habit habit, const KeptRequest& last,
                              std::mt19937& random) {
  KeptRequest request;
  request.id = absl::StrCat("k", ++nextNumber_);
  const unsigned sort = random() % 4;
  if (sort < 2 || habit != Habit::rests) {
    request.sort = sort == 0 ? Sort::repeatable : Sort::once;
  }
  request.body = habit == Habit::rests ? std::to_string(kEvents) : "of " + request.id;
  const bool mayRepeat = habit != Habit::rests && last.sort == Sort::once && last.refused();
  if (mayRepeat && last.earlier < kMostRepeats) {
    request.sort = last.sort;
    request.body = last.body;
    request.earlier = last.earlier + 1;
  }
  request.daemon = daemon;
  request.at = Clock::now();
  return request;
}

void KeptCallers::useConnection(std::size_t daemon, Habit habit, KeptRequest& last,
                                std::mt19937& random) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(fleet_.daemons()[daemon].callers), kConnectTimeout);
  Clock::time_point idleSince{};
  for (bool kept = false; !stopping_; kept = true) {
    const auto mayRest = leastSince(idleSince).idleTime * kRestPart;
    if (kept && habit != Habit::rests) {
      const Millis rest(random() % kBusyRestMs);
      std::this_thread::sleep_for(last.refused() ? kRefusedRest + rest : rest);
      if (habit == Habit::busyOnNew || random() % kBusyRequests == 0) return;
    } else if (kept) {
      const double part = std::uniform_real_distribution<double>(kLeastRest, 1)(random);
      std::this_thread::sleep_until(idleSince +
                                    std::chrono::duration_cast<Clock::duration>(mayRest * part));
      if (socket.poll(0, Poco::Net::Socket::SELECT_READ)) return;
    }
    const auto rested = [&] { return Clock::now() - idleSince; };
    if (kept && rested() > leastSince(idleSince).idleTime * kRestPart) return;
    KeptRequest request = draw(daemon, habit, last, random);
    request.kept = kept;
    const std::string text = absl::StrCat(
        "POST ", pathOf(request.sort), " HTTP/1.1\r\nHost: ", GatewayFleet::kRequestHost,
        "\r\nHallchute-Attempt-Id: ", request.id, "\r\nHallchute-Deadline-Ms: ", kDeadline.count(),
        "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body);
    ::send(socket.impl()->sockfd(), text.data(), text.size(), MSG_NOSIGNAL);
    request.inTime = !kept || rested() <= leastSince(idleSince).idleTime * kRestPart;
    const bool goesOn = exchange(socket, request);
    idleSince = request.end;
    request.limit = std::min(kDeadline, leastSince(request.at).timeLimit);
    last = request;
    const std::lock_guard lock(mutex_);
    requests_.push_back(std::move(request));
    if (!goesOn) return;
  }
}

bool KeptCallers::exchange(Poco::Net::StreamSocket& socket, KeptRequest& request) const {
  Hallchute::HttpReader reader(Hallchute::HttpMessageType::responses, {});
  std::string in;
  std::string body;
  std::array<char, 4096> buffer;
  auto progress = HttpProgress::needsMore;
  bool heldUp = false;
  request.end = request.at;
  while (progress == HttpProgress::needsMore && !request.closed &&
         request.end < request.at + kPatience) {
    const bool readable = socket.poll(kTurn, Poco::Net::Socket::SELECT_READ);
    heldUp = Clock::now() - request.end > kHeldUp;
    request.end = Clock::now();
    if (!readable) continue;
    const ssize_t got = ::recv(socket.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    request.closed = got <= 0;
    if (got > 0) in.append(buffer.data(), static_cast<std::size_t>(got));
    progress = got > 0 ? reader.read(in) : reader.end();
    body += reader.takeBody();
  }
  if (reader.hasHead()) request.status = reader.head().status;
  request.whole = progress == HttpProgress::complete;
  const std::string answerTo = Standin::ReplicaStandin::kAnswerTo;
  request.passedOn = request.whole && body.starts_with(answerTo);
  request.foreign = request.passedOn && body != answerTo + request.id;
  if (request.sort == Sort::stream && request.status == 200) {
    readEvents(body, request);
    request.disordered = request.disordered || (request.whole && request.events != kEvents);
  }
  return request.whole && !request.closed && !heldUp && reader.head().keepAlive;
}

}  // namespace Soak
