// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_REPLICASTANDIN_H
#define HALLCHUTE_STANDIN_REPLICASTANDIN_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "standin/AnswerPlan.h"

namespace Standin {

/// \brief A request that arrived at a replica.
struct Arrival {
  std::chrono::steady_clock::time_point at;
  std::string replica;
  /// Source IP of the connection.
  std::string caller;
  std::string body;
  /// Of the caller's attempt.
  std::string id;
};

/// \brief An answer in which a replica named its limit.
struct NamedLimit {
  std::chrono::steady_clock::time_point at;
  /// Source IP of the connection.
  std::string caller;
  double perSecond = 0;
};

/// \brief A request that a replica rejected, and the Retry-After of its answer.
struct Rejection {
  Arrival arrival;
  std::chrono::milliseconds retryAfter{0};
};

/// \brief Room of a replica that fails when it has to reject too many requests.
struct BrittleRoom {
  std::size_t slots = 0;
  /// Requests that may wait for a slot.
  std::size_t queue = 0;
  double rejectionsPerSecond = 0;
};

/// \brief What a cut does to connections between a replica and some callers.
enum class CutKind {
  /// Nothing gets through on any connection.
  hang,
  /// Established connections are reset, new ones don't come up.
  reset,
  /// Established connections live on, new ones don't come up.
  newConnections,
};

/// \brief A replica of a plain service behind the gateway, on threads of this process; a crash
/// resets its connections and closes its port as the end of a process does.
///
/// A request under `/stream/` is answered by as many events as the body says, with rising ids from
/// the one after `Last-Event-Id`; their data is the version of the replica's software. A request
/// whose body starts with `crash` crashes it some time
/// after the request began to run, and so does one that names a crashing part of its prompt.
class ReplicaStandin {
 public:
  static constexpr const char* kCrashingBody = "crash";
  /// How the names of such parts start.
  static constexpr const char* kCrashingPart = "promptcrash";
  /// How the bodies of drawn answers start; the id of the request follows.
  static constexpr const char* kAnswerTo = "answer to ";
  /// Between the events of a stream.
  static constexpr std::chrono::milliseconds kEventGap{20};

  /// \param workTime how long a request runs. \param version of its software.
  ReplicaStandin(std::string id, std::chrono::milliseconds workTime, std::string version = "1");
  ~ReplicaStandin();
  ReplicaStandin(const ReplicaStandin&) = delete;
  ReplicaStandin& operator=(const ReplicaStandin&) = delete;

  const std::string& id() const { return id_; }
  std::string address() const { return address_; }
  const std::string& version() const { return version_; }
  std::chrono::steady_clock::time_point startedAt() const { return startedAt_; }
  void crash();
  bool crashed() const { return crashed_; }
  /// \brief When it crashed, and the bodies of the requests that ran at that moment.
  std::chrono::steady_clock::time_point crashedAt() const;
  std::vector<std::string> runningAtCrash() const;
  std::vector<Arrival> arrivals() const;
  /// \brief Requests that it rejected.
  std::vector<Rejection> rejections() const;
  /// \brief The requests a second to name as its limit in answers; 0 for none.
  void nameLimit(double perSecond) { limit_ = perSecond; }
  std::vector<NamedLimit> namedLimits() const;
  /// \brief From now on it rejects what it has no room for, names its limit on rejections in all
  /// answers, and crashes beyond it; to be called before it is listed.
  void makeBrittle(const BrittleRoom& room) { room_ = room; }
  /// \brief From now on it rejects requests with this Retry-After; zero: it serves again.
  void rejectWith(std::chrono::milliseconds retryAfter) { retryAfterMs_ = retryAfter.count(); }
  /// \brief It sends nothing for so long, not even the next event of a stream, and then goes on
  /// with all that came.
  void fallSilent(std::chrono::milliseconds time);
  /// \brief For so long it answers each request by bytes that are no answer, until the connection
  /// is closed: by a header line, by chunk extensions, by an event or by comments without end.
  void sendEndlessly(std::chrono::milliseconds time);
  /// \brief From now on \p part of its plain answers are drawn by drawPlan(); all have the id of
  /// their request in the body.
  void drawAnswers(double part, unsigned seed) {
    drawSeed_ = seed;
    drawnPart_ = part;
  }
  /// \brief Cuts the replica off from the callers at these IP addresses; an empty set heals.
  void cutOff(const std::set<std::string>& callers, CutKind kind);

 private:
  void accept();
  void serve(Poco::Net::StreamSocket socket);
  void answerRequests(Poco::Net::StreamSocket& socket, const std::string& caller);
  /// \param due what was left to send as the next request arrives.
  /// \returns whether the connection goes on.
  bool run(Poco::Net::StreamSocket& socket, const std::string& request, const std::string& caller,
           std::string& due);
  /// \returns whether it rejected the request.
  bool rejects(Poco::Net::StreamSocket& socket, const std::string& request,
               const std::string& caller);
  /// Takes a slot, after some wait if there is room for it.
  /// \returns whether the replica had room; if it had not, it has rejected the request.
  bool takeSlot(Poco::Net::StreamSocket& socket, const std::string& request);
  /// Waits for \p time, and until it is no longer silent.
  void wait(std::chrono::milliseconds time) const;
  void flood(Poco::Net::StreamSocket& socket, const std::string& request) const;
  bool stream(Poco::Net::StreamSocket& socket, const std::string& request) const;
  bool sendDrawn(Poco::Net::StreamSocket& socket, const std::string& request,
                 const AnswerPlan& plan, std::string& due) const;
  std::string answerTo(const std::string& request, double limit) const;

  std::string id_;
  std::chrono::milliseconds workTime_;
  std::string version_;
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  Poco::Net::ServerSocket listener_;
  std::string address_;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::vector<Rejection> rejections_;
  std::vector<NamedLimit> namedLimits_;
  /// Open connections, by descriptor, with their callers' IP addresses.
  std::map<int, std::string> connections_;
  std::multiset<std::string> running_;
  std::vector<std::string> runningAtCrash_;
  std::chrono::steady_clock::time_point crashedAt_;
  std::vector<std::thread> threads_;
  BrittleRoom room_;
  std::size_t admitted_ = 0;
  std::deque<std::chrono::steady_clock::time_point> turnedAway_;
  std::condition_variable slotFreed_;
  std::atomic<double> limit_{0};
  std::atomic<double> drawnPart_{0};
  std::atomic<unsigned> drawSeed_{0};
  std::atomic<std::int64_t> retryAfterMs_{0};
  std::atomic<std::chrono::steady_clock::time_point> silentUntil_{};
  std::atomic<std::chrono::steady_clock::time_point> endlessUntil_{};
  std::atomic<bool> crashed_{false};
  std::thread acceptor_;
};

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_REPLICASTANDIN_H
