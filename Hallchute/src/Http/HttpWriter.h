// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_HTTP_HTTPWRITER_H
#define HALLCHUTE_HTTP_HTTPWRITER_H

#include <string>
#include <string_view>

#include "Hallchute/src/Http/HttpFields.h"

namespace Hallchute {

/// \brief The bytes of a request with its whole body.
/// \ingroup Http
/// \param fields without framing: the length is added here.
std::string requestBytes(std::string_view method, std::string_view target, const HttpFields& fields,
                         std::string_view body);

/// \brief Whether the connection stays open after an answer.
/// \ingroup Http
enum class AfterAnswer { keep, close };

/// \brief The bytes of an answer with its whole body.
/// \ingroup Http
/// \param withBody false for the answer to a HEAD request: the length is told, nothing is sent.
std::string answerBytes(int status, const HttpFields& fields, std::string_view body,
                        AfterAnswer after, bool withBody = true);

/// \brief The head of an answer whose body follows in chunks.
/// \ingroup Http
std::string chunkedHeadBytes(int status, const HttpFields& fields, AfterAnswer after);

/// \brief One chunk of a body; \p bytes must not be empty.
/// \ingroup Http
std::string chunkBytes(std::string_view bytes);

/// \brief What ends a chunked body.
/// \ingroup Http
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace Hallchute

#endif  // HALLCHUTE_HTTP_HTTPWRITER_H
