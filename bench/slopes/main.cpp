// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Hallchute/Admission"
#include "Hallchute/Ledger"
#include "Hallchute/Membership"
#include "Hallchute/Net"
#include "Hallchute/Recovery"
#include "Hallchute/Settings"

/// Measures the slopes from which docs/CAPACITY.md extrapolates: processor time, bytes and
/// memory of each role, as decision logic in one process. Prints one line per figure.

namespace {

using namespace Hallchute;

const Instant kStart{std::chrono::hours(1)};

double cpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double heapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

void line(const std::string& role, const std::string& at, const std::string& what, double value) {
  std::printf("%-12s %-28s %-36s %12.3f\n", role.c_str(), at.c_str(), what.c_str(), value);
  std::fflush(stdout);
}

/// Daemons that exchange encoded gossip messages in virtual time.
void membership(int domains, int perDomain, bool restarts) {
  const double heapBefore = heapBytes();
  std::map<std::string, std::unique_ptr<Membership>> members;
  for (int d = 0; d < domains; ++d) {
    for (int i = 0; i < perDomain; ++i) {
      MemberStatus status;
      status.id = DaemonId("domain" + std::to_string(d) + "-daemon" + std::to_string(i));
      status.domain = FailureDomainName("domain" + std::to_string(d));
      status.address = status.id.str();
      status.incarnation = 1;
      auto& member = members[status.address];
      member = std::make_unique<Membership>(MembershipPolicy{}, status, members.size());
      member->addSeed("domain0-daemon0");
      member->addSeed("domain" + std::to_string(d) + "-daemon0");
    }
  }
  constexpr Millis kTick{50};
  double bytes = 0;
  double probes = 0;
  Instant now = kStart;
  const auto run = [&](Millis time) {
    for (const Instant end = now + time; now < end; now += kTick) {
      for (auto& [name, member] : members) {
        for (const MembershipAction& action : member->tick(now)) {
          const auto* probe = std::get_if<SendProbe>(&action);
          if (probe == nullptr) continue;
          Membership& target = *members.at(probe->address);
          const std::string question = pack(member->compose(now));
          const auto asked = unpack<GossipMessage>(question);
          target.receive(*asked, now);
          const std::string answer = pack(target.compose(now, asked->known));
          member->receive(*unpack<GossipMessage>(answer), now);
          // Each message is sent by one daemon and received by another: both incur its cost.
          bytes += 2.0 * static_cast<double>(question.size() + answer.size());
          ++probes;
        }
      }
    }
  };
  // Until the updates caused by the start have been disseminated.
  run(Millis(60'000));
  bytes = 0;
  probes = 0;
  const double before = cpuSeconds();
  constexpr int kSeconds = 30;
  int incarnation = 2;
  for (int second = 0; second < kSeconds; ++second) {
    if (restarts && second % 3 == 0) {
      // 1,900 restarts a day are one in 45 s; here it is one in 3 s.
      Membership& old = *members.begin()->second;
      MemberStatus status = old.self();
      status.incarnation = static_cast<std::uint64_t>(++incarnation);
      members.begin()->second = std::make_unique<Membership>(MembershipPolicy{}, status, 7);
      members.begin()->second->addSeed("domain0-daemon1");
    }
    run(Millis(1'000));
  }
  const double used = cpuSeconds() - before;
  const double daemons = static_cast<double>(members.size());
  const std::string at = std::to_string(domains) + " x " + std::to_string(perDomain) + " daemons" +
                         (restarts ? ", restarts" : "");
  line("membership", at, "bytes/s per daemon, both ways", bytes / daemons / kSeconds);
  line("membership", at, "probes/s per daemon", probes / daemons / kSeconds);
  line("membership", at, "processor per daemon, % of a core", used / daemons / kSeconds * 100);
  line("membership", at, "state per daemon, KB", (heapBytes() - heapBefore) / daemons / 1024);
}

void shardOwner(std::size_t upstreams, std::size_t blocks, std::size_t queued) {
  const double heapBefore = heapBytes();
  ShardPolicy policy;
  policy.maxQueue = queued + 1;
  policy.maxPrefillTokensPerUpstream = SIZE_MAX;
  policy.maxInFlightPerUpstream = 16;
  auto owner = std::make_unique<ShardOwner>(policy);
  std::vector<UpstreamId> live;
  for (std::size_t i = 0; i < upstreams; ++i) live.emplace_back("u" + std::to_string(i));
  owner->setUpstreams(live, kStart);
  GrantId id = 1;
  const auto wish = [&] {
    GrantRequest wanted;
    wanted.id = id++;
    wanted.organisation = OrganisationName("o" + std::to_string(id % 5));
    wanted.promptTokens = blocks * PrefixBlocks::kTokensPerBlock;
    wanted.expectedTokens = 300;
    // A quarter of the prompt is shared by all; the rest is the session's.
    for (std::size_t b = 0; b < blocks; ++b) {
      wanted.prefixHashes.push_back(b < blocks / 4 ? b : (id % 4'000) * 1'000 + b);
    }
    wanted.deadline = kStart + std::chrono::hours(1);
    return wanted;
  };
  const std::size_t places = upstreams * policy.maxInFlightPerUpstream;
  for (std::size_t i = 0; i < (queued > 0 ? places + queued : places / 2); ++i) {
    owner->requestGrant(wish(), kStart);
  }
  constexpr int kCycles = 3'000;
  GrantId oldest = 1;
  const double before = cpuSeconds();
  for (int i = 0; i < kCycles; ++i) {
    owner->requestGrant(wish(), kStart);
    owner->noteFirstToken(oldest, kStart);
    owner->release(oldest++, GrantEnd::finished, kStart);
  }
  const double used = cpuSeconds() - before;
  const std::string at = std::to_string(upstreams) + " upstreams, " + std::to_string(blocks) +
                         " blocks, queue " + std::to_string(queued);
  line("shard owner", at, "microseconds per grant", used / kCycles * 1e6);
  line("shard owner", at, "state, KB", (heapBytes() - heapBefore) / 1024);
}

void grantMessages(std::size_t blocks) {
  GrantRequestMessage request;
  request.shard = {ServiceName("scribe-pool"), FailureDomainName("domain3"), 7};
  request.wanted.organisation = OrganisationName("organisation-17");
  for (std::size_t i = 0; i < blocks; ++i) {
    request.wanted.prefixHashes.push_back(stableHash(std::to_string(i)));
  }
  const GrantReplyMessage reply{GrantReplyKind::granted, UpstreamId("host-1234-incarnation-1"), {}};
  const std::size_t bytes =
      pack(request).size() + pack(reply).size() + 2 * pack(GrantProgressMessage{}).size();
  line("grant", std::to_string(blocks) + " blocks", "bytes per grant", static_cast<double>(bytes));
}

void settings(int organisations) {
  const double heapBefore = heapBytes();
  std::string patch =
      R"({"workClasses":{"c":{}},"services":{"s":{"defaultClass":"c"}},"organisations":{)";
  for (int i = 0; i < organisations; ++i) {
    patch += (i > 0 ? "," : "") + ("\"org" + std::to_string(i)) + R"(":{"keySha256":[")" +
             secretHash(std::to_string(i)) + R"("],"services":["s"],"policy":{"maxQueue":5}})";
  }
  patch += "}}";
  Findings findings;
  ChangeLog log;
  const auto change = [&](std::uint64_t number, const std::string& text) {
    SettingsChange made;
    made.number = number;
    made.id = "0123456789abcdef0123456789abcdef";
    made.author = "an operator";
    made.reason = "a reason of some length for the change";
    made.at = "2026-01-01T00:00:00Z";
    made.patch = parseJsonObject(text, findings);
    return made;
  };
  log.add(change(1, patch));
  constexpr int kChanges = 200;
  std::vector<std::string> texts;
  texts.reserve(kChanges);
  for (int i = 0; i < kChanges; ++i) {
    texts.push_back(serializeChange(
        change(static_cast<std::uint64_t>(i) + 2,
               R"({"organisations":{"org)" + std::to_string(i % organisations) +
                   R"(":{"policy":{"maxQueue":)" + std::to_string(i + 1) + "}}}}")));
  }
  const double before = cpuSeconds();
  for (const std::string& text : texts) log.add(parseChange(text, findings));
  const double used = cpuSeconds() - before;
  const std::string at = std::to_string(organisations) + " organisations";
  line("settings", at, "milliseconds per change in force", used / kChanges * 1e3);
  line("settings", at, "bytes per change", static_cast<double>(texts.back().size()));
  line("settings", at, "state with 128 changes, KB", (heapBytes() - heapBefore) / 1024);
  line("settings", at, "snapshot, KB",
       static_cast<double>(jsonText(log.activeSettings()->json).size()) / 1024);
}

void onceRecords() {
  OnceRecord record;
  record.attempt = "0123456789abcdef0123456789abcdef";
  record.digest = secretHash("x");
  record.holder = DaemonId("domain3-daemon17");
  record.state = OnceState::done;
  record.contentType = "application/json";
  record.body = std::string(300, 'x');
  record.startedAtMs = 1'700'000'000'000;
  record.lifetimeMs = 86'400'000;
  constexpr int kRecords = 5'000;
  std::size_t bytes = 0;
  const double before = cpuSeconds();
  for (int i = 0; i < kRecords; ++i) {
    Findings findings;
    const std::string text = onceText(record);
    bytes = text.size();
    parseOnce(text, findings);
  }
  line("once", "answer of 300 bytes", "microseconds per record, both ways",
       (cpuSeconds() - before) / kRecords * 1e6);
  line("once", "answer of 300 bytes", "bytes per record", static_cast<double>(bytes));
}

void durableRecords(std::size_t tokens) {
  HandOverRecord record;
  record.request = RequestId("domain3-daemon17-0123456789abcdef0123456789abcdef");
  record.holder = DaemonId("domain3-daemon17");
  record.prompt = std::string(tokens * 6, 'x');
  for (std::size_t i = 0; i < tokens / 10; ++i) record.tokens.emplace_back("token ");
  constexpr int kRecords = 200;
  std::size_t bytes = 0;
  const double before = cpuSeconds();
  for (int i = 0; i < kRecords; ++i) {
    Findings findings;
    const std::string text = handOverText(record);
    bytes = text.size();
    parseHandOver(text, findings);
  }
  const std::string at = std::to_string(tokens) + " prompt tokens";
  line("durable", at, "microseconds per record, both ways",
       (cpuSeconds() - before) / kRecords * 1e6);
  line("durable", at, "bytes per record", static_cast<double>(bytes));
}

void directory(std::size_t upstreams) {
  const double heapBefore = heapBytes();
  auto known = std::make_unique<UpstreamDirectory>();
  std::vector<HostListEntry> hosts;
  for (std::size_t i = 0; i < upstreams; ++i) {
    HostListEntry entry;
    entry.host = HostId("host-" + std::to_string(i) + "-incarnation-1");
    entry.domain = FailureDomainName("domain" + std::to_string(i % 6));
    entry.service = ServiceName("service" + std::to_string(i % 5));
    entry.address = "10.0.0.1:8000";
    hosts.push_back(entry);
  }
  const double before = cpuSeconds();
  known->applyHostList(1, hosts, kStart);
  const double applied = cpuSeconds() - before;
  const std::string at = std::to_string(upstreams) + " upstreams";
  line("host list", at, "milliseconds per list", applied * 1e3);
  line("host list", at, "KB per list on the wire",
       static_cast<double>(pack(HostsReplyMessage{1, hosts}).size()) / 1024);
  line("host list", at, "state, KB", (heapBytes() - heapBefore) / 1024);
  constexpr int kLooks = 200;
  const double looking = cpuSeconds();
  std::size_t found = 0;
  for (int i = 0; i < kLooks; ++i) {
    found += known->live(ServiceName("service1"), FailureDomainName("domain1")).size();
  }
  line("host list", at, "microseconds per look-up of a pool",
       (cpuSeconds() - looking) / kLooks * 1e6 + static_cast<double>(found) * 0);
}

}  // namespace

int main() {
  for (const std::size_t blocks : {std::size_t(0), std::size_t(64), std::size_t(256)}) {
    grantMessages(blocks);
  }
  for (const int size : {2, 8, 20, 58}) membership(1, size, false);
  membership(6, 58, false);
  membership(6, 58, true);
  for (const std::size_t upstreams :
       {std::size_t(10), std::size_t(16), std::size_t(100), std::size_t(800)}) {
    shardOwner(upstreams, 64, 0);
  }
  shardOwner(16, 256, 0);
  shardOwner(16, 64, 50);
  shardOwner(16, 64, 200);
  for (const int organisations : {5, 50, 300}) settings(organisations);
  onceRecords();
  durableRecords(1'000);
  durableRecords(15'000);
  for (const std::size_t upstreams : {std::size_t(60), std::size_t(4'700)}) directory(upstreams);
  return 0;
}
