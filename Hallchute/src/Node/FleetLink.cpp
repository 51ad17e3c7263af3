// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/FleetLink.h"

#include <utility>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Net/WireCodec.h"
#include "Hallchute/src/Node/FleetWire.h"
#include "Hallchute/src/Observability/LogLine.h"

namespace Hallchute {
namespace {

constexpr std::string_view kReportPath = "/fleet/report";
constexpr std::string_view kSnapshotPath = "/fleet/snapshot";

}  // namespace

FleetLink::FleetLink(EventLoop& loop, const std::string& listen, const std::string& fleet,
                     Callbacks callbacks, Metrics& metrics)
    : callbacks_(std::move(callbacks)), transport_(loop, listen, fleet, &metrics) {
  transport_.serve(kReportPath, [this](const PeerStreamPtr& stream) {
    stream->onMessage = [this](std::string_view message) {
      const auto report = unpack<FleetReport>(message);
      if (report) {
        callbacks_.onReport(*report);
      } else {
        LogLine(LogLevel::warning, "fleet.unreadable").with("bytes", message.size());
      }
    };
  });
  transport_.serve(kSnapshotPath, [this](const PeerStreamPtr& stream) {
    // The transport owns the stream until it closes; a strong reference would be a cycle.
    stream->onMessage = [this, weak = std::weak_ptr(stream)](std::string_view message) {
      const PeerStreamPtr open = weak.lock();
      const auto request = unpack<SnapshotRequest>(message);
      if (!open || !request) return;
      open->send(pack(callbacks_.snapshot(*request)));
      open->finish();
    };
  });
}

FleetLink::~FleetLink() = default;

void FleetLink::sendReports(const std::vector<AddressedReport>& reports) {
  std::map<std::string, PeerStreamPtr> openStreams;
  for (const AddressedReport& addressed : reports) {
    const std::string message = pack(addressed.report);
    const auto it = streams_.find(addressed.address);
    PeerStreamPtr stream = it == streams_.end() ? nullptr : it->second;
    if (stream && stream->isOpen()) {
      stream->send(message);
    } else {
      stream = transport_.open(addressed.address, kReportPath, message);
    }
    openStreams[addressed.address] = stream;
  }
  for (const auto& [address, stream] : streams_) {
    if (!openStreams.contains(address)) stream->close();
  }
  streams_ = std::move(openStreams);
}

void FleetLink::requestSnapshot(const std::string& address, const SnapshotRequest& request,
                                std::function<void(const FleetSnapshot&)> onSnapshot) {
  const PeerStreamPtr stream = transport_.open(address, kSnapshotPath, pack(request));
  stream->onMessage = [onSnapshot = std::move(onSnapshot)](std::string_view message) {
    const auto snapshot = unpack<FleetSnapshot>(message);
    if (snapshot) onSnapshot(*snapshot);
  };
}

}  // namespace Hallchute
