// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_NET_PEERMESSAGES_H
#define HALLCHUTE_NET_PEERMESSAGES_H

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "Hallchute/src/Admission/GrantRequest.h"
#include "Hallchute/src/Core/Refusal.h"
#include "Hallchute/src/Membership/GossipMessage.h"
#include "Hallchute/src/Membership/HostListEntry.h"
#include "Hallchute/src/Net/WireCodec.h"
#include "Hallchute/src/Routing/ShardKey.h"

/// \file
/// \brief The messages between daemons. Each stream starts with one request message, whose type
/// follows from the path. The order of the members in wireFields() is the wire format.

namespace Hallchute {

/// \brief Paths of the streams between daemons. \ingroup Net
namespace PeerPath {
inline constexpr std::string_view kProbe = "/probe";
inline constexpr std::string_view kGrant = "/grant";
inline constexpr std::string_view kReregisterGrant = "/hold";
inline constexpr std::string_view kSettings = "/settings";
inline constexpr std::string_view kHosts = "/hosts";
inline constexpr std::string_view kHandOver = "/handover";
inline constexpr std::string_view kAttach = "/attach";
}  // namespace PeerPath

/// \brief Opens a grant stream. \ingroup Net
struct GrantRequestMessage {
  ShardKey shard;
  GrantRequest wanted;
  /// Time left until `wanted.deadline`, which is not sent: monotonic clocks of hosts differ.
  Millis remaining{0};
};

/// \brief State of a grant request as replied by the shard owner. \ingroup Net
enum class GrantReplyKind : std::uint8_t { queued, granted, refused };

/// \ingroup Net
struct GrantReplyMessage {
  GrantReplyKind kind = GrantReplyKind::queued;
  UpstreamId upstream;
  Refusal refusal;
};

/// \brief Reports to the shard owner that granted work has produced its first token, or has ended.
/// \ingroup Net
struct GrantProgressMessage {
  bool ended = false;
  GrantEnd end = GrantEnd::cancelled;
};

/// \brief Registers a grant made by a previous shard owner with the current one, for as long as the
/// stream is open. \ingroup Net
struct ReregisterGrantMessage {
  ShardKey shard;
  ExistingGrant held;
};

/// \brief Requests the settings changes after a revision. \ingroup Net
struct SettingsRequestMessage {
  std::uint64_t revision = 0;
};

/// \brief Changes in order, or a snapshot if the change log no longer covers the requested
/// revision. \ingroup Net
struct SettingsReplyMessage {
  std::uint64_t snapshotRevision = 0;
  std::string snapshot;
  std::vector<std::string> changes;
};

/// \ingroup Net
struct HostsRequestMessage {
  std::uint64_t version = 0;
};

/// \ingroup Net
struct HostsReplyMessage {
  std::uint64_t version = 0;
  std::vector<HostListEntry> hosts;
};

/// \brief Hands a request over to a peer, which replies whether it accepted it. \ingroup Net
struct HandOverMessage {
  std::string record;
};

/// \ingroup Net
struct HandOverReplyMessage {
  bool taken = false;
};

/// \brief Requests the tokens of an answer from an offset on. \ingroup Net
struct AttachMessage {
  RequestId request;
  OrganisationName organisation;
  std::uint64_t offset = 0;
};

/// \brief The next tokens of an attached answer. \ingroup Net
struct AttachReplyMessage {
  bool found = false;
  bool chat = true;
  ServiceName service;
  std::vector<std::string> tokens;
  bool finished = false;
  std::optional<Refusal> refusal;
};

inline auto wireFields(Refusal& m) {
  return std::tie(m.reason, m.detail, m.outcome, m.retryAfter);
}
inline auto wireFields(ShardKey& m) {
  return std::tie(m.service, m.domain, m.index);
}
inline auto wireFields(GrantRequest& m) {
  return std::tie(m.id, m.organisation, m.weight, m.priority, m.promptTokens, m.expectedTokens,
                  m.affinity, m.prefixHashes, m.failedUpstreams, m.resumption);
}
inline auto wireFields(ExistingGrant& m) {
  return std::tie(m.id, m.upstream, m.organisation, m.tokens);
}
inline auto wireFields(GrantRequestMessage& m) {
  return std::tie(m.shard, m.wanted, m.remaining);
}
inline auto wireFields(GrantReplyMessage& m) {
  return std::tie(m.kind, m.upstream, m.refusal);
}
inline auto wireFields(GrantProgressMessage& m) {
  return std::tie(m.ended, m.end);
}
inline auto wireFields(ReregisterGrantMessage& m) {
  return std::tie(m.shard, m.held);
}
inline auto wireFields(MemberStatus& m) {
  return std::tie(m.id, m.domain, m.address, m.incarnation, m.state, m.revision, m.hostsVersion);
}
inline auto wireFields(LeaveAnnouncement& m) {
  return std::tie(m.upstream, m.remaining, m.source);
}
inline auto wireFields(GossipMessage& m) {
  return std::tie(m.sender, m.known, m.members, m.leaves);
}
inline auto wireFields(SettingsRequestMessage& m) {
  return std::tie(m.revision);
}
inline auto wireFields(SettingsReplyMessage& m) {
  return std::tie(m.snapshotRevision, m.snapshot, m.changes);
}
inline auto wireFields(HostListEntry& m) {
  return std::tie(m.host, m.role, m.domain, m.address, m.service, m.machineClass, m.pricePerHour,
                  m.reclaimable, m.leavesIn);
}
inline auto wireFields(HostsRequestMessage& m) {
  return std::tie(m.version);
}
inline auto wireFields(HostsReplyMessage& m) {
  return std::tie(m.version, m.hosts);
}
inline auto wireFields(HandOverMessage& m) {
  return std::tie(m.record);
}
inline auto wireFields(HandOverReplyMessage& m) {
  return std::tie(m.taken);
}
inline auto wireFields(AttachMessage& m) {
  return std::tie(m.request, m.organisation, m.offset);
}
inline auto wireFields(AttachReplyMessage& m) {
  return std::tie(m.found, m.chat, m.service, m.tokens, m.finished, m.refusal);
}

}  // namespace Hallchute

#endif  // HALLCHUTE_NET_PEERMESSAGES_H
