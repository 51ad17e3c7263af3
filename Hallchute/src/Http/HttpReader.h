// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_HTTPREADER_H
#define HALLCHUTE_HTTP_HTTPREADER_H

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "Hallchute/src/Http/HttpFields.h"

namespace Hallchute {

/// \brief The start line and header fields of a request or response.
/// \ingroup Http
struct HttpHead {
  /// Empty for a response.
  std::string method;
  std::string target;
  /// 0 for a request.
  int status = 0;
  /// 11 for HTTP/1.1, 10 for HTTP/1.0.
  int version = 11;
  HttpFields fields;
  /// Whether the sender keeps the connection open after this message.
  bool keepAlive = false;
  /// Whether the body is delimited by the end of the connection.
  bool bodyEndsAtClose = false;

  /// \brief Whether the body is a stream of events, by its content type.
  bool holdsEvents() const;
  /// \brief Approximate memory that the head takes, in bytes. Many short fields take far more than
  /// they have bytes.
  std::size_t heldBytes() const;
};

/// \brief The state of a reader after the bytes it was given.
/// \ingroup Http
enum class HttpProgress {
  needsMore,
  complete,
  /// Not a valid HTTP message, or one with ambiguous framing.
  malformed,
  /// The start line and the fields exceed the limit in bytes or in number.
  headTooLarge,
  bodyTooLarge,
  /// A chunk's size and extensions, the trailers, or all of these together are too long.
  framingTooLarge,
};

/// \brief Whether a reader parses requests or responses.
/// \ingroup Http
enum class HttpMessageType { requests, responses };

/// \brief Limits of a message. \ingroup Http
struct HttpReaderLimits {
  /// Bytes of the start line and the fields together.
  std::uint32_t headBytes = 16U << 10U;
  std::uint64_t bodyBytes = 4U << 20U;
  /// Number of fields. They are bounded by the bytes of the head in any case.
  std::size_t fields = std::numeric_limits<std::size_t>::max();
};

/// \brief Incremental parser of one message; performs no I/O.
/// \ingroup Http
///
/// Based on Boost.Beast's parser, as POCO's reads from blocking streams only. Strict: a message
/// with two lengths, with a transfer coding other than `chunked`, or with a status below 100 or of
/// 101 is malformed. A status of 600 or above is passed on like a server error. Bytes after the
/// message are left in the buffer. The size and extensions of one chunk and the trailers are
/// limited like a head; all of them together to that plus a multiple of the body so far, so that
/// no message is endless whose body grows slowly or not at all.
class HttpReader {
 public:
  HttpReader(HttpMessageType messageType, HttpReaderLimits limits);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;

  /// \brief Parses bytes from the front of \p buffer and removes them.
  HttpProgress read(std::string& buffer);
  /// \brief Signals the end of the connection. \returns `complete` if that completes the message.
  HttpProgress end();
  /// \brief Expects a response without a body regardless of its fields, as to a HEAD request.
  void expectNoBody();

  bool hasHead() const;
  /// \brief Whether any byte of the message has been read, even of a partial head.
  bool started() const;
  const HttpHead& head() const;
  /// \brief Returns and removes the head.
  HttpHead takeHead();
  /// \brief Returns and removes the body bytes read since the last call.
  std::string takeBody();
  /// \brief Approximate memory of the head and the body bytes that were not taken, in bytes.
  std::size_t heldBytes() const;

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPREADER_H
