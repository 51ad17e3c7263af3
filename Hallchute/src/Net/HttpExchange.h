// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_HTTPEXCHANGE_H
#define HALLCHUTE_NET_HTTPEXCHANGE_H

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
class HTTPClientSession;
class HTTPResponse;
}  // namespace Poco::Net

namespace Hallchute {

/// \brief An HTTP request to be sent once.
/// \ingroup Net
struct HttpRequest {
  std::string method = "GET";
  std::string target;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// \brief A whole answer: its body has the length that its header gave.
/// \ingroup Net
struct HttpResponse {
  int status = 0;
  std::string contentType;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;

  /// \brief The value of a header, compared without case; empty if absent.
  std::string header(std::string_view name) const;
};

/// \brief No byte of the request left this host.
/// \ingroup Net
struct HttpNeverSent {
  std::string detail;
};

/// \brief The request may have arrived; no whole answer came.
/// \ingroup Net
struct HttpMaybeSent {
  std::string detail;
  /// Whether the other side fell silent, rather than closed the connection.
  bool timedOut = false;
};

/// \ingroup Net
using HttpResult = std::variant<HttpResponse, HttpNeverSent, HttpMaybeSent>;

/// \brief Where to, from which address, and for how long.
/// \ingroup Net
struct HttpRoute {
  /// `ip:port`.
  std::string address;
  /// The own IP; empty for any.
  std::string source;
  Millis connectLimit{500};
  /// Longest silence while waiting for the answer.
  Millis answerLimit{5'000};
};

/// \brief One HTTP exchange on a connection of its own.
/// \ingroup Net
///
/// A connection is never used twice: the library re-sends by itself on a kept connection that
/// broke, and one call here must be one request at most. Blocks; any thread.
class HttpExchange {
 public:
  explicit HttpExchange(HttpRoute route);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  /// \brief Sends \p call and reads the whole answer.
  HttpResult run(const HttpRequest& call);
  /// \brief Sends \p call and reads the head of the answer; its body is read from stream().
  /// \returns an answer with an empty body.
  HttpResult open(const HttpRequest& call);
  /// \brief The body after open(). Ends with an error state when the route's answerLimit passes.
  std::istream& stream() { return *body_; }

 private:
  HttpRoute route_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
  std::unique_ptr<Poco::Net::HTTPResponse> response_;
  std::istream* body_ = nullptr;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_HTTPEXCHANGE_H
