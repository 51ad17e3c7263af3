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

/// \brief Amounts admitted since a daemon's start by organisation, in the unit of its quota.
/// \ingroup Gateway
using SpentQuota = std::map<OrganisationName, double>;

/// \brief Permitted overdraft of an organisation's quota in a window. \ingroup Gateway
struct QuotaTolerance {
  /// Fraction of what the quota allows in a window.
  double fraction = 0;
  /// Additional constant amount, in the quota's unit.
  double slack = 0;
  Millis window{8'000};
};

/// \brief Fleet-wide quotas, enforced by daemons that report their spending to each other.
/// \ingroup Gateway
///
/// Each daemon keeps a token bucket that fills at the rate of the whole fleet, and deducts its own
/// admissions immediately and those of peers when they are reported. Spending beyond the quota
/// during the report delay leaves the buckets negative and is thereby repaid. A daemon that
/// receives no reports from some peers reserves their share of the rate for them. Not thread-safe;
/// no I/O, no clock.
class QuotaLedger {
 public:
  /// \param started when this daemon started. Earlier spending is unknown, so buckets start with
  /// this daemon's share of a fraction of the tolerance.
  explicit QuotaLedger(Instant started, QuotaTolerance tolerance = {})
      : started_(started), tolerance_(tolerance) {}

  /// \brief Applies limits, including those of organisations served only by other daemons so far.
  void setOrganisations(std::span<const GatewayOrganisation> organisations, Instant now);
  /// \brief Deducts \p amount from the organisation's quota if it has room.
  /// \param draw per-request random number in [0, 1]: selects which requests are admitted while the
  /// expected unreported spending exceeds the level, and spreads the retry times of the others.
  /// \returns nothing if admitted, otherwise the reason and the retry delay.
  std::optional<QuotaShortage> take(const GatewayOrganisation& organisation, double amount,
                                    Instant now, double draw = 0);
  /// \brief Returns the amount deducted for a request that did not run.
  void refund(const OrganisationName& organisation, double amount);
  /// \brief Records a report that another daemon admitted a further \p amount.
  void noteSpentElsewhere(const OrganisationName& organisation, double amount, Instant now);
  /// \brief Updates the view of the fleet. The first known share of the fleet adds the initial
  /// level to the buckets.
  void setFleet(const QuotaFleet& fleet, Instant now);
  const QuotaFleet& fleet() const { return fleet_; }
  /// \brief Amounts admitted by this daemon; they never decrease.
  const SpentQuota& spent() const { return spent_; }

 private:
  struct Bucket {
    double level = 0;
    double rate = 0;
    double burst = 0;
    Instant refilled{};
    bool initialised = false;
    /// Requested amount per second at this daemon, refused requests included.
    double demand = 0;
    Instant demandUpdated{};
    /// Refill that exceeded the burst at the end of a pause of this process. What peers spent in
    /// the pause is deducted from it first, as their reports arrive at once.
    double pauseRefill = 0;
    Instant pauseEnded{};
    /// Amount per second that peers recently reported as spent.
    double peerSpendRate = 0;
    Instant peerSpendUpdated{};
  };

  /// Permitted overdraft of a bucket's quota in a window.
  double allowedOverdraft(const Bucket& bucket) const;
  /// Bucket level when this daemon starts.
  double initialLevel(const Bucket& bucket) const;
  void applyLiveFraction(double fraction, Instant now);
  /// Expected spending of peers during the report delay, beyond the part that the tolerance covers.
  double expectedUnreported(const Bucket& bucket, Instant now) const;
  double refillTimeMs(const Bucket& bucket, double amount) const;
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
