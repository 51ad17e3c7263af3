// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_DAEMON_CONTROL_H
#define HALLCHUTE_DAEMON_CONTROL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Daemon/Gossip.h"
#include "Hallchute/src/Daemon/GrantBroker.h"
#include "Hallchute/src/Daemon/ShardOwners.h"
#include "Hallchute/src/Membership/Membership.h"
#include "Hallchute/src/Membership/UpstreamDirectory.h"
#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/PeerTransport.h"
#include "Hallchute/src/Ports/PlatformPort.h"
#include "Hallchute/src/Settings/ChangeLog.h"

namespace Hallchute {

class JobTable;
class Metrics;
class SettingsStore;
struct StartupFile;

/// \brief A look at the control state, for operators.
/// \ingroup Daemon
struct ControlView {
  std::uint64_t revision = 0;
  std::uint64_t hostsVersion = 0;
  MemberStatus self;
  std::vector<Member> others;
  std::vector<UpstreamInfo> upstreams;
  std::vector<ShardOwners::Load> shards;
  std::size_t grantsHeld = 0;
  std::uint64_t peerBytesSent = 0;
  std::uint64_t peerBytesReceived = 0;
};

/// \brief The control state of a daemon and the thread that owns it.
/// \ingroup Daemon
///
/// Public functions may be called from any thread once start() was called.
class Control {
 public:
  Control(const StartupFile& startup, SettingsStore& settings, JobTable& jobs, Metrics& metrics);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  void start();
  void stop();

  GrantOutcome acquire(const GrantSpec& spec) { return broker_.acquire(spec); }
  void noteLeave(const LeaveAnnouncement& announcement);
  /// \brief As noteLeave(), and waits until a peer has it too, at most \p limit.
  /// \returns whether one has.
  bool noteLeaveAndAwaitAck(const LeaveAnnouncement& announcement, Millis limit);
  void applyChange(const SettingsChange& change);
  void applySnapshot(std::uint64_t revision, const JsonObject& json);
  void updateHosts(const HostList& hosts);
  /// \brief This daemon stops: it owns nothing any more and says so.
  void beginLeaving();
  ControlView view();
  bool mayBeAlive(const DaemonId& id);
  /// \brief Whether this daemon is one of the \p first ranked of its domain for \p duty.
  bool isResponsibleFor(std::string_view duty, std::size_t first);
  std::uint64_t revision();

  /// \brief The loop, for services that answer peers.
  EventLoop& loop() { return loop_; }
  PeerTransport& transport() { return transport_; }
  const Membership& membership() const { return membership_; }
  /// \brief Called on the loop's thread when daemons came or went.
  /// Set before start().
  void onMembersChanged(std::function<void()> task) { membersChanged_ = std::move(task); }
  /// \brief Called on the loop's thread when this daemon's own host is to go. Set before start().
  void onOwnNotice(std::function<void(Millis)> task) { ownNotice_ = std::move(task); }

 private:
  void onAction(const MembershipAction& action);
  void onLeaveHeard(const LeaveAnnouncement& announcement);
  void spreadLeave(const LeaveAnnouncement& announcement);
  void fetchSettings(const std::string& address);
  void takeSettings(const SettingsReplyMessage& reply);
  void fetchHosts(const std::string& address);
  void serveSettings(const PeerStreamPtr& stream);
  void serveHosts(const PeerStreamPtr& stream);
  void applyHosts(const HostList& hosts);
  void publishSettings();
  void directMigrations();
  void tick();

  SettingsStore& settings_;
  JobTable& jobs_;
  Metrics& metrics_;
  EventLoop loop_;
  PeerTransport transport_;
  Membership membership_;
  UpstreamDirectory directory_;
  ChangeLog changes_;
  ShardOwners owners_;
  GrantBroker broker_;
  Gossip gossip_;
  HostList hosts_;
  bool fetchingSettings_ = false;
  bool fetchingHosts_ = false;
  std::function<void()> membersChanged_;
  std::function<void(Millis)> ownNotice_;
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CONTROL_H
