// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_OBJECTSOURCE_H
#define HALLCHUTE_PORTS_OBJECTSOURCE_H

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Ports/ReadConsistency.h"
#include "Hallchute/src/Settings/JsonTree.h"

namespace Hallchute {

/// \brief An object of a platform's store, or that it was deleted. \ingroup Ports
struct SourceObject {
  std::string name;
  /// Of its last change.
  std::uint64_t revision = 0;
  JsonObject content;
  bool deleted = false;
};

/// \brief Objects and the store's revision they are as of. \ingroup Ports
struct SourceBatch {
  std::vector<SourceObject> objects;
  std::uint64_t asOf = 0;
};

/// \brief The objects of one kind in a platform's store: a list, and what changes after it.
/// \ingroup Ports
///
/// Calls block; one thread a source. Errors: `Unavailable` and `DeadlineExceeded` where the store
/// doesn't answer, `OutOfRange` where its history no longer reaches back to the revision.
class ObjectSource {
 public:
  ObjectSource() = default;
  ObjectSource(const ObjectSource&) = delete;
  ObjectSource& operator=(const ObjectSource&) = delete;
  virtual ~ObjectSource() = default;

  virtual absl::StatusOr<SourceBatch> list(ReadConsistency consistency) = 0;
  /// \brief Changes after \p revision; an empty batch if none came within \p wait.
  virtual absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis wait) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_OBJECTSOURCE_H
