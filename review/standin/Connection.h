// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef REVIEW_STANDIN_CONNECTION_H
#define REVIEW_STANDIN_CONNECTION_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Record.h"

namespace Review {

/// \brief A request or an answer with a length.
struct Message {
  std::string startLine;
  /// By names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const;
  /// \brief The word of the start line at \p index.
  std::string word(int index) const;
};

/// \brief A blocking TCP connection that carries HTTP/1.1 messages.
class Connection {
 public:
  /// \param socket an open socket, which the new object owns.
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \brief Connects to `ip:port`. \param receiveBuffer bytes of the kernel's buffer; 0: its own
  /// choice. \returns a connection that isn't open if that fails.
  static int connectTo(const std::string& address, int receiveBuffer = 0);
  bool open() const { return socket_ >= 0; }
  int socket() const { return socket_; }
  /// \returns false if the other side has gone.
  bool send(std::string_view bytes) const;
  /// \brief Reads a whole message. \returns nothing if the connection ends before.
  std::optional<Message> read();
  /// \brief How long a read waits for bytes.
  void setReadTimeout(Millis timeout) const;
  /// \brief The bytes of a message that has not arrived whole.
  std::size_t partialBytes() const { return in_.size(); }

 private:
  bool receive();

  int socket_;
  std::string in_;
};

/// \brief The bytes of an answer with a length.
std::string answerText(int status, const std::string& fields, const std::string& body);
/// \brief A listening socket at `ip:port`; port 0 takes a free one. \returns -1 if that fails.
int listenAt(const std::string& address);
/// \brief The address of a listening socket.
std::string addressOf(int socket);

}  // namespace Review

#endif  // REVIEW_STANDIN_CONNECTION_H
