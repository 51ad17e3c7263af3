// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FRONT_FRONTCONNECTION_H
#define HALLCHUTE_FRONT_FRONTCONNECTION_H

#include <memory>
#include <string>
#include <string_view>

#include "Hallchute/src/Http/HttpReader.h"
#include "Hallchute/src/Http/HttpWriter.h"
#include "Hallchute/src/Http/TcpChannel.h"

namespace Hallchute {

class FrontExchange;
class FrontServer;

/// \brief One caller's connection: reads whole requests, one at a time, and writes answers.
/// \ingroup Front
///
/// A connection whose bytes can't be trusted gets one last answer and no further request is read
/// from it: what follows a faulty or half-read request is never taken for another one.
class FrontConnection final : public TcpChannelOwner {
 public:
  FrontConnection(FrontServer& server, std::uint64_t id, const Poco::Net::StreamSocket& socket);
  ~FrontConnection() override;

  /// \brief Closes the connection if no request is under way.
  void closeIfIdle();
  bool busy() const { return exchange_ != nullptr; }

  // For FrontExchange.
  void respond(int status, const HttpFields& fields, std::string_view body);
  void startStream(int status, const HttpFields& fields);
  void sendStreamData(std::string_view bytes);
  void endStream();
  void abortResponse();

  void onChannelBytes(std::string_view bytes) override;
  void onChannelEnded(ChannelEnd end) override;

 private:
  enum class Phase { idle, reading, answering, closing };

  HttpReader freshReader() const;
  void readRequests();
  void noteProgress(HttpProgress progress);
  void dispatch();
  void refuse(int status);
  void answerEnded();
  void startClosing();
  void dropCaller();
  void tellCallerLeft();
  void setTimer(Millis delay, int status);
  void stopTimer();
  void timeOut(int status);
  void remove();
  AfterAnswer afterAnswer() const;

  FrontServer& server_;
  std::uint64_t id_;
  TcpChannel channel_;
  Phase phase_ = Phase::idle;
  HttpReader reader_;
  std::string in_;
  std::shared_ptr<FrontExchange> exchange_;
  std::uint64_t timer_ = 0;
  bool reusable_ = true;
  bool headRequest_ = false;
  bool chunked_ = true;
  bool continueSent_ = false;
  bool reading_ = false;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FRONT_FRONTCONNECTION_H
