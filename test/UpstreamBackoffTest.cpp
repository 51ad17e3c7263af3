// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "GatewayRig.h"
#include "Hallchute/src/Net/Clock.h"
#include "standin/ReplicaStandin.h"

namespace {

using namespace Hallchute;

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
      const Instant start = clockNow();
      int served = 0;
      std::string last;
      // Each rejects one request; then all are known.
      while (clockNow() - start < Millis(500)) {
        last = rig.ask();
        if (last.find("HTTP/1.1 200") == 0) ++served;
      }
      for (std::size_t i = 0; i < row.rejecting; ++i) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{1}, rig.replica(i).rejections().size());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.rejecting<row.replicas, served> 0);
      if (row.rejecting == row.replicas) {
        const std::string field = "Retry-After: ";
        CPPUNIT_ASSERT_MESSAGE(last, last.find("HTTP/1.1 503") == 0);
        const double after = std::stod(last.substr(last.find(field) + field.size()));
        CPPUNIT_ASSERT_MESSAGE(last, after >= 0.15 && after <= 0.3);
      }
      for (std::size_t i = 0; i < row.rejecting; ++i) rig.replica(i).rejectWith(Millis(0));
      std::this_thread::sleep_until(start + kRetryAfter + Millis(100));
      for (int i = 0; i < 60; ++i) rig.ask();
      for (std::size_t i = 0; i < row.replicas; ++i) {
        CPPUNIT_ASSERT_MESSAGE(row.name, !rig.replica(i).arrivals().empty());
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamBackoffTest);

}  // namespace
