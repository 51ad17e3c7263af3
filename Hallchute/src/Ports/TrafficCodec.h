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

/// \brief A part of a prompt; requests that start with the same parts share the engine's prefix
/// cache. \ingroup Ports
struct PromptPart {
  std::string id;
  std::uint64_t tokens = 0;
};

/// \brief The metadata in a caller's request. \ingroup Ports
struct ClientRequest {
  RequestId id;
  /// How long the caller waits, counted from when it sent the request.
  std::optional<Millis> deadline;
  /// The bearer token; empty if there is none.
  std::string key;
  std::vector<PromptPart> prompt;
  /// Length of the prompt; nothing if the request does not state it.
  std::optional<std::uint64_t> promptTokens;
  std::uint64_t maxOutputTokens = 0;
  /// The last event that the caller has of a stream that broke off; empty in a new request.
  std::string lastEventId{};
  /// The attempt in which the caller got the first event of that stream; empty if it doesn't say.
  RequestId resumes{};

  /// \brief The attempt that brought the first event of the stream that the caller goes on with;
  /// this one otherwise.
  const RequestId& firstAttempt() const { return resumes.empty() ? id : resumes; }
  /// \brief Whether the caller goes on with a stream that began in an earlier attempt.
  bool resumesStream() const { return !lastEventId.empty() || !resumes.empty(); }
};

/// \brief Metadata sent to an upstream along with the request. \ingroup Ports
struct DispatchMetadata {
  Millis remaining{0};
  UpstreamId upstream;
  /// Empty on a route that needs no API key.
  OrganisationName organisation;
  /// 0 is the most urgent; if unset, the upstream applies its default.
  std::optional<int> urgency;
  /// The event after which a stream resumes; empty for a first run.
  std::string lastEventId;
  /// Address of an upstream to copy the cached parts of the prompt from; empty if none.
  std::string cacheSource;
};

/// \brief The metadata in the head of an upstream's response. \ingroup Ports
struct UpstreamResponse {
  RequestId id;
  /// The upstream states that it did not run the request; alone this is no proof, see
  /// ExecutionProof.
  bool statesNotExecuted = false;
  /// The address now belongs to another upstream than the expected one.
  bool misdirected = false;
  /// The response has a signature field.
  bool hasSignature = false;
  /// Requests a second that the upstream accepts from all daemons together; nothing if it names no
  /// limit.
  std::optional<double> requestLimit;
  /// Rejections a second, over all daemons, with more of which the upstream fails; nothing if it
  /// names none.
  std::optional<double> rejectionLimit;
  /// How long this daemon must not send the upstream requests; zero if it doesn't say.
  Millis retryAfter{0};
  /// The upstream will end and wants no new requests.
  bool draining = false;
};

/// \brief Reads and writes the header fields exchanged with callers and upstreams. \ingroup Ports
///
/// Implemented by the adapter of a platform; must be free of side effects.
class TrafficCodec {
 public:
  TrafficCodec() = default;
  TrafficCodec(const TrafficCodec&) = delete;
  TrafficCodec& operator=(const TrafficCodec&) = delete;
  virtual ~TrafficCodec() = default;

  virtual ClientRequest readRequest(const HttpHead& head) const = 0;
  /// \brief The header fields for an upstream: the caller's, except those that are overridden or
  /// removed.
  virtual HttpFields dispatchFields(const HttpHead& head, const DispatchMetadata& terms) const = 0;
  virtual UpstreamResponse readAnswer(const HttpHead& head) const = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_PORTS_TRAFFICCODEC_H
