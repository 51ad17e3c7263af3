// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_CRASHLEDGER_H
#define HALLCHUTE_GATEWAY_CRASHLEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/CrashHistory.h"
#include "Hallchute/src/Gateway/LimitFleet.h"

namespace Hallchute {

struct CrashSuspects;

/// \brief Quarantines requests that crash upstreams. Not thread-safe; no I/O, no clock.
/// \ingroup Gateway
///
/// A request that crashes each upstream that runs it would take down one after another, as it comes
/// again with other ids at other daemons. Daemons therefore report to each other under which
/// contents upstreams broke connections, and none dispatches a content that crashed as many
/// upstream processes as the limit allows. A crash also ends the other requests that run there, so
/// that they have histories too; a run that completes on any daemon clears a content.
///
/// The same holds for parts of prompts, which requests with different contents share: such a part
/// crashes each upstream that begins an answer with it. A part with which an answer began lately,
/// on any daemon, is cleared of all crashes, so that those remain that no answer began with. One
/// may have been there by chance each time, before any answer began with it: until kTrialCrashes
/// more, a few daemons may each try a request with it now and then. Cost: one lookup per request
/// and part; at most kMaxContents contents and parts, kMaxCleared cleared ones.
class CrashLedger {
 public:
  /// Crashes of distinct upstream processes from which on a content is quarantined.
  static constexpr std::size_t kMaxCrashes = 3;
  static constexpr std::size_t kMaxContents = 4'096;
  /// Crashes beyond that, from which on a part is not tried any more.
  static constexpr std::size_t kTrialCrashes = 2;
  /// Each trial is made within a period of the fleet's shared clock, by at most kTrialDaemons.
  static constexpr Millis kTrialPeriod{1'000};
  static constexpr std::size_t kTrialDaemons = 3;
  /// Contents in one report: bounds its size when upstreams with many requests crash at once.
  static constexpr std::size_t kMaxReported = 256;
  /// Histories kept in the store: bounds the size of the record. Contents that run to their end
  /// after a crash leave it, so that few remain.
  static constexpr std::size_t kMaxStored = 64;
  /// How long a content is remembered after the last change of its history.
  static constexpr Millis kRetention = std::chrono::hours(1);
  /// How long a part is cleared after an answer began with it, unless another one begins.
  static constexpr Millis kClearedTime = std::chrono::minutes(1);
  /// Parts remembered as cleared.
  static constexpr std::size_t kMaxCleared = 8'192;

  /// \brief The limit for a part of the fleet that can't exchange reports with the rest: its share
  /// of the fleet's, at least 1. \p live of \p expected daemons report to each other.
  static std::size_t limitFor(std::size_t live, std::size_t expected);
  void setLimit(std::size_t crashes) { limit_ = crashes; }
  std::size_t limit() const { return limit_; }
  /// \brief Sets the daemons among which trials are divided.
  void setFleet(LimitFleet fleet) { fleet_ = std::move(fleet); }

  /// \brief Records that an upstream broke the connection while it may have run the content.
  /// \returns whether that puts the content in quarantine.
  bool noteCrash(RequestFingerprint content, const UpstreamIncarnation& upstream, Instant now);
  /// \brief Records a crash for the content and the parts of a request.
  /// \returns what that puts in quarantine.
  std::vector<RequestFingerprint> noteCrash(const CrashSuspects& suspects,
                                            const UpstreamIncarnation& upstream, Instant now);
  /// \brief Records that an answer began to a request with these parts in its prompt.
  void noteBegan(std::span<const RequestFingerprint> parts, Instant now);
  /// \brief Records that a request of the content ran to its end.
  void noteCompleted(RequestFingerprint content, Instant now);
  /// \brief Merges histories that another daemon reported or the store holds.
  /// \returns the contents that this puts in quarantine.
  std::vector<CrashHistory> merge(std::span<const CrashHistory> histories, Instant now);
  /// \brief The history of a content in quarantine; null if it may be dispatched.
  const CrashHistory* quarantined(RequestFingerprint content) const;
  /// \brief The history of a content or part in quarantine; null if the request may be dispatched.
  const CrashHistory* quarantined(const CrashSuspects& suspects) const;
  /// \brief Whether this daemon may try a request although parts of it are in quarantine; if so,
  /// the trial is taken.
  bool takeTrial(const CrashSuspects& suspects, Instant now);
  /// \brief The histories to report now: those that changed recently and, once a second, all with
  /// more than one crash, for daemons that start or return from a partition.
  /// \param forwards whether this daemon also passes on what others reported to it.
  std::vector<CrashHistory> report(bool forwards, Instant now);
  /// \brief The histories to keep in the store, in order of their fingerprints: all with crashes
  /// that are not refuted, as a fleet that restarts may see too few for a quarantine in each life.
  /// If there are more than kMaxStored, those with the most crashes, then the latest.
  std::vector<CrashHistory> historiesToStore() const;
  void sweep(Instant now);

 private:
  struct Entry {
    CrashHistory history;
    Instant changedAt{};
    /// When this daemon itself last observed a change.
    Instant observedAt{};
    /// The period in which this daemon last tried it.
    std::int64_t triedIn = -1;
  };

  Entry& entryOf(RequestFingerprint content, Instant now);
  static bool addCrash(CrashHistory& history, const UpstreamCrash& crash);
  void refute(Entry& entry, Instant now);
  bool mayTry(const Entry& entry, std::int64_t period) const;
  bool cleared(RequestFingerprint part, Instant now) const;
  void evictOldest();
  void evictCleared();

  std::size_t limit_ = kMaxCrashes;
  LimitFleet fleet_;
  std::map<RequestFingerprint, Entry> entries_;
  /// When an answer last began with each part.
  std::unordered_map<RequestFingerprint, Instant> clearedAt_;
  Instant listedAt_{};
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_CRASHLEDGER_H
