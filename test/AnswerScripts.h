// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_TEST_ANSWERSCRIPTS_H
#define HALLCHUTE_TEST_ANSWERSCRIPTS_H

#include <string>

namespace Hallchute {

// Bytes for UpstreamScript: answers of upstreams, whole or in parts.

inline const std::string kSignedHead =
    "HTTP/1.1 200 OK\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Replica-Signature: s\r\n";
/// The answer to a plain request.
inline const std::string kPlainAnswer = kSignedHead + "Content-Length: 2\r\n\r\nok";
/// The answer of an upstream that did not run the request.
inline const std::string kRejection =
    "HTTP/1.1 503 X\r\nHallchute-Attempt-Id: {id}\r\nHallchute-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
/// What a stream of events begins with; it is sent in chunks.
inline const std::string kStreamHead =
    kSignedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kStreamEnd = "0\r\n\r\n";

/// \brief A chunk with one event. \param id one digit.
inline std::string eventChunk(int id) {
  return "f\r\nid: " + std::to_string(id) + "\ndata: a\n\n\r\n";
}

}  // namespace Hallchute

#endif  // HALLCHUTE_TEST_ANSWERSCRIPTS_H
