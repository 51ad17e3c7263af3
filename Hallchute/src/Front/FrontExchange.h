// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTEXCHANGE_H
#define HALLCHUTE_FRONT_FRONTEXCHANGE_H

#include <functional>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/SharedBytes.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/HttpReader.h"

namespace Hallchute {

class FrontConnection;

/// \brief A request of a caller and its response. Traffic thread only.
/// \ingroup Front
///
/// After the caller has disconnected, all calls that send are ignored.
class FrontExchange {
 public:
  FrontExchange(FrontConnection& connection, HttpHead head, std::string body, Instant receivedAt);
  FrontExchange(const FrontExchange&) = delete;
  FrontExchange& operator=(const FrontExchange&) = delete;

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return *body_; }
  const SharedBytes& sharedBody() const { return body_; }
  /// \brief When the request was completely received.
  Instant receivedAt() const { return receivedAt_; }

  /// \brief Sends a complete response.
  void respond(int status, const HttpFields& fields, std::string_view body);
  /// \brief Sends the head of a response whose body is streamed.
  void startStream(int status, const HttpFields& fields);
  void sendStreamData(std::string_view bytes);
  /// \brief Ends a streamed response as complete.
  void endStream();
  /// \brief Ends the connection in a way that shows the caller that the response is incomplete.
  void abortResponse();

  /// \brief Counts one more copy of the body as held until the response has ended.
  void noteBodyCopied();
  bool callerDisconnected() const { return connection_ == nullptr; }
  /// \brief Called immediately when the caller disconnects before the response has ended.
  std::function<void()> onCallerDisconnected;

 private:
  friend class FrontConnection;

  HttpHead head_;
  SharedBytes body_;
  Instant receivedAt_;
  /// Null after the response has ended or the caller has disconnected.
  FrontConnection* connection_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTEXCHANGE_H
