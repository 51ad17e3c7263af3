// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_CORE_SHAREDBYTES_H
#define HALLCHUTE_CORE_SHAREDBYTES_H

#include <memory>
#include <string>

namespace Hallchute {

/// \brief Bytes that several components hold without copying them; null for none.
/// \ingroup Core
using SharedBytes = std::shared_ptr<const std::string>;

}  // namespace Hallchute

#endif  // HALLCHUTE_CORE_SHAREDBYTES_H
