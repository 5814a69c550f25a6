//! Zones as a whole: left on evidence with hysteresis, taken back on a ramp that grows with each flap.

mod common;

use common::*;
use meadowproxy::*;

/// One proxy, three zones of four backends each, zones left at half of a zone out.
fn fleet() -> Host {
    let locality = Some(ZoneFailover {
        unhealthy_threshold: 0.5,
        recovery_ramp: Micros(4_000_000),
    });
    let cfg = Config {
        proxy_count: 1,
        zone_failover: locality,
        ..Config::example()
    };
    let mut host = Host::new(cfg, 7);
    host.update_endpoints(
        EndpointUpdate::Full,
        (0..12).map(|id| backend(id, id / 4, 0)).collect(),
    );
    host
}

/// Requests for `ms` milliseconds, four every 10 ms; attempts to `bad` backends fail to connect, the rest are
/// served after 10 ms. Returns the attempts that each zone got.
fn play(host: &mut Host, bad: &[u32], ms: u64) -> [u32; 3] {
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

fn said(host: &Host, what: &str) -> usize {
    host.log_lines.iter().filter(|l| l.contains(what)).count()
}

#[test]
fn one_bad_backend_keeps_its_zone_half_a_zone_leaves_it() {
    let mut host = fleet();
    play(&mut host, &[], 1_000);
    play(&mut host, &[4], 1_000);
    let zones = play(&mut host, &[4], 1_000);
    assert!(
        zones[1] > zones[0] / 2,
        "one bad backend of four moved its zone: {zones:?}"
    );
    assert_eq!(said(&host, "taken out of use"), 0);
    play(&mut host, &[4, 5], 1_000);
    let zones = play(&mut host, &[4, 5], 1_000);
    assert!(
        said(&host, "zone 1 taken out of use") == 1,
        "{:?}",
        host.log_lines
    );
    // What it gets while left are trials of its ejected backends only, one at a time.
    assert!(
        zones[1] * 20 < zones[0],
        "a left zone kept its traffic: {zones:?}"
    );
}

/// Half of a zone silent for a moment, as when the proxy itself is held up, is no reason to leave it.
#[test]
fn a_hiccup_does_not_move_a_zone() {
    let mut host = fleet();
    play(&mut host, &[], 1_000);
    for _ in 0..20 {
        host.burst(12, 0, 2_000_000);
        host.advance(150_000); // fifteen times the usual answer's time
        host.attempts_in_flight()
            .into_iter()
            .for_each(|(id, index)| host.end_attempt(id, index, Outcome::Ok));
        play(&mut host, &[], 300);
    }
    assert_eq!(said(&host, "taken out of use"), 0, "{:?}", host.log_lines);
}

#[test]
fn a_zone_that_flaps_returns_slower_each_time() {
    let mut host = fleet();
    play(&mut host, &[], 1_000);
    let mut ramps = Vec::new();
    for _ in 0..3 {
        play(&mut host, &[4, 5, 6, 7], 1_500);
        let returned = said(&host, "returning");
        let mut waited = 0;
        while said(&host, "returning") == returned {
            play(&mut host, &[], 100);
            waited += 1;
            assert!(waited < 200, "never returned: {:?}", host.log_lines);
        }
        // Just after its return the zone's share is that of a cold zone, well below the others'.
        let zones = play(&mut host, &[], 300);
        assert!(zones[1] * 2 < zones[0], "no ramp: {zones:?}");
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
    assert!(ramps[0] < ramps[1] && ramps[1] < ramps[2], "{ramps:?}");
    play(&mut host, &[], 20_000);
    let zones = play(&mut host, &[], 1_000);
    assert!(
        zones[1] * 3 > zones[0] * 2,
        "back in full after its ramp: {zones:?}"
    );
}

/// Where a proxy's attempts go, of zones with so many backends each, all well: parts of a thousand and more.
fn parts(sizes: [u32; 4], regions: &[(u32, u32)], locality: Option<ZoneFailover>) -> [f64; 4] {
    let regions = regions
        .iter()
        .map(|(zone, region)| (ZoneId(*zone), RegionId(*region)))
        .collect();
    let mut host = Host::new(
        Config {
            proxy_count: 4,
            zone_failover: locality,
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
    let mut got = [0.0; 4];
    for _ in 0..300 {
        host.burst(2, 0, 2_000_000);
        host.advance(10_000);
        for (id, index) in host.attempts_in_flight() {
            got[host.requests[&id].attempts[index].zone.0 as usize] += 1.0;
            host.end_attempt(id, index, Outcome::Ok);
        }
    }
    let all: f64 = got.iter().sum();
    got.map(|n| n / all)
}

/// A proxy in zone 0, which is due half of what it brings; zone 3 is as short, zones 1 and 2 have the room.
#[test]
fn surplus_stays_in_the_region_that_has_room_and_calm_traffic_stays_in_its_zone() {
    let locality = Some(ZoneFailover {
        unhealthy_threshold: 0.5,
        recovery_ramp: Micros(4_000_000),
    });
    let flat = parts([2, 6, 6, 2], &[], locality);
    assert!(
        (flat[1] - 0.25).abs() < 0.06 && (flat[2] - 0.25).abs() < 0.06,
        "one region: by room {flat:?}"
    );
    let near = parts([2, 6, 6, 2], &[(0, 1), (1, 1), (2, 2), (3, 2)], locality);
    assert!(
        (near[1] - 0.5).abs() < 0.06 && near[2] < 0.03,
        "its region has the room: {near:?}"
    );
    // Region 1 lacks in both its zones: what it cannot take goes out, to the room there only.
    let out = parts([2, 4, 6, 4], &[(0, 1), (1, 1), (2, 2), (3, 2)], locality);
    assert!(
        (out[2] - 0.5).abs() < 0.06 && out[1] + out[3] < 0.06,
        "out where there is room: {out:?}"
    );
    let calm = parts([4, 4, 4, 4], &[(0, 1), (1, 1), (2, 2), (3, 2)], locality);
    assert!(calm[0] > 0.97, "calm, yet {calm:?}");
    let before = parts([4, 4, 4, 4], &[], None);
    assert!(
        before[0] < 0.4,
        "the setting is what keeps it near: {before:?}"
    );
}
