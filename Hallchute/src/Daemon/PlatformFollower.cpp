// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Daemon/PlatformFollower.h"

#include <algorithm>

#include "Hallchute/src/Daemon/Control.h"
#include "Hallchute/src/Daemon/PlatformHealth.h"
#include "Hallchute/src/Daemon/SettingsEditor.h"
#include "Hallchute/src/Net/Clock.h"
#include "Hallchute/src/Observability/Log.h"
#include "Hallchute/src/Observability/Metrics.h"

namespace Hallchute {
namespace {

constexpr std::size_t kWatchersPerDomain = 2;
constexpr Millis kWatchTimeout{2'000};
constexpr Millis kHostPollPeriod{1'000};
/// Daemons that are not watchers still poll, more rarely, to check that the platform answers.
constexpr Millis kNonWatcherHostPollPeriod{10'000};
constexpr Millis kRetryDelay{250};
constexpr Millis kNonWatcherRecheckPeriod{500};
constexpr std::size_t kPageSize = 200;
constexpr std::string_view kNoticePrefix = "notices/";

}  // namespace

PlatformFollower::PlatformFollower(PlatformPort& platform, SettingsEditor& editor, Control& control,
                                   PlatformHealth& health, Metrics& metrics)
    : platform_(platform), editor_(editor), control_(control), health_(health), metrics_(metrics) {}

PlatformFollower::~PlatformFollower() {
  stop();
}

void PlatformFollower::start() {
  threads_.emplace_back([this] { watchSettings(); });
  threads_.emplace_back([this] { watchNotices(); });
  threads_.emplace_back([this] { pollHosts(); });
}

void PlatformFollower::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

bool PlatformFollower::sleepUnlessStopped(Millis time) {
  std::unique_lock lock(mutex_);
  return !stopped_.wait_for(lock, time, [this] { return stopping_; });
}

bool PlatformFollower::isWatcher() {
  return control_.isResponsibleFor("watch", kWatchersPerDomain);
}

void PlatformFollower::countCall(std::string_view kind) {
  metrics_.add("hallchute_platform_calls_total", "kind=\"" + std::string(kind) + "\"");
}

bool PlatformFollower::recordReply(bool answered) {
  if (answered) health_.recordAnswer(clockNow());
  return answered;
}

void PlatformFollower::watchSettings() {
  while (!loadSettings() && sleepUnlessStopped(kRetryDelay)) {
  }
  std::uint64_t since = 0;
  while (sleepUnlessStopped(Millis(0))) {
    if (!isWatcher()) {
      since = 0;
      if (!sleepUnlessStopped(kNonWatcherRecheckPeriod)) return;
      continue;
    }
    // Changes made before the watch starts are not delivered by it, so list them first.
    if (since == 0 && !loadSettings()) {
      if (!sleepUnlessStopped(kRetryDelay)) return;
      continue;
    }
    countCall("watch");
    const auto reply = platform_.watch(kChangePrefix, since, kWatchTimeout);
    const auto* done = std::get_if<Done<ObjectList>>(&reply);
    if (!recordReply(done != nullptr)) {
      since = 0;
      if (!sleepUnlessStopped(kRetryDelay)) return;
      continue;
    }
    since = done->value.version;
    for (const StoredObject& object : done->value.objects) {
      Findings findings;
      const SettingsChange change = parseChange(object.value, findings);
      if (change.number != 0) control_.applyChange(change);
    }
    if (!done->value.objects.empty()) loadSettings();
  }
}

void PlatformFollower::loadSnapshot() {
  countCall("read");
  const auto reply = platform_.read(kSnapshotKey);
  const auto* done = std::get_if<Done<StoredObject>>(&reply);
  if (done == nullptr) return;
  Findings findings;
  const JsonObject json = parseJsonObject(done->value.value, findings);
  if (!json || !json->getObject("settings")) return;
  control_.applySnapshot(json->optValue<std::uint64_t>("revision", 0), json->getObject("settings"));
}

bool PlatformFollower::loadSettings() {
  if (control_.revision() == 0) loadSnapshot();
  for (;;) {
    const std::uint64_t before = control_.revision();
    countCall("list");
    const auto reply = editor_.history(before, kPageSize);
    const auto* done = std::get_if<Done<std::vector<SettingsChange>>>(&reply);
    if (!recordReply(done != nullptr)) return false;
    for (const SettingsChange& change : done->value) control_.applyChange(change);
    if (done->value.size() < kPageSize || control_.revision() == before) return true;
  }
}

void PlatformFollower::watchNotices() {
  std::uint64_t since = 0;
  while (sleepUnlessStopped(Millis(0))) {
    if (!isWatcher()) {
      since = 0;
      if (!sleepUnlessStopped(kNonWatcherRecheckPeriod)) return;
      continue;
    }
    countCall(since == 0 ? "list" : "watch");
    const bool answered =
        applyNotices(since == 0 ? platform_.list(kNoticePrefix, "", kPageSize)
                                : platform_.watch(kNoticePrefix, since, kWatchTimeout),
                     since);
    if (!recordReply(answered) && !sleepUnlessStopped(kRetryDelay)) return;
  }
}

bool PlatformFollower::applyNotices(const PlatformReply<ObjectList>& reply, std::uint64_t& since) {
  const auto* done = std::get_if<Done<ObjectList>>(&reply);
  if (done == nullptr) {
    since = 0;
    return false;
  }
  since = std::max<std::uint64_t>(done->value.version, 1);
  for (const StoredObject& object : done->value.objects) applyNotice(object);
  return true;
}

void PlatformFollower::applyNotice(const StoredObject& object) {
  Findings findings;
  const JsonObject json = parseJsonObject(object.value, findings);
  if (!json) return;
  const UpstreamId host(json->optValue<std::string>("host", ""));
  const auto end = json->optValue<std::int64_t>("endsAtMs", 0);
  const Millis timeLeft(std::max<std::int64_t>(0, end - wallClockMs()));
  control_.noteLeave({host, timeLeft, LeaveSource::notice});
}

void PlatformFollower::pollHosts() {
  Millis sinceLastPoll = kNonWatcherHostPollPeriod;
  while (sleepUnlessStopped(Millis(0))) {
    bool answered = true;
    if (sinceLastPoll >= kNonWatcherHostPollPeriod || isWatcher()) {
      countCall("hosts");
      const auto reply = platform_.hosts();
      const auto* done = std::get_if<Done<HostList>>(&reply);
      answered = recordReply(done != nullptr);
      if (answered) control_.updateHosts(done->value);
      sinceLastPoll = answered ? Millis(0) : kNonWatcherHostPollPeriod;
    }
    const Millis period = answered ? kHostPollPeriod : kRetryDelay;
    if (!sleepUnlessStopped(period)) return;
    sinceLastPoll += period;
  }
}

}  // namespace Hallchute
