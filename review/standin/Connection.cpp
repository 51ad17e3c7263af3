// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace Review {
namespace {

constexpr int kBacklog = 512;

sockaddr_in parseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

Message parseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  message.startLine = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t first = line.find_first_not_of(' ', colon + 1);
    const std::size_t last = line.find_last_not_of("\r ");
    const bool empty = first == std::string::npos || last < first;
    message.fields[lowerCase(line.substr(0, colon))] =
        empty ? std::string() : line.substr(first, last - first + 1);
  }
  return message;
}

}  // namespace

std::string Message::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

std::string Message::word(int index) const {
  std::istringstream words(startLine);
  std::string word;
  for (int i = 0; i <= index; ++i) words >> word;
  return word;
}

Connection::~Connection() {
  if (socket_ >= 0) ::close(socket_);
}

int Connection::connectTo(const std::string& address, int receiveBuffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  }
  const sockaddr_in target = parseAddress(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0) return fd;
  ::close(fd);
  return -1;
}

bool Connection::send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Connection::receive() {
  std::array<char, 16384> buffer;
  const ssize_t got = ::recv(socket_, buffer.data(), buffer.size(), 0);
  if (got <= 0) return false;
  in_.append(buffer.data(), static_cast<std::size_t>(got));
  return true;
}

std::optional<Message> Connection::read() {
  constexpr std::string_view kEnd = "\r\n\r\n";
  std::size_t end = std::string::npos;
  while ((end = in_.find(kEnd)) == std::string::npos) {
    if (!receive()) return std::nullopt;
  }
  Message message = parseHead(in_.substr(0, end));
  const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
  const std::size_t whole = end + kEnd.size() + length;
  while (in_.size() < whole) {
    if (!receive()) return std::nullopt;
  }
  message.body = in_.substr(end + kEnd.size(), length);
  in_.erase(0, whole);
  return message;
}

void Connection::setReadTimeout(Millis timeout) const {
  const timeval time{timeout.count() / 1'000, (timeout.count() % 1'000) * 1'000};
  ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

std::string answerText(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int listenAt(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in own = parseAddress(address);
  const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
  if (bound && ::listen(fd, kBacklog) == 0) return fd;
  ::close(fd);
  return -1;
}

std::string addressOf(int socket) {
  sockaddr_in own{};
  socklen_t size = sizeof own;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&own), &size);
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &own.sin_addr, ip.data(), ip.size());
  return std::string(ip.data()) + ":" + std::to_string(ntohs(own.sin_port));
}

}  // namespace Review
