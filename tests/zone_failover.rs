//! Tests of zone failover: a zone is taken out of use when enough of its endpoints are unhealthy, returns over a ramp
//! that grows each time it flaps, and surplus traffic prefers zones of its own region.

mod common;

use common::*;
use meadowproxy::*;

/// One proxy with three zones of four backends each and an unhealthy threshold of one half.
fn fleet() -> Host {
    let zone_failover = Some(ZoneFailover {
        unhealthy_threshold: 0.5,
        recovery_ramp: Micros(4_000_000),
    });
    let cfg = Config {
        proxy_count: 1,
        zone_failover,
        ..Config::example()
    };
    let mut host = Host::new(cfg, 7);
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..12).map(|id| backend(id, id / 4, 0)).collect(),
    );
    host
}

/// Sends four requests every 10 ms for `ms` milliseconds; attempts at `bad` backends fail to connect, the others are
/// served after 10 ms. Returns the attempts per zone.
fn run_traffic(host: &mut Host, bad: &[u32], ms: u64) -> [u32; 3] {
    let mut zones = [0; 3];
    for _ in 0..ms / 10 {
        host.burst(4, 0, 2_000_000);
        host.advance(10_000);
        for (id, index) in host.attempts_in_flight() {
            let to = host.requests[&id].attempts[index].backend.0;
            zones[(to / 4) as usize] += 1;
            host.end_attempt(
                id,
                index,
                if bad.contains(&to) {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
            );
        }
    }
    zones
}

/// How many log lines contain the text.
fn log_count(host: &Host, text: &str) -> usize {
    host.log_lines.iter().filter(|l| l.contains(text)).count()
}

#[test]
fn a_zone_stays_with_one_failing_backend_and_is_left_with_half_of_them() {
    let mut host = fleet();
    run_traffic(&mut host, &[], 1_000);
    run_traffic(&mut host, &[4], 1_000);
    let zones = run_traffic(&mut host, &[4], 1_000);
    assert!(
        zones[1] > zones[0] / 2,
        "one failing backend of four moved traffic out of its zone: {zones:?}"
    );
    assert_eq!(log_count(&host, "taken out of use"), 0);
    run_traffic(&mut host, &[4, 5], 1_000);
    let zones = run_traffic(&mut host, &[4, 5], 1_000);
    assert!(
        log_count(&host, "zone 1 taken out of use") == 1,
        "{:?}",
        host.log_lines
    );
    // While out of use the zone gets only probes of its ejected backends, one at a time.
    assert!(
        zones[1] * 20 < zones[0],
        "a zone out of use kept its traffic: {zones:?}"
    );
}

/// Half of a zone silent for a moment, as when the proxy itself stalls, doesn't take the zone out of use.
#[test]
fn a_short_stall_does_not_take_a_zone_out_of_use() {
    let mut host = fleet();
    run_traffic(&mut host, &[], 1_000);
    for _ in 0..20 {
        host.burst(12, 0, 2_000_000);
        host.advance(150_000); // fifteen times the usual latency
        host.attempts_in_flight()
            .into_iter()
            .for_each(|(id, index)| host.end_attempt(id, index, Outcome::Ok));
        run_traffic(&mut host, &[], 300);
    }
    assert_eq!(
        log_count(&host, "taken out of use"),
        0,
        "{:?}",
        host.log_lines
    );
}

#[test]
fn a_flapping_zone_returns_over_a_longer_ramp_each_time() {
    let mut host = fleet();
    run_traffic(&mut host, &[], 1_000);
    let mut ramps = Vec::new();
    for _ in 0..3 {
        run_traffic(&mut host, &[4, 5, 6, 7], 1_500);
        let returned = log_count(&host, "returning");
        let mut waited = 0;
        while log_count(&host, "returning") == returned {
            run_traffic(&mut host, &[], 100);
            waited += 1;
            assert!(
                waited < 200,
                "zone 1 did not return within 20 s: {:?}",
                host.log_lines
            );
        }
        // Just after its return the zone is at the start of its ramp and gets much less than the others.
        let zones = run_traffic(&mut host, &[], 300);
        assert!(
            zones[1] * 2 < zones[0],
            "a returning zone got its traffic without a ramp: {zones:?}"
        );
        let line = host
            .log_lines
            .iter()
            .rev()
            .find(|l| l.contains("returning"))
            .unwrap()
            .clone();
        ramps.push(
            line.split("over ")
                .nth(1)
                .unwrap()
                .trim_end_matches(" s")
                .parse::<f64>()
                .unwrap(),
        );
    }
    assert!(
        ramps[0] < ramps[1] && ramps[1] < ramps[2],
        "ramps in s: {ramps:?}"
    );
    run_traffic(&mut host, &[], 20_000);
    let zones = run_traffic(&mut host, &[], 1_000);
    assert!(
        zones[1] * 3 > zones[0] * 2,
        "zone 1 does not get its share after its ramp: {zones:?}"
    );
}

/// The share of a proxy's attempts that each zone gets, for zones with `sizes` healthy backends.
fn zone_shares(
    sizes: [u32; 4],
    regions: &[(u32, u32)],
    zone_failover: Option<ZoneFailover>,
) -> [f64; 4] {
    let regions = regions
        .iter()
        .map(|(zone, region)| (ZoneId(*zone), RegionId(*region)))
        .collect();
    let mut host = Host::new(
        Config {
            proxy_count: 4,
            zone_failover,
            regions,
            ..Config::example()
        },
        3,
    );
    let zones: Vec<u32> = (0..4)
        .flat_map(|z| std::iter::repeat_n(z, sizes[z as usize] as usize))
        .collect();
    host.update_endpoints(
        EndpointUpdate::Full,
        zones
            .iter()
            .enumerate()
            .map(|(n, z)| backend(n as u32, *z, 0))
            .collect(),
    );
    let mut attempts = [0.0; 4];
    for _ in 0..300 {
        host.burst(2, 0, 2_000_000);
        host.advance(10_000);
        for (id, index) in host.attempts_in_flight() {
            attempts[host.requests[&id].attempts[index].zone.0 as usize] += 1.0;
            host.end_attempt(id, index, Outcome::Ok);
        }
    }
    let all: f64 = attempts.iter().sum();
    attempts.map(|n| n / all)
}

/// The proxy's zone 0 has capacity for half of its traffic and zone 3 is as short; zones 1 and 2 have spare capacity.
#[test]
fn surplus_stays_in_a_region_with_capacity_and_other_traffic_in_its_zone() {
    let zone_failover = Some(ZoneFailover {
        unhealthy_threshold: 0.5,
        recovery_ramp: Micros(4_000_000),
    });
    let without_regions = zone_shares([2, 6, 6, 2], &[], zone_failover);
    assert!(
        (without_regions[1] - 0.25).abs() < 0.06 && (without_regions[2] - 0.25).abs() < 0.06,
        "without regions the surplus goes to zones 1 and 2 by spare capacity: {without_regions:?}"
    );
    let same_region = zone_shares(
        [2, 6, 6, 2],
        &[(0, 1), (1, 1), (2, 2), (3, 2)],
        zone_failover,
    );
    assert!(
        (same_region[1] - 0.5).abs() < 0.06 && same_region[2] < 0.03,
        "the surplus stays in region 1, which has spare capacity: {same_region:?}"
    );
    // Both zones of region 1 are short: their surplus goes to the one zone with spare capacity in region 2.
    let other_region = zone_shares(
        [2, 4, 6, 4],
        &[(0, 1), (1, 1), (2, 2), (3, 2)],
        zone_failover,
    );
    assert!(
        (other_region[2] - 0.5).abs() < 0.06 && other_region[1] + other_region[3] < 0.06,
        "the surplus goes to zone 2, which has spare capacity: {other_region:?}"
    );
    let balanced = zone_shares(
        [4, 4, 4, 4],
        &[(0, 1), (1, 1), (2, 2), (3, 2)],
        zone_failover,
    );
    assert!(
        balanced[0] > 0.97,
        "traffic left its zone without a surplus: {balanced:?}"
    );
    let without_failover = zone_shares([4, 4, 4, 4], &[], None);
    assert!(
        without_failover[0] < 0.4,
        "without zone failover traffic spreads over all zones: {without_failover:?}"
    );
}
