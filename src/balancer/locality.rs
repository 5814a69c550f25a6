//! Locality-weighted traffic shares: traffic stays in its own zone and region as far as capacity allows.

use crate::interface::{RegionId, ZoneId};
use std::collections::BTreeMap;

/// Surplus traffic and spare capacity of a region's zones, in units of the traffic that originates in one zone.
#[derive(Clone, Copy, Debug, Default)]
struct RegionBalance {
    /// Traffic that originates in the zones beyond their fair share.
    surplus: f64,
    /// Fair share of the zones beyond the traffic that originates there.
    spare: f64,
}

impl RegionBalance {
    /// Returns the spare capacity that is left for other regions after the region's own surplus.
    fn spare_for_others(&self) -> f64 {
        (self.spare - self.surplus).max(0.0)
    }

    /// Returns the fraction of its surplus that stays in the region.
    fn retained_fraction(&self) -> f64 {
        fraction(self.spare, self.surplus)
    }
}

/// The values from which a proxy's traffic share for each zone is computed.
struct LocalityWeights<'a> {
    own_zone: ZoneId,
    regions: &'a BTreeMap<ZoneId, RegionId>,
    zone_count: f64,
    balances: BTreeMap<RegionId, RegionBalance>,
    /// Traffic that originates in the proxy's own zone beyond its fair share.
    surplus: f64,
    /// Spare capacity of all regions but the own one, after their own surplus.
    spare_elsewhere: f64,
}

/// Returns a proxy's traffic share for each zone, given the zones' fair shares of all traffic, which sum to 1.
///
/// The same amount of traffic is assumed to originate in every zone. A zone keeps its traffic up to its fair share. Its
/// surplus goes to zones with spare capacity, in proportion to that capacity: first within its own region, then to
/// what other regions have left. This uses all spare capacity and exceeds none.
pub(super) fn locality_weighted_shares(
    fair_shares: &BTreeMap<ZoneId, f64>,
    own_zone: ZoneId,
    regions: &BTreeMap<ZoneId, RegionId>,
) -> BTreeMap<ZoneId, f64> {
    let weights = LocalityWeights::new(fair_shares, own_zone, regions);
    fair_shares
        .iter()
        .map(|(zone, fair_share)| (*zone, weights.share(*zone, *fair_share)))
        .collect()
}

impl LocalityWeights<'_> {
    fn new<'a>(
        fair_shares: &BTreeMap<ZoneId, f64>,
        own_zone: ZoneId,
        regions: &'a BTreeMap<ZoneId, RegionId>,
    ) -> LocalityWeights<'a> {
        let zone_count = fair_shares.len() as f64;
        let own_share = fair_shares.get(&own_zone).copied().unwrap_or(0.0);
        let mut weights = LocalityWeights {
            own_zone,
            regions,
            zone_count,
            balances: BTreeMap::new(),
            surplus: (1.0 - own_share * zone_count).max(0.0),
            spare_elsewhere: 0.0,
        };
        for (zone, fair_share) in fair_shares {
            let region = weights.region(*zone);
            let spare = weights.spare(*fair_share);
            let balance = weights.balances.entry(region).or_default();
            balance.surplus += (1.0 - fair_share * zone_count).max(0.0);
            balance.spare += spare;
        }
        let own_region = weights.region(own_zone);
        weights.spare_elsewhere = weights
            .balances
            .iter()
            .filter(|(region, _)| **region != own_region)
            .map(|(_, balance)| balance.spare_for_others())
            .sum();
        weights
    }

    fn region(&self, zone: ZoneId) -> RegionId {
        self.regions.get(&zone).copied().unwrap_or_default()
    }

    fn balance(&self, region: RegionId) -> RegionBalance {
        self.balances.get(&region).copied().unwrap_or_default()
    }

    /// Returns a zone's fair share beyond the traffic that originates there.
    fn spare(&self, fair_share: f64) -> f64 {
        (fair_share * self.zone_count - 1.0).max(0.0)
    }

    /// Returns the proxy's traffic share for a zone.
    fn share(&self, zone: ZoneId, fair_share: f64) -> f64 {
        if zone == self.own_zone {
            return (fair_share * self.zone_count).min(1.0);
        }
        let own_region = self.region(self.own_zone);
        let region = self.region(zone);
        let balance = self.balance(region);
        let retained_fraction = self.retained_fraction(own_region);
        let fraction_of_region = fraction(self.spare(fair_share), balance.spare);
        if region == own_region {
            return self.surplus * retained_fraction * fraction_of_region;
        }
        self.surplus
            * (1.0 - retained_fraction)
            * fraction(balance.spare_for_others(), self.spare_elsewhere)
            * fraction_of_region
    }

    /// Returns the fraction of a region's surplus that stays in it; 0 if the region has no zone.
    fn retained_fraction(&self, region: RegionId) -> f64 {
        self.balances
            .get(&region)
            .map_or(0.0, RegionBalance::retained_fraction)
    }
}

/// Returns `some` as a fraction of `all`, at most 1; 0 if `all` is 0.
fn fraction(some: f64, all: f64) -> f64 {
    if all > 0.0 {
        (some / all).min(1.0)
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
