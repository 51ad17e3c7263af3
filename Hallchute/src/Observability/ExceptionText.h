// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_EXCEPTIONTEXT_H
#define HALLCHUTE_OBSERVABILITY_EXCEPTIONTEXT_H

#include <exception>
#include <string>

namespace Hallchute {

/// \brief What an exception says, for a log line. \ingroup Observability
///
/// what() of Poco's exceptions names their class alone.
std::string exceptionText(const std::exception& exception);

}  // namespace Hallchute

#endif  // HALLCHUTE_OBSERVABILITY_EXCEPTIONTEXT_H
