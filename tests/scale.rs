//! A short run of what `cargo bench --bench scale` plays: a few dozen hollow proxies on real sockets.

// The bench uses all of these; a short run of it does not.
#[path = "../benches/scale/activation.rs"]
mod activation;
#[allow(dead_code)]
#[path = "../benches/scale/balancer_driver.rs"]
mod balancer_driver;
#[allow(dead_code)]
#[path = "../benches/scale/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../benches/common/generated.rs"]
mod generated;
#[allow(dead_code)]
#[path = "../benches/scale/light_proxy.rs"]
mod light_proxy;
#[allow(dead_code)]
#[path = "../benches/scale/light_replica.rs"]
mod light_replica;
#[allow(dead_code)]
#[path = "../src/net/cluster/coordination/message.rs"]
mod message;
#[path = "../benches/scale/observations.rs"]
mod observations;
#[allow(dead_code)]
#[path = "../benches/scale/report.rs"]
mod report;
mod net {
    pub mod cluster {
        pub mod gossip {
            pub use meadowproxy::fleet::membership::wire;
        }
    }
}
#[path = "../benches/scale/idle_discovery.rs"]
mod idle_discovery;
#[allow(dead_code)]
#[path = "../benches/scale/plan.rs"]
mod plan;
#[allow(dead_code)]
#[path = "../benches/scale/protocol.rs"]
mod protocol;
#[allow(dead_code)]
#[path = "../benches/scale/real.rs"]
mod real;
#[allow(dead_code)]
#[path = "../benches/scale/relay.rs"]
mod relay;
mod rig;
#[allow(dead_code)]
#[path = "../benches/scale/worker.rs"]
mod worker;

use fleet::{AcceptedChange, Convergence, Fleet, FleetOptions, FAILING_BACKENDS};
use light_proxy::mono_us;
use plan::Plan;
use protocol::{Absence, Faults, Isolation, Observations};
use real::{wait_until, RealProxy};
use report::{quantiles, LinearFit, PropagationTimes};
use std::time::{Duration, Instant};

/// Workers are threads here.
pub const WORKER_ARG: &str = "";
const SIZE: u32 = 36;
const PATIENCE: Duration = Duration::from_secs(60);

fn start_fleet(size: u32, real: u32) -> Fleet {
    let mut fleet = Fleet::new(FleetOptions {
        size,
        seed: 5,
        real,
        full: false,
        proxies_per_worker: 12,
        threads: true,
    });
    assert!(
        fleet.join(12, Duration::ZERO, PATIENCE).full_s.is_some(),
        "they never knew all"
    );
    fleet
}

fn unknown_members(fleet: &mut Fleet) -> u64 {
    fleet.samples().iter().map(|s| s.unknown_members).sum()
}

/// Waits for what must come; how it was then.
fn wait_for(
    fleet: &mut Fleet,
    mut observe: impl FnMut(&mut Fleet) -> Observations,
    done: fn(&Observations) -> bool,
) -> Observations {
    let begun = Instant::now();
    loop {
        let now = observe(fleet);
        if done(&now) {
            return now;
        }
        assert!(begun.elapsed() < PATIENCE, "{now:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Hollow proxies and real ones know all of each other; while it is quiet nobody is taken for down, and one that is killed
/// is missed by all others and known again once it is back.
#[test]
fn a_fleet_of_hollow_and_real_proxies_misses_only_who_is_gone() {
    let mut fleet = start_fleet(SIZE, 3);
    let begun = mono_us();
    std::thread::sleep(Duration::from_secs(3));
    let quiet = fleet.observations(begun, &[], &[], None);
    assert_eq!((quiet.false_downs, unknown_members(&mut fleet)), (0, 0));
    let moment = fleet.measure();
    assert!(
        moment.real.iter().all(|r| r.members == SIZE - 1),
        "a real one lacks some"
    );
    assert_eq!(
        moment.light.iter().map(|s| s.proxies).sum::<u32>(),
        SIZE - 3
    );

    let from = mono_us();
    fleet.stop(&[20], false);
    let gone = [Absence {
        proxy: 20,
        from,
        to: None,
    }];
    let missed = wait_for(
        &mut fleet,
        |f| f.observations(from, &gone, &[], None),
        |l| l.down_missing == 0,
    );
    assert_eq!(
        missed.down.iter().map(|(_, n)| n).sum::<u32>(),
        SIZE - 4,
        "each other hollow one, once"
    );
    assert_eq!(missed.false_downs, 0);

    let to = Some(fleet.start(&[20]));
    let back = [Absence {
        proxy: 20,
        from,
        to,
    }];
    let known = wait_for(
        &mut fleet,
        |f| f.observations(from, &back, &[], None),
        |l| l.up_missing == 0,
    );
    assert_eq!(known.false_downs, 0);
    assert!(fleet
        .wait_converged(Instant::now(), PATIENCE)
        .full_s
        .is_some());
}

/// A region that is cut off is missed and misses the others, and all are one fleet again after the heal.
#[test]
fn a_cut_off_region_is_missed_and_grows_together_again() {
    let size = 27;
    let mut fleet = start_fleet(size, 0);
    let inside = (0..size).filter(|n| fleet.plan.region(*n) == 6).count() as u64;
    assert!(inside > 2, "{inside}");
    fleet.set_faults(Faults {
        cut: Some(6),
        ..Faults::default()
    });
    let begun = Instant::now();
    // Who is outside misses all inside after some seconds, who is inside all others only much later.
    while unknown_members(&mut fleet) < inside * (u64::from(size) - inside) {
        assert!(begun.elapsed() < PATIENCE, "the cut lets something pass");
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.set_faults(Faults::default());
    let Convergence { full_s, .. } = fleet.wait_converged(Instant::now(), PATIENCE);
    assert!(full_s.is_some(), "two fleets");
}

/// Under load with dead backends the module tells verdicts and the others hear them; a probe reaches nearly all.
#[test]
fn verdicts_spread_between_hollow_proxies() {
    let mut fleet = start_fleet(SIZE, 0);
    let probe = fleet.probe(7);
    let heard = wait_for(
        &mut fleet,
        |f| f.observations(0, &[], &[probe], None),
        |l| l.received_missing <= SIZE / 4,
    );
    assert!(quantiles(&heard.received).is_some());
    fleet.set_load(Some(FAILING_BACKENDS));
    let begun = Instant::now();
    loop {
        let samples = fleet.samples();
        let of = |count: fn(&protocol::Sample) -> u64| samples.iter().map(count).sum::<u64>();
        if of(|s| s.verdicts_sent) > 3 && of(|s| s.verdicts_received) > 3 * u64::from(SIZE) / 2 {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "{samples:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// A change at that door that is taken in the end.
fn accepted_change(fleet: &mut Fleet, proxy: usize) -> AcceptedChange {
    let mut taken = None;
    let came = wait_until(PATIENCE, || {
        let mut base = fleet.newest_version();
        taken = fleet.change(proxy, &mut base).ok();
        taken.is_some()
    });
    assert!(came, "no change was taken");
    taken.unwrap()
}

/// Of how many changes it is told that they are in force at the last hollow proxy, and at the last real one.
fn active_counts(fleet: &mut Fleet, changes: &[AcceptedChange]) -> [usize; 2] {
    let asked: Vec<(u32, u64)> = changes.iter().map(|c| (c.number, c.requested_us)).collect();
    let light = fleet.observations(0, &[], &asked, None).slowest;
    let real = fleet.slowest_real_activations(changes, |_| true);
    [light, real].map(|slowest| slowest.values().flatten().count())
}

/// A change at a door is in force at each hollow proxy and at each real one, and the run says so; where one of them, hollow
/// or real, hears nobody, the run says that it is not, until it hears again.
#[test]
fn a_change_counts_once_it_is_in_force_at_the_last_proxy() {
    let mut fleet = start_fleet(SIZE, 4);
    let voters: Vec<u32> = fleet
        .real
        .iter()
        .filter(|r| r.is_voter)
        .map(|r| r.number)
        .collect();
    let other = fleet.real.iter().find(|r| !r.is_voter).unwrap().number;
    assert_eq!((voters.as_slice(), other), (&[0, 9, 18][..], 27));
    let mut changes = vec![accepted_change(&mut fleet, 0)];
    let came = wait_until(PATIENCE, || active_counts(&mut fleet, &changes) == [1, 1]);
    assert!(came, "{:?}", active_counts(&mut fleet, &changes));
    for (deaf, told) in [(20, [1, 2]), (other, [3, 2])] {
        fleet.isolate(Isolation {
            inbound_blocked: Some(deaf),
            ..Isolation::default()
        });
        changes.push(accepted_change(&mut fleet, 1));
        let version = changes.last().unwrap().version;
        let hears = |r: &RealProxy| r.number != deaf;
        let others = SIZE - 4 - u32::from(deaf == 20);
        let number = changes.last().unwrap().number;
        let came = wait_until(PATIENCE, || {
            let heard = fleet.observations(0, &[], &[(number, 0)], None).received;
            let light: u32 = heard.iter().map(|(_, n)| n).sum();
            light == others
                && fleet
                    .real
                    .iter()
                    .filter(|r| hears(r))
                    .all(|r| r.active_version() >= version)
        });
        assert!(came, "all but {deaf} should have it");
        assert_eq!(
            active_counts(&mut fleet, &changes),
            told,
            "{deaf} has it, or is not asked"
        );
        fleet.isolate(Isolation::default());
        let all = changes.len();
        assert!(
            wait_until(PATIENCE, || active_counts(&mut fleet, &changes)
                == [all, all]),
            "{deaf} never had it"
        );
    }
    assert_eq!(fleet.consistency_violations(), [""; 0]);
}

/// By hand: of five changes one never came, and of the others three came within two seconds.
#[test]
fn a_spread_counts_what_came_and_what_did_not() {
    let slowest = [Some(10), Some(5001), None, Some(2000), Some(20)];
    let spread = PropagationTimes::of(slowest.into_iter()).unwrap();
    let by_hand = PropagationTimes {
        changes: 5,
        ms: Some([20, 5001, 5001]),
        within_2s: 3,
        within_5s: 3,
        never: 1,
    };
    assert_eq!(spread, by_hand);
    assert_eq!(PropagationTimes::of(std::iter::empty()), None);
}

#[test]
fn real_proxies_are_spread_over_the_plan_and_five_of_them_vote() {
    let plan = Plan {
        size: 1800,
        port: 7,
        seed: 1,
    };
    let real = plan.real(20);
    let zones: std::collections::BTreeSet<u32> = real.iter().map(|n| plan.zone(*n)).collect();
    assert_eq!(zones.len(), 20);
    let voters: Vec<u32> = real::voter_positions(20)
        .iter()
        .map(|n| plan.region(real[*n as usize]))
        .collect();
    assert_eq!(
        voters,
        [0, 1, 2, 4, 5],
        "no region has two, and the last none"
    );
    assert_eq!(plan.region(real[19]), 6);
    assert_eq!(
        [1, 2, 3, 4, 5, 9].map(|count| real::voter_positions(count).len()),
        [1, 1, 3, 3, 5, 5]
    );
    assert!(real::voter_positions(0).is_empty());
}

#[test]
fn each_place_of_the_plan_has_an_address_of_its_own() {
    for size in [30, 100, 300, 900, 1800] {
        let plan = Plan {
            size,
            port: 7,
            seed: 1,
        };
        for n in 0..size {
            assert_eq!(plan.proxy(plan.address(n)), Some(n));
            assert!(plan.in_zone(plan.zone(n)).contains(&n));
        }
        assert_eq!((plan.zone(size - 1), plan.region(size - 1)), (26, 6));
    }
    assert_eq!(
        Plan {
            size: 1800,
            port: 7,
            seed: 1
        }
        .in_zone(13)
        .len(),
        67
    );
}

/// By hand: the line y = 3 + 2 x with one point a whole unit off; quantiles by rank.
#[test]
fn lines_and_quantiles_are_as_worked_out_by_hand() {
    let line = LinearFit::through(&[(0.0, 3.0), (1.0, 5.0), (2.0, 7.0)]).unwrap();
    assert_eq!(
        line,
        LinearFit {
            at_zero: 3.0,
            slope: 2.0,
            residual: 0.0
        }
    );
    let off = LinearFit::through(&[(0.0, 0.0), (1.0, 0.0), (2.0, 3.0)]).unwrap();
    assert!((off.slope - 1.5).abs() < 1e-9 && (off.at_zero + 0.5).abs() < 1e-9);
    assert!(
        (off.residual - 1.5f64.sqrt()).abs() < 1e-9,
        "0.5, -1 and 0.5 are left, one degree of freedom"
    );
    assert_eq!(LinearFit::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(quantiles(&[(10, 98), (20, 1), (30, 1)]), Some([10, 20, 30]));
    assert_eq!(quantiles(&[]), None);
}
