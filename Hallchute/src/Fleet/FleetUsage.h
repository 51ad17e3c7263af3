// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_FLEET_FLEETUSAGE_H
#define HALLCHUTE_FLEET_FLEETUSAGE_H

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Fleet/FleetReport.h"
#include "Hallchute/src/Gateway/UsageLedger.h"

namespace Hallchute {

/// \brief The usage of all other daemons, by what they and their relays tell. One thread; no I/O,
/// no clock. \ingroup Fleet
///
/// An incarnation's count of a window only rises, and every sum told is a sum of such counts: each
/// word is a lower bound of what it speaks for, whoever told it and however old it is. So of two
/// words the higher one stands, and a relay that ends, restarts or is replaced takes nothing away
/// and counts nothing twice. Cost: a word's entries for each note, those of all sums for a total.
class FleetUsage {
 public:
  explicit FleetUsage(FleetMember self) : self_(std::move(self)) {}

  /// \brief What an incarnation tells of itself.
  void noteSelfReport(const FleetMember& member, const UsageByWindow& usage);
  /// \brief What another daemon tells of an incarnation.
  void noteIncarnation(const IncarnationUsage& word);
  /// \brief What a relay of another failure domain tells of all its daemons.
  void noteDomainSums(const DomainName& domain, const UsageByWindow& sums);
  /// \brief What a relay tells this daemon of all others.
  void noteFleetSums(const UsageByWindow& sums);
  /// \brief Drops windows before \p firstWindow; a daemon that still tells of itself drops its own.
  void forgetBefore(std::int64_t firstWindow);

  /// \brief Usage of all but this incarnation.
  UsageByWindow elsewhere() const;
  /// \brief The same by single incarnations and other domains' sums alone: what a relay may tell
  /// on, as it knows each receiver's own part of it.
  UsageByWindow tellable() const;
  /// \brief What is known of this daemon's failure domain, without this incarnation.
  UsageByWindow ownDomain() const;
  /// \brief What is known of an incarnation and of later ones of the same daemon.
  UsageByWindow since(const FleetMember& member) const;
  /// \brief The incarnations that \p chosen picks by daemon, number and domain.
  template <typename Chosen>
  std::vector<IncarnationUsage> incarnations(Chosen chosen) const {
    std::vector<IncarnationUsage> told;
    for (const auto& [key, known] : incarnations_) {
      if (known.usage.empty() || !chosen(key.first, key.second, known.domain)) continue;
      told.push_back({key.first, key.second, known.domain, known.usage});
    }
    return told;
  }

 private:
  using Incarnation = std::pair<DaemonId, std::uint64_t>;
  struct Known {
    DomainName domain;
    UsageByWindow usage;
    /// It has told of itself since windows were dropped last.
    bool speaks = false;
  };

  bool isSelf(const DaemonId& daemon, std::uint64_t incarnation) const;
  Known& incarnation(const DaemonId& daemon, std::uint64_t number, const DomainName& domain);
  /// Raises what is known of an incarnation, and its domain's sum with it.
  void raise(Known& known, const UsageByWindow& told);
  void dropBefore(Known& known, std::int64_t firstWindow);

  FleetMember self_;
  std::map<Incarnation, Known> incarnations_;
  /// Sums of `incarnations_` by domain, kept as they rise: a relay of a large fleet needs them
  /// several times a second, and has hundreds of incarnations to add.
  std::map<DomainName, UsageByWindow> sums_;
  std::map<DomainName, UsageByWindow> toldOfDomains_;
  UsageByWindow toldOfFleet_;
  std::int64_t firstKept_ = 0;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_FLEET_FLEETUSAGE_H
