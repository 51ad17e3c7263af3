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

/// \brief A snapshot of the control state, for operators.
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
/// Public functions may be called from any thread after start().
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
  /// \brief As noteLeave(), and waits at most \p limit until a peer has acknowledged the
  /// announcement.
  /// \returns whether a peer has acknowledged it.
  bool noteLeaveAndAwaitAck(const LeaveAnnouncement& announcement, Millis limit);
  void applyChange(const SettingsChange& change);
  void applySnapshot(std::uint64_t revision, const JsonObject& json);
  void updateHosts(const HostList& hosts);
  /// \brief Marks this daemon as leaving: it owns no shards from now on and announces its leave.
  void announceOwnLeave();
  ControlView view();
  bool mayBeAlive(const DaemonId& id);
  /// \brief Whether this daemon is among the first \p rankLimit of the rendezvous ranking of its
  /// failure domain for \p task.
  bool isResponsibleFor(std::string_view task, std::size_t rankLimit);
  std::uint64_t revision();

  /// \brief The event loop, for services that answer peers.
  EventLoop& loop() { return loop_; }
  PeerTransport& transport() { return transport_; }
  const Membership& membership() const { return membership_; }
  /// \brief Sets the callback for daemons that joined or left; it runs on the loop's thread.
  /// Set before start().
  void onMembersChanged(std::function<void()> callback) { membersChanged_ = std::move(callback); }
  /// \brief Sets the callback for the announced leave of this daemon's own host, with the time
  /// left; it runs on the loop's thread. Set before start().
  void onOwnLeave(std::function<void(Millis)> callback) { ownLeave_ = std::move(callback); }

 private:
  void onAction(const MembershipAction& action);
  void onLeaveDiscovered(const LeaveAnnouncement& announcement);
  void disseminateLeave(const LeaveAnnouncement& announcement);
  void fetchSettings(const std::string& address);
  void applySettings(const SettingsReplyMessage& reply);
  void fetchHosts(const std::string& address);
  void serveSettings(const PeerStreamPtr& stream);
  void serveHosts(const PeerStreamPtr& stream);
  void applyHosts(const HostList& hosts);
  void publishSettings();
  void orderMigrations();
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
  HostList hostList_;
  bool fetchingSettings_ = false;
  bool fetchingHosts_ = false;
  std::function<void()> membersChanged_;
  std::function<void(Millis)> ownLeave_;
  std::thread thread_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_DAEMON_CONTROL_H
