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

constexpr std::size_t kWatchers = 2;
constexpr Millis kWatchWait{2'000};
constexpr Millis kHostsPeriod{1'000};
/// A daemon that does not watch still asks now and then whether the platform answers.
constexpr Millis kOffDutyHostsPeriod{10'000};
constexpr Millis kRetryPause{250};
constexpr Millis kOffDutyPause{500};
constexpr std::size_t kPage = 200;
constexpr std::string_view kNoticePrefix = "notices/";

}  // namespace

PlatformFollower::PlatformFollower(PlatformPort& platform, SettingsEditor& editor, Control& control,
                                   PlatformHealth& health, Metrics& metrics)
    : platform_(platform), editor_(editor), control_(control), health_(health), metrics_(metrics) {}

PlatformFollower::~PlatformFollower() {
  stop();
}

void PlatformFollower::start() {
  threads_.emplace_back([this] { followSettings(); });
  threads_.emplace_back([this] { followNotices(); });
  threads_.emplace_back([this] { followHosts(); });
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

bool PlatformFollower::pause(Millis time) {
  std::unique_lock lock(mutex_);
  return !stopped_.wait_for(lock, time, [this] { return stopping_; });
}

bool PlatformFollower::onDuty() {
  return control_.isResponsibleFor("watch", kWatchers);
}

void PlatformFollower::count(std::string_view kind) {
  metrics_.add("hallchute_platform_calls_total", "kind=\"" + std::string(kind) + "\"");
}

bool PlatformFollower::note(bool answered) {
  if (answered) health_.recordAnswer(clockNow());
  return answered;
}

void PlatformFollower::followSettings() {
  while (!loadSettings() && pause(kRetryPause)) {
  }
  std::uint64_t since = 0;
  while (pause(Millis(0))) {
    if (!onDuty()) {
      since = 0;
      if (!pause(kOffDutyPause)) return;
      continue;
    }
    // A watch that starts late may have missed changes: the list fills the gap.
    if (since == 0 && !loadSettings()) {
      if (!pause(kRetryPause)) return;
      continue;
    }
    count("watch");
    const auto reply = platform_.watch(kChangePrefix, since, kWatchWait);
    const auto* done = std::get_if<Done<ObjectList>>(&reply);
    if (!note(done != nullptr)) {
      since = 0;
      if (!pause(kRetryPause)) return;
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
  count("read");
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
    count("list");
    const auto reply = editor_.history(before, kPage);
    const auto* done = std::get_if<Done<std::vector<SettingsChange>>>(&reply);
    if (!note(done != nullptr)) return false;
    for (const SettingsChange& change : done->value) control_.applyChange(change);
    if (done->value.size() < kPage || control_.revision() == before) return true;
  }
}

void PlatformFollower::followNotices() {
  std::uint64_t since = 0;
  while (pause(Millis(0))) {
    if (!onDuty()) {
      since = 0;
      if (!pause(kOffDutyPause)) return;
      continue;
    }
    count(since == 0 ? "list" : "watch");
    const bool answered =
        takeNotices(since == 0 ? platform_.list(kNoticePrefix, "", kPage)
                               : platform_.watch(kNoticePrefix, since, kWatchWait),
                    since);
    if (!note(answered) && !pause(kRetryPause)) return;
  }
}

bool PlatformFollower::takeNotices(const PlatformReply<ObjectList>& reply, std::uint64_t& since) {
  const auto* done = std::get_if<Done<ObjectList>>(&reply);
  if (done == nullptr) {
    since = 0;
    return false;
  }
  since = std::max<std::uint64_t>(done->value.version, 1);
  for (const StoredObject& object : done->value.objects) takeNotice(object);
  return true;
}

void PlatformFollower::takeNotice(const StoredObject& object) {
  Findings findings;
  const JsonObject json = parseJsonObject(object.value, findings);
  if (!json) return;
  const UpstreamId host(json->optValue<std::string>("host", ""));
  const auto end = json->optValue<std::int64_t>("endsAtMs", 0);
  const Millis left(std::max<std::int64_t>(0, end - wallClockMs()));
  control_.noteLeave({host, left, LeaveSource::notice});
}

void PlatformFollower::followHosts() {
  Millis sinceAsked = kOffDutyHostsPeriod;
  while (pause(Millis(0))) {
    bool answered = true;
    if (sinceAsked >= kOffDutyHostsPeriod || onDuty()) {
      count("hosts");
      const auto reply = platform_.hosts();
      const auto* done = std::get_if<Done<HostList>>(&reply);
      answered = note(done != nullptr);
      if (answered) control_.updateHosts(done->value);
      sinceAsked = answered ? Millis(0) : kOffDutyHostsPeriod;
    }
    const Millis period = answered ? kHostsPeriod : kRetryPause;
    if (!pause(period)) return;
    sinceAsked += period;
  }
}

}  // namespace Hallchute
