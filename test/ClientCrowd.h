// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_CLIENTCROWD_H
#define HALLCHUTE_TEST_CLIENTCROWD_H

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace TestSupport {

/// \brief What each client of a crowd sends.
struct ClientScript {
  std::string start;
  /// Sent this often after the start.
  std::string piece{};
  std::size_t pieces = 0;
  std::string end{};
  /// Sent from then on, again and again with pauses.
  std::string trickle{};
};

/// \brief Many clients that send the same, keep their connections open and discard what they
/// receive. They connect once. All are served by one thread, which takes a turn at each.
class ClientCrowd {
 public:
  ClientCrowd(const std::string& address, std::size_t clients, ClientScript script);
  /// \brief Closes what is left of the connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// \brief Waits until each client has sent all but its trickle, or has lost its connection.
  void awaitSent() const;
  std::size_t connected() const { return connected_; }

 private:
  struct Client {
    Poco::Net::StreamSocket socket;
    std::size_t part = 0;
    std::size_t offset = 0;
    bool open = true;
  };

  void run();
  void takeTurn(Client& client, bool trickles);
  const std::string& partOf(const Client& client) const;
  bool hasSent(const Client& client) const;

  ClientScript script_;
  std::vector<Client> clients_;
  std::atomic<std::size_t> connected_{0};
  std::atomic<bool> sent_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace TestSupport

#endif  // HALLCHUTE_TEST_CLIENTCROWD_H
