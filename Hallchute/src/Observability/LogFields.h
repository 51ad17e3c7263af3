// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_OBSERVABILITY_LOGFIELDS_H
#define HALLCHUTE_OBSERVABILITY_LOGFIELDS_H

#include <string_view>

namespace Hallchute::internal {

/// \brief The members that LogLine adds to every line, as JSON that begins with a comma; empty
/// before startLogging(). \ingroup Observability
std::string_view logLineFields();

}  // namespace Hallchute::internal

#endif  // HALLCHUTE_OBSERVABILITY_LOGFIELDS_H
