// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Net/HttpExchange.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <istream>

#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Net/BoundedSocket.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Net/OutgoingSocket.h"

namespace Hallchute {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

/// Bytes of the header, and of interim responses before it.
constexpr std::size_t kMaxHeaderBytes = 64U << 10U;
constexpr int kMaxHeaderFields = 256;
/// Bytes on the connection for each byte of a body: those in chunks of few bytes need more.
constexpr std::size_t kBytesPerBodyByte = 2;
constexpr std::size_t kReadBytes = 16U << 10U;
/// Bytes of a chunked body's trailers, or of the extensions of one chunk.
constexpr std::uint32_t kMaxChunkedHeadBytes = 16U << 10U;

Poco::Timespan timespan(Millis time) {
  return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * Poco::Timespan::MILLISECONDS};
}

Poco::Net::StreamSocket connect(const HttpEndpoint& endpoint) {
  Poco::Net::StreamSocket socket;
  if (!endpoint.source.empty()) {
    socket = makeOutgoingSocket(Poco::Net::SocketAddress(endpoint.source, 0));
  }
  socket.connect(Poco::Net::SocketAddress(endpoint.address), timespan(endpoint.connectTimeout));
  socket.setNoDelay(true);
  // HTTPClientSession applies its timeouts only to connections that it opens itself.
  socket.setSendTimeout(timespan(endpoint.responseTimeout));
  socket.setReceiveTimeout(timespan(endpoint.responseTimeout));
  return socket;
}

/// The same connection with bounds for a complete response.
Poco::Net::StreamSocket bounded(const Poco::Net::StreamSocket& socket,
                                const HttpEndpoint& endpoint) {
  const int copy = ::dup(socket.impl()->sockfd());
  if (copy < 0) throw Poco::Net::NetException("no descriptor is left", errno);
  const std::size_t maxBytes = kMaxHeaderBytes + endpoint.maxBodyBytes * kBytesPerBodyByte;
  const bool timed = endpoint.wholeTimeout > Millis(0);
  const Instant deadline = timed ? clockNow() + endpoint.wholeTimeout : Instant::max();
  Poco::Net::StreamSocket result(
      new BoundedSocket(copy, maxBytes, endpoint.responseTimeout, deadline));
  result.setSendTimeout(timespan(endpoint.responseTimeout));
  result.setReceiveTimeout(timespan(endpoint.responseTimeout));
  return result;
}

/// \returns whether all \p length bytes were read.
bool readBody(std::istream& in, std::streamsize length, std::size_t maxBytes, std::string& body) {
  std::array<char, kReadBytes> buffer;
  while (in.good() && body.size() <= maxBytes) {
    const std::streamsize toRead = std::min(static_cast<std::streamsize>(buffer.size()),
                                            length - static_cast<std::streamsize>(body.size()));
    if (toRead <= 0) return toRead == 0;
    in.read(buffer.data(), toRead);
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
  }
  return false;
}

}  // namespace

/// Gives access to the bytes that follow a response's header.
class HttpExchange::Session final : public Poco::Net::HTTPClientSession {
 public:
  using HTTPClientSession::HTTPClientSession;

  /// POCO's stream of a chunked body ends in the same way whether or not the last chunk has been
  /// received, and at a chunk size that isn't a number. HttpReader tells them apart.
  /// \returns whether the body was complete and valid.
  bool readChunked(std::size_t maxBytes, std::string& body) {
    HttpReader reader(HttpMessageType::responses, {kMaxChunkedHeadBytes, maxBytes});
    std::string received = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::array<char, kReadBytes> buffer;
    while (true) {
      const HttpProgress progress = reader.read(received);
      body += reader.takeBody();
      if (progress != HttpProgress::needsMore) return progress == HttpProgress::complete;
      const int count = read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
      if (count <= 0) return false;
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }
};

std::string HttpResponse::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (Poco::icompare(key, std::string(name)) == 0) return value;
  }
  return {};
}

HttpExchange::HttpExchange(HttpEndpoint endpoint) : endpoint_(std::move(endpoint)) {}
HttpExchange::~HttpExchange() = default;

HttpResult HttpExchange::open(const HttpRequest& call) {
  return openWith(call, false);
}

HttpResult HttpExchange::openWith(const HttpRequest& call, bool whole) {
  try {
    const Poco::Net::StreamSocket socket = connect(endpoint_);
    session_ = std::make_unique<Session>(whole ? bounded(socket, endpoint_) : socket);
  } catch (const Poco::Exception& e) {
    return HttpNeverSent{endpoint_.address + ": " + e.displayText()};
  }
  try {
    HTTPRequest request(call.method, call.target, HTTPRequest::HTTP_1_1);
    request.setHost(endpoint_.address);
    request.setKeepAlive(false);
    for (const auto& [name, value] : call.headers) request.set(name, value);
    if (!call.contentType.empty()) request.setContentType(call.contentType);
    if (!call.body.empty() || call.method != HTTPRequest::HTTP_GET) {
      request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    session_->sendRequest(request) << call.body << std::flush;
    response_ = std::make_unique<HTTPResponse>();
    response_->setFieldLimit(kMaxHeaderFields);
    body_ = &session_->receiveResponse(*response_);
    HttpResponse answer;
    answer.status = response_->getStatus();
    answer.contentType = response_->getContentType();
    for (const auto& [name, value] : *response_) answer.headers.emplace_back(name, value);
    return answer;
  } catch (const Poco::TimeoutException& e) {
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText(), true};
  } catch (const Poco::Exception& e) {
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText()};
  }
}

HttpResult HttpExchange::run(const HttpRequest& call) {
  HttpResult result = openWith(call, true);
  auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr) return result;
  const bool empty = call.method == HTTPRequest::HTTP_HEAD || answer->status == 204;
  if (empty) return result;
  // A transfer coding overrides a length (RFC 9112, 6.3).
  const bool chunked = response_->getChunkedTransferEncoding();
  const bool otherCoding = !chunked && response_->has(HTTPResponse::TRANSFER_ENCODING);
  if (otherCoding || (!chunked && !response_->hasContentLength())) {
    return HttpMaybeSent{endpoint_.address +
                         ": the end of the answer can't be told from a cut: it has no "
                         "Content-Length and isn't chunked"};
  }
  try {
    const std::size_t maxBytes = endpoint_.maxBodyBytes;
    const bool complete =
        chunked ? session_->readChunked(maxBytes, answer->body)
                : readBody(*body_, response_->getContentLength64(), maxBytes, answer->body);
    if (!complete) return HttpMaybeSent{endpoint_.address + ": the answer was cut short"};
  } catch (const Poco::TimeoutException& e) {
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText(), true};
  } catch (const Poco::Exception& e) {
    return HttpMaybeSent{endpoint_.address + ": " + e.displayText()};
  }
  return result;
}

}  // namespace Hallchute
