// This file is part of hallchute, a serving system for language models.
// SPDX-License-Identifier: Apache-2.0

#ifndef HALLCHUTE_GATEWAY_QUOTALEDGER_H
#define HALLCHUTE_GATEWAY_QUOTALEDGER_H

#include <map>
#include <optional>
#include <span>

#include "Hallchute/src/Core/Id.h"
#include "Hallchute/src/Core/Time.h"
#include "Hallchute/src/Gateway/QuotaFleet.h"
#include "Hallchute/src/Gateway/QuotaShortage.h"

namespace Hallchute {

struct GatewayOrganisation;

/// \brief What daemons have admitted of each organisation since they started, in its unit.
/// \ingroup Gateway
using SpentQuota = std::map<OrganisationName, double>;

/// \brief By how much the operator lets an organisation's quota be overdrawn. \ingroup Gateway
struct QuotaTolerance {
  /// Part of what the quota allows in a window.
  double fraction = 0;
  /// On top, in the quota's unit.
  double slack = 0;
  Millis window{8'000};
};

/// \brief Quotas that hold over all daemons together, kept by telling each other what was spent.
/// \ingroup Gateway
///
/// Each daemon keeps a bucket of the whole fleet's rate and takes off it what it admits at once and
/// what others admitted as soon as it hears of it. What is spent twice while news travels is paid
/// back by the buckets' debt. A daemon that hears nothing of some others leaves their part of the
/// rate to them. One thread; no I/O, no clock.
class QuotaLedger {
 public:
  /// \param started when this daemon began. What was spent before is not known: buckets then hold
  /// this daemon's share of a part of the tolerance, and fill from there.
  explicit QuotaLedger(Instant started, QuotaTolerance tolerance = {})
      : started_(started), tolerance_(tolerance) {}

  /// \brief Puts limits in force, also of organisations that only other daemons served so far.
  void setOrganisations(std::span<const GatewayOrganisation> organisations, Instant now);
  /// \brief Takes \p amount of the organisation's quota.
  /// \param draw from 0 to 1, a request's own: decides which ones go on while the fleet asks for
  /// more than is left before it would hear of it, and spreads when the others come back.
  /// \returns nothing if taken, else why not and when to come back.
  std::optional<QuotaShortage> take(const GatewayOrganisation& organisation, double amount,
                                    Instant now, double draw = 0);
  /// \brief Gives back what was taken for a request that did not run.
  void refund(const OrganisationName& organisation, double amount);
  /// \brief Another daemon admitted \p amount more than was known of it.
  void noteSpentElsewhere(const OrganisationName& organisation, double amount, Instant now);
  /// \brief How the others are heard now. The first known share of the fleet fills the buckets to
  /// what they may hold at a start.
  void setFleet(const QuotaFleet& fleet, Instant now);
  const QuotaFleet& fleet() const { return fleet_; }
  /// \brief What this daemon admitted; only rises.
  const SpentQuota& spent() const { return spent_; }

 private:
  struct Bucket {
    double level = 0;
    double rate = 0;
    double burst = 0;
    Instant filled{};
    bool known = false;
    /// What callers ask for per second here, refused or not.
    double asked = 0;
    Instant askedAt{};
    /// What others spend per second, as heard lately.
    double peerLoad = 0;
    Instant heard{};
  };

  /// By how much a bucket's quota may be overdrawn in a window.
  double tolerated(const Bucket& bucket) const;
  /// What a bucket holds at this daemon's start.
  double startLevel(const Bucket& bucket) const;
  void noteHeardPart(double fraction, Instant now);
  /// What the fleet is likely to admit before this daemon hears of it, beyond what is tolerated.
  double unreported(const Bucket& bucket, Instant now) const;
  double fillMs(const Bucket& bucket, double amount) const;
  void refill(Bucket& bucket, Instant now) const;
  Bucket& bucketOf(const GatewayOrganisation& organisation, Instant now);

  Instant started_;
  QuotaTolerance tolerance_;
  std::map<OrganisationName, Bucket> buckets_;
  SpentQuota spent_;
  QuotaFleet fleet_;
};

}  // namespace Hallchute

#endif  // HALLCHUTE_GATEWAY_QUOTALEDGER_H
