// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/Listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/LogLine.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

/// Time between two tries to listen.
constexpr Millis kRetryInterval{100};
/// How long nothing is accepted when there is no descriptor for it.
constexpr Millis kPause{100};
/// Minimum time between two log lines about the same fault.
constexpr Millis kLogInterval{10'000};

/// Whether only a change of the start-up file or of the process's rights helps.
bool isPermanent(int error) {
  return error == EACCES || error == EPERM || error == EAFNOSUPPORT;
}

/// Whether the connection stays in the accept queue for want of descriptors or memory. The event
/// loop would report it again at once, without end.
bool isExhausted(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Listener::Listener(EventLoop& loop, const std::string& address, int backlog, AcceptHandler onAccept,
                   Metrics* metrics)
    : loop_(loop),
      address_(address),
      backlog_(backlog),
      onAccept_(std::move(onAccept)),
      metrics_(metrics),
      began_(clockNow()) {
  try {
    open();
  } catch (const Poco::Exception& e) {
    if (isPermanent(e.code())) throw;
    logUnavailable(e.displayText());
    retryLater();
  }
}

Listener::~Listener() {
  loop_.cancel(timer_);
  if (socket_) loop_.unwatch(socket_->impl()->sockfd());
}

void Listener::setReceiveBuffer(std::size_t bytes) {
  receiveBuffer_ = bytes;
  if (socket_) applyReceiveBuffer();
}

/// Accepted sockets inherit the option.
void Listener::applyReceiveBuffer() {
  if (receiveBuffer_ == 0) return;
  const auto bytes = static_cast<int>(receiveBuffer_);
  const int socket = socket_->impl()->sockfd();
  if (::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0) return;
  LogLine(LogLevel::warning, "listener.receiveBuffer")
      .with("address", address_.toString())
      .with("bytes", receiveBuffer_)
      .with("detail", std::generic_category().message(errno));
}

void Listener::open() {
  Poco::Net::ServerSocket socket;
  // POCO sets SO_REUSEPORT too unless told otherwise: another process could then listen here, and
  // the kernel would deal connections out to both.
  socket.bind(address_, true, false);
  socket.listen(backlog_);
  socket.setBlocking(false);
  socket_ = socket;
  applyReceiveBuffer();
  loop_.watch(socket_->impl()->sockfd(), POLLIN, [this](short) { accept(); });
}

void Listener::retryLater() {
  timer_ = loop_.after(kRetryInterval, [this] { retry(); });
}

void Listener::retry() {
  try {
    open();
  } catch (const Poco::Exception& e) {
    logUnavailable(e.displayText());
    retryLater();
    return;
  }
  LogLine(LogLevel::info, "listener.open")
      .with("address", address_.toString())
      .with("waitedMs", std::chrono::duration_cast<Millis>(clockNow() - began_));
}

void Listener::logUnavailable(const std::string& detail) {
  const Instant now = clockNow();
  if (unavailableLogged_ && now - *unavailableLogged_ < kLogInterval) return;
  unavailableLogged_ = now;
  LogLine(LogLevel::warning, "listener.unavailable")
      .with("address", address_.toString())
      .with("detail", detail)
      .with("waitedMs", std::chrono::duration_cast<Millis>(now - began_));
}

void Listener::accept() {
  const int fd = ::accept4(socket_->impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
  if (fd < 0) {
    // Else the other side has disconnected between the event and the call.
    if (isExhausted(errno)) pause(errno);
    return;
  }
  const Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(fd));
  try {
    onAccept_(socket);
  } catch (const Poco::Exception&) {
    // The other side disconnected meanwhile, so that the socket takes no options.
  }
}

void Listener::pause(int error) {
  loop_.setEvents(socket_->impl()->sockfd(), 0);
  timer_ = loop_.after(kPause, [this] { resume(); });
  if (metrics_ != nullptr) {
    metrics_->add("hallchute_listener_exhausted_total", "address=\"" + address_.toString() + "\"");
  }
  const Instant now = clockNow();
  if (exhaustedLogged_ && now - *exhaustedLogged_ < kLogInterval) return;
  exhaustedLogged_ = now;
  LogLine(LogLevel::warning, "listener.exhausted")
      .with("address", address_.toString())
      .with("detail", std::generic_category().message(error));
}

void Listener::resume() {
  loop_.setEvents(socket_->impl()->sockfd(), POLLIN);
}

}  // namespace Hallchute
