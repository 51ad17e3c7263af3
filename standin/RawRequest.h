// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_STANDIN_RAWREQUEST_H
#define HALLCHUTE_STANDIN_RAWREQUEST_H

#include <string>

namespace Standin {

/// \brief The value of a header field in a request's bytes; empty if there is none.
std::string fieldOf(const std::string& head, const std::string& name);

/// \brief Removes one request with a Content-Length, or without a body, from the front of \p in.
/// \returns its bytes; empty if it is incomplete.
std::string takeRequest(std::string& in);

/// \brief The body of a complete request.
std::string bodyOf(const std::string& request);

}  // namespace Standin

#endif  // HALLCHUTE_STANDIN_RAWREQUEST_H
