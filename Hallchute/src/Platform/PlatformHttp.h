// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PLATFORM_PLATFORMHTTP_H
#define HALLCHUTE_PLATFORM_PLATFORMHTTP_H

#include <string>

#include "Hallchute/src/Ports/PlatformPort.h"

namespace Hallchute {

struct HttpRequest;
struct HttpRoute;

/// \brief The platform over its HTTP API; docs/API.md describes it.
/// \ingroup Platform
class PlatformHttp final : public PlatformPort {
 public:
  /// \param source the own IP; \param limit the longest wait for a connection and for an answer.
  PlatformHttp(std::string address, std::string token, std::string source, Millis limit);

  PlatformReply<StoredObject> read(std::string_view key) override;
  PlatformReply<std::uint64_t> write(std::string_view key, std::string_view value,
                                     std::uint64_t ifVersion) override;
  PlatformReply<std::uint64_t> remove(std::string_view key, std::uint64_t ifVersion) override;
  PlatformReply<ObjectList> list(std::string_view prefix, std::string_view after,
                                 std::size_t most) override;
  PlatformReply<ObjectList> watch(std::string_view prefix, std::uint64_t since,
                                  Millis wait) override;
  PlatformReply<HostList> hosts() override;

 private:
  HttpRequest makeCall(std::string method, std::string target) const;
  HttpRoute route(Millis extraWait) const;

  std::string address_;
  std::string token_;
  std::string source_;
  Millis limit_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PLATFORM_PLATFORMHTTP_H
