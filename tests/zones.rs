//! Zones as a whole: left on evidence with hysteresis, taken back on a ramp that grows with each flap.

mod common;

use common::*;
use shaletide::*;

/// One proxy, three zones of four backends each, zones left at half of a zone out.
fn fleet() -> Host {
    let locality = Some(Locality { leave_share: 0.5, ramp: Micros(4_000_000) });
    let cfg = Config { proxies: 1, locality, ..Config::example() };
    let mut host = Host::new(cfg, 7);
    host.members(ListUpdate::Full, (0..12).map(|id| backend(id, id / 4, 0)).collect());
    host
}

/// Requests for `ms` milliseconds, four every 10 ms; attempts to `bad` backends fail to connect, the rest are
/// served after 10 ms. Returns the attempts that each zone got.
fn play(host: &mut Host, bad: &[u32], ms: u64) -> [u32; 3] {
    let mut zones = [0; 3];
    for _ in 0..ms / 10 {
        host.burst(4, 0, 2_000_000);
        host.advance(10_000);
        for (id, no) in host.out() {
            let to = host.requests[&id].tries[no].backend.0;
            zones[(to / 4) as usize] += 1;
            host.end(id, no, if bad.contains(&to) { Outcome::ConnectFailed } else { Outcome::Ok });
        }
    }
    zones
}

fn said(host: &Host, what: &str) -> usize {
    host.logs.iter().filter(|l| l.contains(what)).count()
}

#[test]
fn one_bad_backend_keeps_its_zone_half_a_zone_leaves_it() {
    let mut host = fleet();
    play(&mut host, &[], 1_000);
    play(&mut host, &[4], 1_000);
    let zones = play(&mut host, &[4], 1_000);
    assert!(zones[1] > zones[0] / 2, "one bad backend of four moved its zone: {zones:?}");
    assert_eq!(said(&host, "left"), 0);
    play(&mut host, &[4, 5], 1_000);
    let zones = play(&mut host, &[4, 5], 1_000);
    assert!(said(&host, "zone 1 left") == 1, "{:?}", host.logs);
    // What it gets while left are trials of its ejected backends only, one at a time.
    assert!(zones[1] * 20 < zones[0], "a left zone kept its traffic: {zones:?}");
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
            assert!(waited < 200, "never returned: {:?}", host.logs);
        }
        // Just after its return the zone's share is that of a cold zone, well below the others'.
        let zones = play(&mut host, &[], 300);
        assert!(zones[1] * 2 < zones[0], "no ramp: {zones:?}");
        let line = host.logs.iter().rev().find(|l| l.contains("returning")).unwrap().clone();
        ramps.push(line.split("over ").nth(1).unwrap().trim_end_matches(" s").parse::<f64>().unwrap());
    }
    assert!(ramps[0] < ramps[1] && ramps[1] < ramps[2], "{ramps:?}");
    play(&mut host, &[], 20_000);
    let zones = play(&mut host, &[], 1_000);
    assert!(zones[1] * 3 > zones[0] * 2, "back in full after its ramp: {zones:?}");
}
