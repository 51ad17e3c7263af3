// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_HTTPEXCHANGE_H
#define HALLCHUTE_NET_HTTPEXCHANGE_H

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "Hallchute/src/Core/Time.h"

namespace Poco::Net {
class HTTPResponse;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief An HTTP request, sent at most once.
/// \ingroup Net
struct HttpRequest {
  std::string method = "GET";
  std::string target;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief A complete response: the body is as long as its Content-Length, or has its last chunk.
/// \ingroup Net
struct HttpResponse {
  int status = 0;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  /// \brief The value of a header, or an empty string. Names are case-insensitive.
  std::string header(std::string_view name) const;
};

/// \brief The connection failed before any byte of the request was sent.
/// \ingroup Net
struct HttpNeverSent {
  std::string detail;
};

/// \brief The request may have been received, but there is no complete response.
/// \ingroup Net
struct HttpMaybeSent {
  std::string detail;
  /// Whether the exchange timed out, rather than the server closed the connection.
  bool timedOut = false;
};

/// \ingroup Net
using HttpResult = std::variant<HttpResponse, HttpNeverSent, HttpMaybeSent>;

/// \brief Server address, source address and timeouts of an exchange.
/// \ingroup Net
struct HttpEndpoint {
  /// `ip:port`.
  std::string address;
  /// Local IP to connect from; empty for any.
  std::string source;
  Millis connectTimeout{500};
  /// Longest time without data while sending the request or receiving the response.
  Millis responseTimeout{5'000};
  /// Largest body of a complete response, in bytes. Its header and framing have limits of their
  /// own.
  std::size_t maxBodyBytes = std::size_t{64} << 20U;
  /// Longest time from connecting to the end of a complete response; zero for any.
  Millis wholeTimeout{0};
};

/// \brief One HTTP exchange on its own connection.
/// \ingroup Net
///
/// Connections are not reused: Poco resends a request by itself if a kept-alive connection is
/// broken, but one call must send at most one request. Calls block and may be made from any thread.
class HttpExchange {
 public:
  explicit HttpExchange(HttpEndpoint endpoint);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// \brief Sends \p call and reads the complete response: its Content-Length, or all its chunks. A
  /// body that ends with the connection counts as incomplete.
  ///
  /// A response that exceeds the endpoint's bounds in bytes or time counts as incomplete too.
  HttpResult run(const HttpRequest& call);
  /// \brief Sends \p call and reads the response header; the body can be read from stream().
  /// \returns a response with an empty body.
  HttpResult open(const HttpRequest& call);
  /// \brief The body after open(). Goes into an error state after responseTimeout without data. Its
  /// end doesn't tell whether the body was complete: the content must.
  std::istream& stream() { return *body_; }

 private:
  class Session;

  HttpResult openWith(const HttpRequest& call, bool whole);

  HttpEndpoint endpoint_;
  std::unique_ptr<Session> session_;
  std::unique_ptr<Poco::Net::HTTPResponse> response_;
  std::istream* body_ = nullptr;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_HTTPEXCHANGE_H
