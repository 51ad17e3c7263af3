// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_ARCHIVESTEP_H
#define HALLCHUTE_GATEWAY_ARCHIVESTEP_H

#include <cstdint>
#include <variant>

#include "Hallchute/src/Gateway/ArchivedOrigins.h"

namespace Hallchute {

/// \brief The next call of a daemon that archives streams. \ingroup Gateway
namespace ArchiveSteps {

struct Nothing {};
struct ReadArchive {};
struct ListVersions {};
struct ReadVersions {
  std::uint64_t since = 0;
};
struct Write {
  ArchivedOrigins part;
};

}  // namespace ArchiveSteps

using ArchiveStep =
    std::variant<ArchiveSteps::Nothing, ArchiveSteps::ReadArchive, ArchiveSteps::ListVersions,
                 ArchiveSteps::ReadVersions, ArchiveSteps::Write>;

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_ARCHIVESTEP_H
