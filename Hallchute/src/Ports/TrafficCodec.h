// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_PORTS_TRAFFICCODEC_H
#define HALLCHUTE_PORTS_TRAFFICCODEC_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Http/HttpReader.h"

namespace Hallchute {

/// \brief A part of a prompt; requests with the same first parts share the engine's cache of them.
/// \ingroup Ports
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
};

/// \brief What a caller's request says of itself. \ingroup Ports
struct ClientRequest {
  RequestId id;
  /// How long the caller waits from the moment it sent the request.
  std::optional<Millis> deadline;
  /// The bearer token; empty if there is none.
  std::string key;
  std::vector<PromptPart> prompt;
  /// Tokens of the prompt and the most to be generated; nothing if the request doesn't say.
  std::optional<std::uint64_t> promptTokens;
  std::uint64_t maxOutputTokens = 0;
};

/// \brief What the system tells an upstream beside the request itself. \ingroup Ports
struct DispatchMetadata {
  Millis remaining{0};
  UpstreamId upstream;
  /// Empty on a route that needs no key.
  OrganisationName organisation;
  /// 0 is the most urgent; nothing leaves the choice to the upstream.
  std::optional<int> urgency;
  /// Where a stream goes on; empty for a first run.
  std::string lastEventId;
  /// The address of an upstream from which the prompt's kept parts are copied; empty if none.
  std::string cacheSource;
};

/// \brief What the head of an upstream's answer says. \ingroup Ports
struct UpstreamResponse {
  RequestId id;
  /// The upstream promises that it did not run the request.
  bool notExecuted = false;
  /// Another upstream than the expected one lives at the address.
  bool misdirected = false;
  /// The answer bears the upstream's signature.
  bool hasSignature = false;
};

/// \brief Reads and writes the header fields of callers and upstreams. \ingroup Ports
///
/// The adapter of a platform implements it; pure.
class TrafficCodec {
 public:
  TrafficCodec() = default;
  TrafficCodec(const TrafficCodec&) = delete;
  TrafficCodec& operator=(const TrafficCodec&) = delete;
  virtual ~TrafficCodec() = default;

  virtual ClientRequest readRequest(const HttpHead& head) const = 0;
  /// \brief The fields for an upstream: the caller's own but those the system sets or hides.
  virtual HttpFields dispatchFields(const HttpHead& head, const DispatchMetadata& terms) const = 0;
  virtual UpstreamResponse readAnswer(const HttpHead& head) const = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_TRAFFICCODEC_H
