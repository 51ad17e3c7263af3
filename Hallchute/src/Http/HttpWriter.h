// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_HTTPWRITER_H
#define HALLCHUTE_HTTP_HTTPWRITER_H

#include <string>
#include <string_view>

#include "Hallchute/src/Http/HttpFields.h"

namespace Hallchute {

/// \brief Serialises the head of a request with a body of \p bodyBytes bytes.
/// \ingroup Http
/// \param fields without framing fields: Content-Length is added.
std::string requestHeadBytes(std::string_view method, std::string_view target,
                             const HttpFields& fields, std::size_t bodyBytes);

/// \brief Whether the connection stays open after a response.
/// \ingroup Http
enum class ConnectionPersistence { keep, close };

/// \brief Serialises a response with its complete body.
/// \ingroup Http
/// \param withBody false for the response to a HEAD request: Content-Length is sent without the
/// body.
std::string responseBytes(int status, const HttpFields& fields, std::string_view body,
                          ConnectionPersistence persistence, bool withBody = true);

/// \brief Serialises the head of a response with chunked transfer coding.
/// \ingroup Http
std::string chunkedHeadBytes(int status, const HttpFields& fields,
                             ConnectionPersistence persistence);

/// \brief Serialises one chunk of a body; \p bytes must not be empty.
/// \ingroup Http
std::string chunkBytes(std::string_view bytes);

/// \brief The last chunk, which ends a chunked body.
/// \ingroup Http
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPWRITER_H
