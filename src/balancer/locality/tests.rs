use super::*;

/// Two regions of two zones each.
fn regions() -> BTreeMap<ZoneId, RegionId> {
    (0..4)
        .map(|zone| (ZoneId(zone), RegionId(zone / 2)))
        .collect()
}

fn shares_of(own_zone: u32, fair_shares: &[f64]) -> Vec<f64> {
    let zones = (0..).map(ZoneId);
    let fair_shares = zones.zip(fair_shares.iter().copied()).collect();
    locality_weighted_shares(&fair_shares, ZoneId(own_zone), &regions())
        .into_values()
        .collect()
}

fn assert_close(found: &[f64], expected: &[f64]) {
    assert_eq!(found.len(), expected.len());
    for (found, expected) in found.iter().zip(expected) {
        assert!(
            (found - expected).abs() < 1e-12,
            "got {found}, expected {expected}"
        );
    }
}

#[test]
fn all_traffic_stays_in_a_zone_whose_fair_share_is_even() {
    assert_close(&shares_of(0, &[0.25; 4]), &[1.0, 0.0, 0.0, 0.0]);
}

#[test]
fn surplus_goes_to_the_own_region_first() {
    // Zone 0 keeps half of its traffic. Zones 1 and 2 each have room for the other half; zone 1, in the own region,
    // takes all of it.
    let shares = shares_of(0, &[0.125, 0.375, 0.375, 0.125]);
    assert_close(&shares, &[0.5, 0.5, 0.0, 0.0]);
}

#[test]
fn other_regions_take_the_surplus_that_exceeds_the_own_region() {
    let shares = shares_of(0, &[0.0, 0.375, 0.625, 0.0]);
    assert_close(&shares, &[0.0, 0.5, 0.5, 0.0]);
}

#[test]
fn the_shares_of_all_zones_add_up_to_the_fair_shares() {
    let fair_shares = [0.05, 0.3, 0.15, 0.5];
    let mut total = [0.0; 4];
    for own_zone in 0..4 {
        let shares = shares_of(own_zone, &fair_shares);
        for (sum, share) in total.iter_mut().zip(shares) {
            *sum += share / 4.0;
        }
    }
    assert_close(&total, &fair_shares);
}
