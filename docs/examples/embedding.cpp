// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

// Embeds the decision library alone: a shard owner hands out the places of two upstreams.

#include <iostream>

#include "Hallchute/Admission"

int main() {
  using namespace Hallchute;
  const Instant now = std::chrono::steady_clock::now();
  ShardOwner owner{ShardPolicy{}};
  owner.setUpstreams(std::vector<UpstreamId>{UpstreamId("a"), UpstreamId("b")}, now);

  GrantRequest wanted;
  wanted.id = 1;
  wanted.organisation = OrganisationName("alliance");
  wanted.promptTokens = 120;
  wanted.expectedTokens = 40;
  wanted.deadline = now + Millis(5'000);

  for (const GrantAction& action : owner.requestGrant(wanted, now)) {
    if (const auto* granted = std::get_if<Granted>(&action)) {
      std::cout << "send request " << granted->id << " to upstream " << granted->upstream.str()
                << "\n";
    }
  }
  owner.noteFirstToken(wanted.id, now);
  owner.release(wanted.id, GrantEnd::finished, now);
  return owner.inFlight() == 0 ? 0 : 1;
}
