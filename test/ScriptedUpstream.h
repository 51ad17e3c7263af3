// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_SCRIPTEDUPSTREAM_H
#define HALLCHUTE_TEST_SCRIPTEDUPSTREAM_H

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Hallchute {

/// \brief What a scripted upstream does with one request.
struct UpstreamScript {
  /// Sent as it is once the request's head and body are in; `{id}` becomes the request's id.
  std::string bytes;
  /// How the connection goes on.
  enum class Then { keep, close, reset, hang } then = Then::keep;
  /// How long it is silent after that, and what it sends then.
  std::chrono::milliseconds silence{0};
  std::string later{};
  std::chrono::milliseconds secondSilence{0};
  std::string last{};
  /// Sent again and again after all that, until the other side ends the connection or
  /// kMaxEndlessBytes have been sent; with a pause of this length between two.
  std::string endless{};
  std::chrono::milliseconds pace{0};
};

/// \brief A TCP server that answers the n-th request with the n-th script, byte for byte, and the
/// last script from then on. One thread per connection; loopback only.
class ScriptedUpstream {
 public:
  explicit ScriptedUpstream(std::vector<UpstreamScript> scripts);
  ~ScriptedUpstream();
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  /// \brief What bounds an endless script whose connection stays open. In bytes.
  static constexpr std::size_t kMaxEndlessBytes = std::size_t{96} << 20U;

  std::string address() const { return listener_.address().toString(); }
  /// \brief The complete requests received so far.
  std::vector<std::string> requests() const;
  /// \brief Connections that the other side ended while a script hung.
  int cancelled() const { return cancelled_; }
  /// \brief Bytes of endless scripts that the kernel has accepted so far.
  std::size_t endlessBytes() const { return endlessBytes_; }
  /// \brief Waits until that many requests have arrived, five seconds at most.
  void awaitRequests(std::size_t count) const;
  /// \brief Waits until that many connections have been cancelled, half a second at most.
  /// \returns how many have.
  int awaitCancelled(int count) const;

 private:
  void accept();
  void serve(Poco::Net::StreamSocket socket);
  bool sendEndlessly(Poco::Net::StreamSocket& socket, const std::string& bytes,
                     std::chrono::milliseconds pace);
  bool stayOpenFor(Poco::Net::StreamSocket& socket, std::chrono::milliseconds time) const;

  Poco::Net::ServerSocket listener_;
  std::vector<UpstreamScript> scripts_;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> cancelled_{0};
  std::atomic<std::size_t> endlessBytes_{0};
  std::thread acceptor_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_SCRIPTEDUPSTREAM_H
