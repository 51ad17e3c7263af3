// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Front/FrontExchange.h"

#include <utility>

#include "Hallchute/src/Front/FrontConnection.h"

namespace Hallchute {

FrontExchange::FrontExchange(FrontConnection& connection, HttpHead head, std::string body,
                             Instant arrived)
    : head_(std::move(head)), body_(std::move(body)), arrived_(arrived), connection_(&connection) {}

void FrontExchange::answer(int status, const HttpFields& fields, std::string_view body) {
  if (connection_ == nullptr) return;
  std::exchange(connection_, nullptr)->answer(status, fields, body);
}

void FrontExchange::startPieces(int status, const HttpFields& fields) {
  if (connection_ != nullptr) connection_->startPieces(status, fields);
}

void FrontExchange::sendPiece(std::string_view bytes) {
  if (connection_ != nullptr) connection_->sendPiece(bytes);
}

void FrontExchange::endPieces() {
  if (connection_ != nullptr) std::exchange(connection_, nullptr)->endPieces();
}

void FrontExchange::breakOff() {
  if (connection_ != nullptr) std::exchange(connection_, nullptr)->breakOff();
}

}  // namespace Hallchute
