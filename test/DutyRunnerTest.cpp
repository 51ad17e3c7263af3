// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include "Hallchute/src/Node/DutyRunner.h"

#include <Poco/Exception.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "Hallchute/src/Net/EventLoop.h"
#include "Hallchute/src/Observability/Metrics.h"
#include "Hallchute/src/Ports/DutyPort.h"

namespace {

using namespace Hallchute;

constexpr std::chrono::seconds kLimit{10};

/// A platform without a record, whose first calls of each kind throw.
class ThrowingPort final : public DutyPort {
 public:
  absl::StatusOr<StoredDutyRecord> read(ReadConsistency) override {
    if (++reads <= 2) throw Poco::RangeException("Value too large");
    if (!record_) return absl::NotFoundError("none");
    return StoredDutyRecord{*record_, 1};
  }
  absl::StatusOr<std::uint64_t> create(const DutyRecord& record) override {
    if (record_) return absl::AbortedError("exists");
    record_ = record;
    // It was written, and the caller isn't told.
    throw std::runtime_error("no memory");
  }
  absl::StatusOr<std::uint64_t> write(const DutyRecord& record, std::uint64_t revision) override {
    record_ = record;
    return revision + 1;
  }
  absl::Status reportUsage(const DutyHolder&, std::int64_t, const UsageCounts&) override {
    return absl::OkStatus();
  }
  absl::Status order(const DutyHolder&, const ReplicaOrder&) override { return absl::OkStatus(); }

  std::atomic<int> reads{0};

 private:
  std::optional<DutyRecord> record_;
};

class DutyRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyRunnerTest);
  CPPUNIT_TEST(aTurnThatThrowsIsFollowedByTheNext);
  CPPUNIT_TEST(anExceptionOfACallReachesTheCaller);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// An exception ended the whole process.
  void aTurnThatThrowsIsFollowedByTheNext() {
    ThrowingPort port;
    Metrics metrics;
    std::atomic<int> turns{0};
    const FleetMember self{DaemonId("a"), "127.0.0.1:1", 5, FailureDomainName("d"), 1'000};
    DutyRunner runner(port, {}, self,
                      {[&] {
                         if (++turns == 1) throw std::runtime_error("no input");
                         DutyInput input;
                         input.facts.live[self.daemon] = self.incarnation;
                         input.facts.reportedHolder =
                             runner_.load() == nullptr ? DutyHolder{} : runner_.load()->holder();
                         return input;
                       },
                       [](std::size_t) {}, [](const std::vector<CrashHistory>&) {}},
                      metrics);
    runner_ = &runner;
    runner.start();
    const auto end = std::chrono::steady_clock::now() + kLimit;
    while (runner.holder().epoch == 0 && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(Millis(5));
    }
    runner.stop();
    // The write that was done without an answer is found, and not repeated.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runner.holder().epoch);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), runner.holder().daemon.str());
    // Two reads, an input, and a write.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, metrics.counter("hallchute_duty_exceptions_total", ""));
  }

  /// The loop's thread has nobody to handle it, and the caller waits.
  void anExceptionOfACallReachesTheCaller() {
    EventLoop loop;
    std::thread thread([&] { loop.run(); });
    std::string caught;
    try {
      loop.call([] { throw std::runtime_error("no input"); });
    } catch (const std::runtime_error& e) {
      caught = e.what();
    }
    bool ran = false;
    loop.call([&] { ran = true; });
    loop.stop();
    thread.join();
    CPPUNIT_ASSERT_EQUAL(std::string("no input"), caught);
    CPPUNIT_ASSERT(ran);
  }

 private:
  std::atomic<DutyRunner*> runner_{nullptr};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyRunnerTest);

}  // namespace
