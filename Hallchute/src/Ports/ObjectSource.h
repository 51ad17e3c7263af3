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

/// \brief An object in the platform's store, or a record of its deletion. \ingroup Ports
struct SourceObject {
  std::string name;
  /// Store revision of the last change to the object.
  std::uint64_t revision = 0;
  JsonObject content;
  bool deleted = false;
  /// What programs report of the object; null if there is none.
  JsonObject status{};
};

/// \brief Objects, and the store revision that they reflect. \ingroup Ports
struct SourceBatch {
  std::vector<SourceObject> objects;
  std::uint64_t asOf = 0;
};

/// \brief Lists and watches the objects of one kind in the platform's store.
/// \ingroup Ports
///
/// Calls block; not thread-safe. Errors: `Unavailable` and `DeadlineExceeded` if the store does not
/// respond, `OutOfRange` if its history no longer covers the revision.
class ObjectSource {
 public:
  ObjectSource() = default;
  ObjectSource(const ObjectSource&) = delete;
  ObjectSource& operator=(const ObjectSource&) = delete;
  virtual ~ObjectSource() = default;

  virtual absl::StatusOr<SourceBatch> list(ReadConsistency consistency) = 0;
  /// \brief Changes after \p revision; an empty batch if there are none within \p wait.
  virtual absl::StatusOr<SourceBatch> watch(std::uint64_t revision, Millis wait) = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_OBJECTSOURCE_H
