// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTEXCHANGE_H
#define HALLCHUTE_FRONT_FRONTEXCHANGE_H

#include <functional>
#include <string>
#include <string_view>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/HttpReader.h"

namespace Hallchute {

class FrontConnection;

/// \brief One request of a caller and its answer. Traffic thread only.
/// \ingroup Front
///
/// After the caller left, everything sent here goes nowhere.
class FrontExchange {
 public:
  FrontExchange(FrontConnection& connection, HttpHead head, std::string body, Instant receivedAt);
  FrontExchange(const FrontExchange&) = delete;
  FrontExchange& operator=(const FrontExchange&) = delete;

  const HttpHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  /// \brief When the request was whole.
  Instant receivedAt() const { return receivedAt_; }

  /// \brief Sends the whole answer.
  void respond(int status, const HttpFields& fields, std::string_view body);
  /// \brief Sends the head of an answer whose body comes in pieces.
  void startStream(int status, const HttpFields& fields);
  void sendStreamData(std::string_view bytes);
  /// \brief Ends the answer as complete.
  void endStream();
  /// \brief Ends the connection so that the answer can't be taken for complete.
  void abortResponse();

  bool callerDisconnected() const { return connection_ == nullptr; }
  /// \brief Called at once when the caller closes its connection before the answer ended.
  std::function<void()> onCallerDisconnected;

 private:
  friend class FrontConnection;

  HttpHead head_;
  std::string body_;
  Instant receivedAt_;
  /// Null after the answer ended or the caller left.
  FrontConnection* connection_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTEXCHANGE_H
