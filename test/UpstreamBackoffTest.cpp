// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "GatewayRig.h"
#include "standin/ReplicaStandin.h"

namespace {

using namespace Hallchute;
/// The replicas' clock.
using Clock = std::chrono::steady_clock;

/// Requests among which each replica that is free gets one.
constexpr int kRequests = 60;
/// The least that a refusal names.
constexpr Millis kLeastRetryAfter{100};

/// A daemon in front of replicas that run in this process.
class BackoffRig {
 public:
  explicit BackoffRig(std::size_t replicas) {
    Route route = plainRoute(WorkKind::repeatable);
    route.maxRuns = 3;
    rig.setSettings(settingsWith(route));
    std::vector<UpstreamRecord> records;
    for (std::size_t i = 0; i < replicas; ++i) {
      replicas_.push_back(
          std::make_unique<Standin::ReplicaStandin>("i-" + std::to_string(i), Millis(1)));
      records.push_back(upstreamAt(replicas_.back()->id(), replicas_.back()->address()));
    }
    rig.setUpstreams(records);
  }
  std::string ask() {
    RawCaller caller(rig.address());
    const std::string id = "Hallchute-Attempt-Id: q" + std::to_string(++requests_);
    std::string text = requestText("POST", "", "body");
    text.replace(text.find("Hallchute-Attempt-Id: q1"), 24, id);
    caller.send(text);
    return caller.read("\r\n\r\n");
  }
  Standin::ReplicaStandin& replica(std::size_t index) { return *replicas_[index]; }
  /// By all replicas.
  std::size_t rejections() const {
    std::size_t count = 0;
    for (const auto& replica : replicas_) count += replica->rejections().size();
    return count;
  }

  GatewayRig rig;

 private:
  std::vector<std::unique_ptr<Standin::ReplicaStandin>> replicas_;
  int requests_ = 0;
};

class UpstreamBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamBackoffTest);
  CPPUNIT_TEST(rejectedRequestsBackOffForTheNamedTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against requests that go on to reach an upstream which has rejected one and named the
  /// time for which it wants none.
  void rejectedRequestsBackOffForTheNamedTime() {
    struct Row {
      const char* name;
      std::size_t replicas;
      std::size_t rejecting;
    };
    const std::vector<Row> rows{{"one of three", 3, 1}, {"most", 3, 2}, {"all", 3, 3}};
    constexpr Millis kRetryAfter{700};
    for (const Row& row : rows) {
      BackoffRig rig(row.replicas);
      for (std::size_t i = 0; i < row.rejecting; ++i) rig.replica(i).rejectWith(kRetryAfter);
      const Instant start = Clock::now();
      int served = 0;
      Instant asked;
      std::string last;
      std::size_t rejections = 0;
      // When the daemon had read the last rejection.
      Instant known;
      for (int i = 0; i < kRequests || Clock::now() - start < Millis(500); ++i) {
        asked = Clock::now();
        last = rig.ask();
        if (last.find("HTTP/1.1 200") == 0) ++served;
        if (rig.rejections() == rejections) continue;
        rejections = rig.rejections();
        known = Clock::now();
      }
      const Instant answered = Clock::now();
      Instant firstFree = Instant::max();
      for (std::size_t i = 0; i < row.rejecting; ++i) {
        const std::vector<Standin::Rejection> all = rig.replica(i).rejections();
        CPPUNIT_ASSERT_MESSAGE(row.name, !all.empty());
        for (std::size_t j = 1; j < all.size(); ++j) {
          CPPUNIT_ASSERT_MESSAGE(row.name,
                                 all[j].arrival.at - all[j - 1].arrival.at >= kRetryAfter);
        }
        firstFree = std::min(firstFree, all.back().arrival.at + kRetryAfter);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.rejecting<row.replicas, served> 0);
      if (row.rejecting == row.replicas) {
        const std::string field = "Retry-After: ";
        CPPUNIT_ASSERT_MESSAGE(last, last.find("HTTP/1.1 503") == 0);
        const std::chrono::duration<double> after(
            std::stod(last.substr(last.find(field) + field.size())));
        CPPUNIT_ASSERT_MESSAGE(last, after >= firstFree - answered);
        CPPUNIT_ASSERT_MESSAGE(last, after <= std::max<Clock::duration>(known + kRetryAfter - asked,
                                                                        kLeastRetryAfter) +
                                                  Millis(1));
      }
      for (std::size_t i = 0; i < row.rejecting; ++i) rig.replica(i).rejectWith(Millis(0));
      std::this_thread::sleep_until(known + kRetryAfter);
      for (int i = 0; i < kRequests; ++i) rig.ask();
      for (std::size_t i = 0; i < row.replicas; ++i) {
        CPPUNIT_ASSERT_MESSAGE(row.name, !rig.replica(i).arrivals().empty());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamBackoffTest);

}  // namespace
