// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

#include "Hallchute/Membership"

namespace {

using namespace Hallchute;

const Instant kStart{std::chrono::hours(1)};

MemberStatus status(const std::string& id, const std::string& domain = "d") {
  MemberStatus made;
  made.id = DaemonId(id);
  made.domain = FailureDomainName(domain);
  made.address = id;
  made.incarnation = 1;
  return made;
}

/// Members that exchange gossip messages directly, in virtual time. Partitioned ones do not answer.
class Group {
 public:
  explicit Group(int size) {
    for (int i = 0; i < size; ++i) {
      const std::string name = "m" + std::to_string(i);
      members_[name] = std::make_unique<Membership>(MembershipPolicy{}, status(name), 100 + i);
      members_[name]->addSeed("m0");
    }
  }

  Membership& operator[](const std::string& name) { return *members_[name]; }
  void silence(const std::string& name) { silent_.insert(name); }
  void restore(const std::string& name) { silent_.erase(name); }
  Instant now() const { return now_; }

  void run(Millis time) {
    constexpr Millis kTick{50};
    for (const Instant end = now_ + time; now_ < end; now_ += kTick) {
      for (auto& [name, member] : members_) {
        if (!silent_.contains(name)) perform(name, member->tick(now_));
      }
    }
  }

  void perform(const std::string& from, const std::vector<MembershipAction>& actions) {
    for (const MembershipAction& action : actions) {
      if (const auto* heard = std::get_if<LeaveDiscovered>(&action)) {
        heardLeave_.emplace(from, now_);
        (void)heard;
      }
      const auto* probe = std::get_if<SendProbe>(&action);
      if (probe == nullptr || silent_.contains(probe->address)) continue;
      Membership& target = *members_[probe->address];
      const GossipMessage sent = members_[from]->compose(now_);
      perform(probe->address, target.receive(sent, now_));
      perform(from, members_[from]->receive(target.compose(now_, sent.known), now_));
    }
  }

  /// Number of members that see this many owners.
  std::size_t agreeing(std::size_t owners) {
    std::size_t count = 0;
    for (auto& [name, member] : members_) {
      if (silent_.contains(name)) continue;
      if (member->owners(FailureDomainName("d")).size() == owners) ++count;
    }
    return count;
  }
  const std::map<std::string, Instant>& heardLeave() const { return heardLeave_; }

 private:
  Instant now_ = kStart;
  std::map<std::string, std::unique_ptr<Membership>> members_;
  std::set<std::string> silent_;
  std::map<std::string, Instant> heardLeave_;
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(groupsOfAnySizeConverge);
  CPPUNIT_TEST(aSilentMemberIsDeclaredDeadAndComesBack);
  CPPUNIT_TEST(aPausedMemberFindsItselfOutdated);
  CPPUNIT_TEST(leavesSpreadWithinTwoSeconds);
  CPPUNIT_TEST(newsOfMembersFollowTheirRank);
  CPPUNIT_TEST(membersOfOtherDomainsAreNotSuspected);
  CPPUNIT_TEST(batchesAreBounded);
  CPPUNIT_TEST(theDirectoryNeverTakesALeaveBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void groupsOfAnySizeConverge() {
    for (const int size : {2, 3, 8, 60}) {
      Group group(size);
      group.run(Millis(8'000));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(size),
                           group.agreeing(static_cast<std::size_t>(size)));
    }
  }

  void aSilentMemberIsDeclaredDeadAndComesBack() {
    for (const int size : {3, 8, 60}) {
      Group group(size);
      group.run(Millis(8'000));
      group.silence("m1");
      group.run(Millis(5'000));
      const auto rest = static_cast<std::size_t>(size - 1);
      CPPUNIT_ASSERT_EQUAL(rest, group.agreeing(rest));
      CPPUNIT_ASSERT(!group["m0"].mayBeAlive(DaemonId("m1")));
      group.restore("m1");
      group.run(Millis(5'000));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(size),
                           group.agreeing(static_cast<std::size_t>(size)));
    }
  }

  void aPausedMemberFindsItselfOutdated() {
    Membership member(MembershipPolicy{}, status("a"), 1);
    member.tick(kStart);
    struct Case {
      Millis gap;
      bool outdated;
    };
    Instant now = kStart;
    for (const Case& c : {Case{Millis(50), false}, Case{Millis(1'999), false},
                          Case{Millis(2'000), true}, Case{Millis(60'000), true}}) {
      now += c.gap;
      const auto before = member.self().incarnation;
      bool woke = false;
      for (const auto& action : member.tick(now)) {
        woke = woke || std::holds_alternative<LongPauseDetected>(action);
      }
      CPPUNIT_ASSERT_EQUAL(c.outdated, woke);
      CPPUNIT_ASSERT_EQUAL(c.outdated, member.self().incarnation > before);
    }
  }

  void leavesSpreadWithinTwoSeconds() {
    for (const int size : {3, 8, 60}) {
      Group group(size);
      group.run(Millis(8'000));
      const Instant told = group.now();
      group.perform("m1", group["m1"].announceLeave(
                              {UpstreamId("u"), Millis(30'000), LeaveSource::notice}, told));
      group.run(Millis(2'000));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(size), group.heardLeave().size());
    }
  }

  void newsOfMembersFollowTheirRank() {
    struct Case {
      std::uint64_t incarnation;
      MemberState state;
      bool owns;
    };
    // Received in this order.
    const Case cases[] = {
        {5, MemberState::alive, true},  {5, MemberState::suspect, true},
        {5, MemberState::alive, true},  {5, MemberState::dead, false},
        {5, MemberState::alive, false}, {4, MemberState::alive, false},
        {6, MemberState::alive, true},  {6, MemberState::leaving, false},
        {5, MemberState::alive, false},
    };
    Membership member(MembershipPolicy{}, status("a"), 1);
    for (const Case& c : cases) {
      GossipMessage batch;
      batch.sender = status("teller");
      MemberStatus about = status("b");
      about.incarnation = c.incarnation;
      about.state = c.state;
      batch.members.push_back(about);
      member.receive(batch, kStart);
      const auto owners = member.owners(FailureDomainName("d"));
      const bool owns = std::count(owners.begin(), owners.end(), DaemonId("b")) > 0;
      CPPUNIT_ASSERT_EQUAL(c.owns, owns);
    }
    GossipMessage slander;
    slander.sender = status("teller");
    slander.members.push_back(status("a"));
    slander.members.back().state = MemberState::dead;
    member.receive(slander, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), member.self().incarnation);
  }

  void membersOfOtherDomainsAreNotSuspected() {
    Membership member(MembershipPolicy{}, status("a"), 1);
    GossipMessage batch;
    batch.sender = status("far", "e");
    member.receive(batch, kStart);
    for (Instant now = kStart; now < kStart + Millis(20'000); now += Millis(50)) member.tick(now);
    member.probeFailed(DaemonId("far"), kStart + Millis(20'000));
    CPPUNIT_ASSERT(member.find(DaemonId("far"))->status.state == MemberState::alive);
  }

  void batchesAreBounded() {
    MembershipPolicy policy;
    Membership member(policy, status("a"), 1);
    for (int i = 0; i < 200; ++i) {
      GossipMessage batch;
      batch.sender = status("m" + std::to_string(i));
      member.receive(batch, kStart);
      member.announceLeave({UpstreamId("u" + std::to_string(i)), Millis(1'000), {}}, kStart);
    }
    std::set<UpstreamId> said;
    for (int i = 0; i < 2'000; ++i) {
      const GossipMessage batch = member.compose(kStart);
      CPPUNIT_ASSERT(batch.members.size() <= policy.membersPerMessage);
      CPPUNIT_ASSERT(batch.leaves.size() <= policy.leavesPerMessage);
      for (const LeaveAnnouncement& leave : batch.leaves) said.insert(leave.upstream);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(200), said.size());
    CPPUNIT_ASSERT(member.compose(kStart).leaves.empty());
  }

  void theDirectoryNeverTakesALeaveBack() {
    const auto host = [](const char* name) {
      HostListEntry entry;
      entry.host = HostId(name);
      entry.domain = FailureDomainName("d");
      entry.service = ServiceName("s");
      return entry;
    };
    const auto live = [](const UpstreamDirectory& directory) {
      return directory.live(ServiceName("s"), FailureDomainName("d")).size();
    };
    UpstreamDirectory directory;
    directory.noteLeave(UpstreamId("c"), Millis(500), kStart);
    const std::vector<HostListEntry> three{host("a"), host("b"), host("c")};
    directory.applyHostList(5, three, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), live(directory));
    CPPUNIT_ASSERT(directory.noteLeave(UpstreamId("a"), Millis(500), kStart));
    CPPUNIT_ASSERT(!directory.noteLeave(UpstreamId("a"), Millis(900), kStart));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), live(directory));
    directory.applyHostList(6, three, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), live(directory));
    // An older list is ignored; a newer one without b means that b was removed.
    CPPUNIT_ASSERT(directory.applyHostList(4, {}, kStart).empty());
    const auto gone = directory.applyHostList(7, std::vector<HostListEntry>{host("a")}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), gone.size());
    CPPUNIT_ASSERT(gone.front().upstream == UpstreamId("b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
