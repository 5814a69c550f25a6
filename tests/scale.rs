//! Tests of the harness behind `cargo bench --bench scale`: short runs with a few dozen lightweight and real proxies on
//! real sockets, and its calculations.

// The bench uses all items of these modules, the tests only some.
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

/// The fleet module needs it to start worker processes; the workers of these tests are threads.
pub const WORKER_ARG: &str = "";
const SIZE: u32 = 36;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a fleet and waits until every proxy knows all others.
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
        fleet.join(12, Duration::ZERO, TIMEOUT).full_s.is_some(),
        "not all proxies know all others after {TIMEOUT:?}"
    );
    fleet
}

/// The number of pairs of a lightweight proxy and a member that it doesn't know as live.
fn unknown_members(fleet: &mut Fleet) -> u64 {
    fleet.samples().iter().map(|s| s.unknown_members).sum()
}

/// Waits until the observations satisfy the condition, and returns them.
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
        assert!(begun.elapsed() < TIMEOUT, "after {TIMEOUT:?}: {now:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Lightweight and real proxies know each other, and no proxy is considered down while all run. All others detect that a
/// killed proxy is down, and that it is up again after its restart.
#[test]
fn only_the_killed_proxy_is_detected_as_down() {
    let mut fleet = start_fleet(SIZE, 3);
    let begun = mono_us();
    std::thread::sleep(Duration::from_secs(3));
    let idle = fleet.observations(begun, &[], &[], None);
    assert_eq!((idle.false_downs, unknown_members(&mut fleet)), (0, 0));
    let moment = fleet.measure();
    assert!(
        moment.real.iter().all(|r| r.members == SIZE - 1),
        "a real proxy does not know all others"
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
    let detected = wait_for(
        &mut fleet,
        |f| f.observations(from, &gone, &[], None),
        |l| l.down_missing == 0,
    );
    assert_eq!(
        detected.down.iter().map(|(_, n)| n).sum::<u32>(),
        SIZE - 4,
        "each other lightweight proxy counts once"
    );
    assert_eq!(detected.false_downs, 0);

    let to = Some(fleet.start(&[20]));
    let back = [Absence {
        proxy: 20,
        from,
        to,
    }];
    let returned = wait_for(
        &mut fleet,
        |f| f.observations(from, &back, &[], None),
        |l| l.up_missing == 0,
    );
    assert_eq!(returned.false_downs, 0);
    assert!(fleet
        .wait_converged(Instant::now(), TIMEOUT)
        .full_s
        .is_some());
}

/// A partitioned region and the rest of the fleet consider each other down, and know each other again after the partition
/// heals.
#[test]
fn a_partitioned_region_rejoins_the_fleet_after_the_heal() {
    let size = 27;
    let mut fleet = start_fleet(size, 0);
    let inside = (0..size).filter(|n| fleet.plan.region(*n) == 6).count() as u64;
    assert!(inside > 2, "only {inside} proxies are in the region");
    fleet.set_faults(Faults {
        cut: Some(6),
        ..Faults::default()
    });
    let begun = Instant::now();
    // Proxies outside detect after some seconds that those inside are down; those inside need much longer for all the others.
    while unknown_members(&mut fleet) < inside * (u64::from(size) - inside) {
        assert!(
            begun.elapsed() < TIMEOUT,
            "not all outside proxies consider the partitioned ones down after {TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.set_faults(Faults::default());
    let Convergence { full_s, .. } = fleet.wait_converged(Instant::now(), TIMEOUT);
    assert!(
        full_s.is_some(),
        "the fleet is still partitioned after {TIMEOUT:?}"
    );
}

/// A probe verdict reaches nearly all proxies. Under load with dead backends the balancers send verdicts, and other proxies
/// receive them.
#[test]
fn verdicts_spread_between_lightweight_proxies() {
    let mut fleet = start_fleet(SIZE, 0);
    let probe = fleet.probe(7);
    let received = wait_for(
        &mut fleet,
        |f| f.observations(0, &[], &[probe], None),
        |l| l.received_missing <= SIZE / 4,
    );
    assert!(quantiles(&received.received).is_some());
    fleet.set_load(Some(FAILING_BACKENDS));
    let begun = Instant::now();
    loop {
        let samples = fleet.samples();
        let of = |count: fn(&protocol::Sample) -> u64| samples.iter().map(count).sum::<u64>();
        if of(|s| s.verdicts_sent) > 3 && of(|s| s.verdicts_received) > 3 * u64::from(SIZE) / 2 {
            break;
        }
        assert!(begun.elapsed() < TIMEOUT, "after {TIMEOUT:?}: {samples:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Requests a change at a real proxy until one is accepted.
fn accepted_change(fleet: &mut Fleet, proxy: usize) -> AcceptedChange {
    let mut accepted = None;
    let is_accepted = wait_until(TIMEOUT, || {
        let mut base = fleet.newest_version();
        accepted = fleet.change(proxy, &mut base).ok();
        accepted.is_some()
    });
    assert!(is_accepted, "no change was accepted within {TIMEOUT:?}");
    accepted.unwrap()
}

/// The number of changes that are reported as active at all lightweight proxies, and at all real ones.
fn active_counts(fleet: &mut Fleet, changes: &[AcceptedChange]) -> [usize; 2] {
    let requested: Vec<(u32, u64)> = changes.iter().map(|c| (c.number, c.requested_us)).collect();
    let light = fleet.observations(0, &[], &requested, None).slowest;
    let real = fleet.slowest_real_activations(changes, |_| true);
    [light, real].map(|slowest| slowest.values().flatten().count())
}

/// A change counts as active everywhere only once it is active at each lightweight and each real proxy. While one of them
/// receives no datagrams it does not have the change, which must be reported as missing until the proxy is connected again.
#[test]
fn a_change_counts_as_active_once_the_last_proxy_has_it() {
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
    let all_active = wait_until(TIMEOUT, || active_counts(&mut fleet, &changes) == [1, 1]);
    assert!(all_active, "{:?}", active_counts(&mut fleet, &changes));
    for (isolated, expected) in [(20, [1, 2]), (other, [3, 2])] {
        fleet.isolate(Isolation {
            inbound_blocked: Some(isolated),
            ..Isolation::default()
        });
        changes.push(accepted_change(&mut fleet, 1));
        let version = changes.last().unwrap().version;
        let connected = |r: &RealProxy| r.number != isolated;
        let others = SIZE - 4 - u32::from(isolated == 20);
        let number = changes.last().unwrap().number;
        let all_active = wait_until(TIMEOUT, || {
            let received = fleet.observations(0, &[], &[(number, 0)], None).received;
            let light: u32 = received.iter().map(|(_, n)| n).sum();
            light == others
                && fleet
                    .real
                    .iter()
                    .filter(|r| connected(r))
                    .all(|r| r.active_version() >= version)
        });
        assert!(
            all_active,
            "a proxy other than {isolated} does not have the change"
        );
        assert_eq!(
            active_counts(&mut fleet, &changes),
            expected,
            "proxy {isolated} has the change, or was not counted"
        );
        fleet.isolate(Isolation::default());
        let all = changes.len();
        assert!(
            wait_until(TIMEOUT, || active_counts(&mut fleet, &changes)
                == [all, all]),
            "proxy {isolated} does not have the change after it was connected again"
        );
    }
    assert_eq!(fleet.consistency_violations(), [""; 0]);
}

/// Calculated by hand: one of five changes never became active, and three of the others did within two seconds.
#[test]
fn propagation_times_count_active_and_missing_changes() {
    let slowest = [Some(10), Some(5001), None, Some(2000), Some(20)];
    let times = PropagationTimes::of(slowest.into_iter()).unwrap();
    let expected = PropagationTimes {
        changes: 5,
        ms: Some([20, 5001, 5001]),
        within_2s: 3,
        within_5s: 3,
        never: 1,
    };
    assert_eq!(times, expected);
    assert_eq!(PropagationTimes::of(std::iter::empty()), None);
}

#[test]
fn real_proxies_are_spread_over_the_zones_and_five_of_them_vote() {
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
        "no region has two voters, and the last one has none"
    );
    assert_eq!(plan.region(real[19]), 6);
    assert_eq!(
        [1, 2, 3, 4, 5, 9].map(|count| real::voter_positions(count).len()),
        [1, 1, 3, 3, 5, 5]
    );
    assert!(real::voter_positions(0).is_empty());
}

#[test]
fn each_proxy_of_a_plan_has_its_own_address() {
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

/// Calculated by hand: fits of y = 3 + 2 x without residuals and of points off the line; quantiles by rank.
#[test]
fn fits_and_quantiles_match_values_calculated_by_hand() {
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
        "the residuals are 0.5, -1 and 0.5, with one degree of freedom"
    );
    assert_eq!(LinearFit::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(quantiles(&[(10, 98), (20, 1), (30, 1)]), Some([10, 20, 30]));
    assert_eq!(quantiles(&[]), None);
}
