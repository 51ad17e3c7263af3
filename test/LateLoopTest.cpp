// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "AnswerScripts.h"
#include "GatewayRig.h"
#include "ScriptedUpstream.h"

namespace {

using namespace Hallchute;
using Then = UpstreamScript::Then;

void sleepFor(Millis time) {
  std::this_thread::sleep_for(time);
}

/// A pair of connected sockets; the loop reads one end.
struct SocketPair {
  SocketPair() { ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()); }
  ~SocketPair() {
    for (const int end : ends) ::close(end);
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;
  void write() const { [[maybe_unused]] const auto sent = ::send(ends[1], "x", 1, 0); }
  void read() const {
    char byte = 0;
    [[maybe_unused]] const auto received = ::recv(ends[0], &byte, 1, 0);
  }

  std::array<int, 2> ends{};
};

/// Runs on the loop's thread while it waits, as a stop of the process ends the wait.
std::function<void()> whileInterrupted;

/// Guards against timers that act on what a late daemon hasn't read yet.
class LateLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateLoopTest);
  CPPUNIT_TEST(readsAllThatIsReadyBeforeATimerThatIsDue);
  CPPUNIT_TEST(readsAllThatIsReadyAlthoughSocketsEnd);
  CPPUNIT_TEST(readsWhatIsReadyBeforeTasksAfterAnInterruption);
  CPPUNIT_TEST(busySocketsDoNotHoldUpTimers);
  CPPUNIT_TEST(answersTheRequestThatAnIdleConnectionHolds);
  CPPUNIT_TEST(doesNotTakeUnreadEventsForSilence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readsAllThatIsReadyBeforeATimerThatIsDue() {
    constexpr Millis kDue{20};
    constexpr Millis kBusy{60};
    struct Row {
      std::string name;
      std::size_t sockets;
      /// Makes the loop late; `write` fills all sockets.
      std::function<void(EventLoop&, const std::function<void()>& write)> delay;
    };
    const auto busy = [&](const std::function<void()>& write) {
      write();
      sleepFor(kBusy);
    };
    const std::vector<Row> rows{
        {"a task", 1, [&](EventLoop& loop, const auto& write) { loop.post([=] { busy(write); }); }},
        {"a timer", 1,
         [&](EventLoop& loop, const auto& write) { loop.after(Millis(1), [=] { busy(write); }); }},
        {"more sockets than one poll returns", 200,
         [&](EventLoop& loop, const auto& write) { loop.post([=] { busy(write); }); }},
    };
    for (const Row& row : rows) {
      EventLoop loop;
      std::vector<SocketPair> pairs(row.sockets);
      std::size_t read = 0;
      std::size_t readBefore = 0;
      for (const SocketPair& pair : pairs) {
        loop.watch(pair.ends[0], POLLIN, [&](short) {
          pair.read();
          ++read;
        });
      }
      loop.after(kDue, [&] {
        readBefore = read;
        loop.stop();
      });
      row.delay(loop, [&] {
        for (const SocketPair& pair : pairs) pair.write();
      });
      loop.run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.sockets, readBefore);
    }
  }

  /// More sockets than one poll returns, and each is closed as it is read.
  void readsAllThatIsReadyAlthoughSocketsEnd() {
    EventLoop loop;
    std::vector<SocketPair> pairs(200);
    std::size_t read = 0;
    std::size_t readBefore = 0;
    for (const SocketPair& pair : pairs) {
      pair.write();
      loop.watch(pair.ends[0], POLLIN, [&](short) {
        loop.unwatch(pair.ends[0]);
        ++read;
      });
    }
    loop.after(Millis(0), [&] {
      readBefore = read;
      loop.stop();
    });
    sleepFor(Millis(5));
    loop.run();
    CPPUNIT_ASSERT_EQUAL(pairs.size(), readBefore);
  }

  void readsWhatIsReadyBeforeTasksAfterAnInterruption() {
    EventLoop loop;
    const SocketPair pair;
    std::size_t read = 0;
    std::size_t readBefore = 0;
    loop.watch(pair.ends[0], POLLIN, [&](short) {
      pair.read();
      ++read;
    });
    whileInterrupted = [&] {
      pair.write();
      loop.post([&] {
        readBefore = read;
        loop.stop();
      });
    };
    struct sigaction action {};
    action.sa_handler = [](int) { whileInterrupted(); };
    sigaction(SIGUSR2, &action, nullptr);
    std::thread thread([&] { loop.run(); });
    sleepFor(Millis(50));
    pthread_kill(thread.native_handle(), SIGUSR2);
    thread.join();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readBefore);
  }

  /// More sockets than one poll returns are ready all the time.
  void busySocketsDoNotHoldUpTimers() {
    EventLoop loop;
    std::vector<SocketPair> pairs(200);
    for (const SocketPair& pair : pairs) {
      pair.write();
      loop.watch(pair.ends[0], POLLIN, [](short) {});
    }
    int runs = 0;
    loop.every(Millis(5), [&] {
      if (++runs == 4) loop.stop();
    });
    const auto start = std::chrono::steady_clock::now();
    loop.run();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  }

  void answersTheRequestThatAnIdleConnectionHolds() {
    ScriptedUpstream upstream({{kPlainAnswer}});
    GatewayRig rig;
    rig.setSettings(settingsWith(plainRoute(WorkKind::once)));
    rig.setUpstreams({upstreamAt("i-1", upstream.address())});
    FrontLimits limits;
    limits.idleTimeout = Millis(200);
    rig.setLimits(limits);
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "", "body"));
    caller.read("\r\n\r\nok");
    sleepFor(Millis(100));
    rig.loop().post([] { sleepFor(Millis(300)); });
    sleepFor(Millis(20));
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    const std::string answers = caller.readAll();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answers, std::size_t{2}, upstream.requests().size());
    CPPUNIT_ASSERT_MESSAGE(answers, answers.rfind("\r\n\r\nok") > answers.find("\r\n\r\nok"));
  }

  void doesNotTakeUnreadEventsForSilence() {
    Route route = plainRoute(WorkKind::stream);
    route.resumable = true;
    route.maxRuns = 3;
    route.timeLimit = Millis(10'000);
    // Two thirds of the daemon's shortest silence pass before the second event.
    const UpstreamScript script{kStreamHead + eventChunk(1), Then::keep, Millis(800),
                                eventChunk(2) + kStreamEnd};
    ScriptedUpstream first({script});
    ScriptedUpstream second({script});
    GatewayRig rig;
    rig.setSettings(settingsWith(route));
    rig.setUpstreams({upstreamAt("i-1", first.address()), upstreamAt("i-2", second.address())});
    RawCaller caller(rig.address());
    caller.send(requestText("POST", "Connection: close\r\n", "body"));
    caller.read("data: a");
    rig.loop().post([] { sleepFor(Millis(1'500)); });
    const std::string answer = caller.readAll();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.requests().size() + second.requests().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateLoopTest);

}  // namespace
