// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontExchange.h"

#include <utility>

#include "Hallchute/src/Front/FrontConnection.h"

namespace Hallchute {

FrontExchange::FrontExchange(FrontConnection& connection, HttpHead head, std::string body,
                             Instant receivedAt)
    : head_(std::move(head)),
      body_(std::make_shared<const std::string>(std::move(body))),
      receivedAt_(receivedAt),
      connection_(&connection) {}

void FrontExchange::noteBodyCopied() {
  if (connection_ != nullptr) connection_->noteBodyCopied(body_->size());
}

void FrontExchange::respond(int status, const HttpFields& fields, std::string_view body) {
  if (connection_ == nullptr) return;
  std::exchange(connection_, nullptr)->respond(status, fields, body);
}

void FrontExchange::startStream(int status, const HttpFields& fields) {
  if (connection_ != nullptr) connection_->startStream(status, fields);
}

void FrontExchange::sendStreamData(std::string_view bytes) {
  if (connection_ != nullptr) connection_->sendStreamData(bytes);
}

void FrontExchange::endStream() {
  if (connection_ != nullptr) std::exchange(connection_, nullptr)->endStream();
}

void FrontExchange::abortResponse() {
  if (connection_ != nullptr) std::exchange(connection_, nullptr)->abortResponse();
}

}  // namespace Hallchute
