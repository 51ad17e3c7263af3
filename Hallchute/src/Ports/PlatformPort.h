// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_PLATFORMPORT_H
#define HALLCHUTE_PORTS_PLATFORMPORT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Membership/HostListEntry.h"
#include "Hallchute/src/Ports/PlatformReply.h"

namespace Hallchute {

/// \brief An object in the platform's object store.
/// \ingroup Ports
struct StoredObject {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

/// \brief Objects under a prefix, and the store version that they reflect.
/// \ingroup Ports
struct ObjectList {
  std::uint64_t version = 0;
  std::vector<StoredObject> objects;
};

/// \brief The platform's list of hosts; it lags behind their actual state.
/// \ingroup Ports
struct HostList {
  std::uint64_t version = 0;
  std::vector<HostListEntry> hosts;
};

/// \brief The platform's object store and host list.
/// \ingroup Ports
///
/// Calls block for at most the adapter's timeout; a watch adds its wait to that. Calls may be made
/// from any thread.
class PlatformPort {
 public:
  PlatformPort() = default;
  PlatformPort(const PlatformPort&) = delete;
  PlatformPort& operator=(const PlatformPort&) = delete;
  virtual ~PlatformPort() = default;

  virtual PlatformReply<StoredObject> read(std::string_view key) = 0;
  /// \brief Writes if the object has version \p ifVersion; 0 means that it must not exist.
  /// \returns the new version.
  virtual PlatformReply<std::uint64_t> write(std::string_view key, std::string_view value,
                                             std::uint64_t ifVersion) = 0;
  virtual PlatformReply<std::uint64_t> remove(std::string_view key, std::uint64_t ifVersion) = 0;
  /// \brief Objects whose keys start with \p prefix and sort after \p after, at most \p most.
  virtual PlatformReply<ObjectList> list(std::string_view prefix, std::string_view after,
                                         std::size_t most) = 0;
  /// \brief Objects under \p prefix written after version \p since; waits up to \p wait for one.
  virtual PlatformReply<ObjectList> watch(std::string_view prefix, std::uint64_t since,
                                          Millis wait) = 0;
  virtual PlatformReply<HostList> hosts() = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_PLATFORMPORT_H
