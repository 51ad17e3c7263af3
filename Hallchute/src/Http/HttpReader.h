// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_HTTPREADER_H
#define HALLCHUTE_HTTP_HTTPREADER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "Hallchute/src/Http/HttpFields.h"

namespace Hallchute {

/// \brief The start line and fields of a request or of an answer.
/// \ingroup Http
struct HttpHead {
  /// Empty for an answer.
  std::string method;
  std::string target;
  /// 0 for a request.
  int status = 0;
  /// 11 for HTTP/1.1, 10 for HTTP/1.0.
  int version = 11;
  HttpFields fields;
  /// Whether the sender keeps the connection after this message.
  bool keepAlive = false;
  /// Whether only the end of the connection ends the body.
  bool bodyEndsAtClose = false;
};

/// \brief What a reader makes of the bytes it was given.
/// \ingroup Http
enum class HttpProgress {
  needsMore,
  complete,
  /// The bytes form no HTTP message, or one with two meanings.
  malformed,
  headTooLarge,
  bodyTooLarge,
};

/// \brief Which side of an exchange a reader reads.
/// \ingroup Http
enum class HttpMessageType { requests, responses };

/// \brief Limits of a message. \ingroup Http
struct HttpReaderLimits {
  /// Bytes of start line and fields together.
  std::uint32_t headBytes = 16U << 10U;
  std::uint64_t bodyBytes = 4U << 20U;
};

/// \brief Reads one message from bytes as they come; does no I/O.
/// \ingroup Http
///
/// Boost.Beast's parser does the work: POCO's reads from blocking streams only. Strict: a message
/// with two lengths, or with a transfer coding other than `chunked`, is malformed. Bytes after the
/// message stay with the caller.
class HttpReader {
 public:
  HttpReader(HttpMessageType side, HttpReaderLimits limits);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;

  /// \brief Takes bytes off the front of \p buffer.
  HttpProgress read(std::string& buffer);
  /// \brief The connection ended: `complete` if that is how the message ends.
  HttpProgress end();
  /// \brief The answer has no body whatever its fields say: it answers a HEAD request.
  void expectNoBody();

  bool hasHead() const;
  /// \brief Whether any byte of the message was seen, a partial head included.
  bool started() const;
  const HttpHead& head() const;
  /// \brief The body read so far, without what takeBody() gave.
  std::string takeBody();

 private:
  class Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPREADER_H
