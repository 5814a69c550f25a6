//! A short run of what `cargo bench --bench scale` plays: a few dozen hollow proxies on real sockets.

// The bench uses all of these; a short run of it does not.
#[allow(dead_code)]
#[path = "../benches/scale/balance.rs"]
mod balance;
#[allow(dead_code)]
#[path = "../benches/scale/figures.rs"]
mod figures;
#[allow(dead_code)]
#[path = "../benches/scale/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "../benches/common/generated.rs"]
mod generated;
#[allow(dead_code)]
#[path = "../benches/scale/hollow.rs"]
mod hollow;
#[allow(dead_code)]
#[path = "../benches/scale/hollow_replica.rs"]
mod hollow_replica;
#[path = "../benches/scale/in_force.rs"]
mod in_force;
#[path = "../benches/scale/learned.rs"]
mod learned;
#[allow(dead_code)]
#[path = "../src/net/cluster/coordination/message.rs"]
mod message;
mod net {
    pub mod cluster {
        pub mod gossip {
            pub use meadowproxy::fleet::membership::wire;
        }
    }
}
#[allow(dead_code)]
#[path = "../benches/scale/plan.rs"]
mod plan;
#[allow(dead_code)]
#[path = "../benches/scale/protocol.rs"]
mod protocol;
#[path = "../benches/scale/quiet.rs"]
mod quiet;
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

use figures::{quantiles, Line, Spread};
use fleet::{Changed, Fleet, Shape, Whole, TROUBLE};
use hollow::mono_us;
use plan::Plan;
use protocol::{Absence, Faults, Isolation, Learned};
use real::{wait, RealProxy};
use std::time::{Duration, Instant};

/// Workers are threads here.
pub const HIDDEN: &str = "";
const SIZE: u32 = 36;
const PATIENCE: Duration = Duration::from_secs(60);

fn joined(size: u32, real: u32) -> Fleet {
    let mut fleet = Fleet::new(Shape {
        size,
        seed: 5,
        real,
        full: false,
        each: 12,
        threads: true,
    });
    assert!(
        fleet.join(12, Duration::ZERO, PATIENCE).all_s.is_some(),
        "they never knew all"
    );
    fleet
}

fn lacking(fleet: &mut Fleet) -> u64 {
    fleet.samples().iter().map(|s| s.lacking).sum()
}

/// Waits for what must come; how it was then.
fn until(
    fleet: &mut Fleet,
    mut learned: impl FnMut(&mut Fleet) -> Learned,
    done: fn(&Learned) -> bool,
) -> Learned {
    let begun = Instant::now();
    loop {
        let now = learned(fleet);
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
    let mut fleet = joined(SIZE, 3);
    let begun = mono_us();
    std::thread::sleep(Duration::from_secs(3));
    let quiet = fleet.learned(begun, &[], &[], None);
    assert_eq!((quiet.false_downs, lacking(&mut fleet)), (0, 0));
    let moment = fleet.moment();
    assert!(
        moment.real.iter().all(|r| r.members == SIZE - 1),
        "a real one lacks some"
    );
    assert_eq!(
        moment.hollow.iter().map(|s| s.proxies).sum::<u32>(),
        SIZE - 3
    );

    let from = mono_us();
    fleet.stop(&[20], false);
    let gone = [Absence {
        proxy: 20,
        from,
        to: None,
    }];
    let missed = until(
        &mut fleet,
        |f| f.learned(from, &gone, &[], None),
        |l| l.gone_missing == 0,
    );
    assert_eq!(
        missed.gone.iter().map(|(_, n)| n).sum::<u32>(),
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
    let known = until(
        &mut fleet,
        |f| f.learned(from, &back, &[], None),
        |l| l.back_missing == 0,
    );
    assert_eq!(known.false_downs, 0);
    assert!(fleet.whole(Instant::now(), PATIENCE).all_s.is_some());
}

/// A region that is cut off is missed and misses the others, and all are one fleet again after the heal.
#[test]
fn a_cut_off_region_is_missed_and_grows_together_again() {
    let size = 27;
    let mut fleet = joined(size, 0);
    let inside = (0..size).filter(|n| fleet.plan.region(*n) == 6).count() as u64;
    assert!(inside > 2, "{inside}");
    fleet.faults(Faults {
        cut: Some(6),
        ..Faults::default()
    });
    let begun = Instant::now();
    // Who is outside misses all inside after some seconds, who is inside all others only much later.
    while lacking(&mut fleet) < inside * (u64::from(size) - inside) {
        assert!(begun.elapsed() < PATIENCE, "the cut lets something pass");
        std::thread::sleep(Duration::from_millis(100));
    }
    fleet.faults(Faults::default());
    let Whole { all_s, .. } = fleet.whole(Instant::now(), PATIENCE);
    assert!(all_s.is_some(), "two fleets");
}

/// Under load with dead backends the module tells verdicts and the others hear them; a probe reaches nearly all.
#[test]
fn verdicts_spread_between_hollow_proxies() {
    let mut fleet = joined(SIZE, 0);
    let probe = fleet.probe(7);
    let heard = until(
        &mut fleet,
        |f| f.learned(0, &[], &[probe], None),
        |l| l.heard_missing <= SIZE / 4,
    );
    assert!(quantiles(&heard.heard).is_some());
    fleet.load(Some(TROUBLE));
    let begun = Instant::now();
    loop {
        let samples = fleet.samples();
        let of = |count: fn(&protocol::Sample) -> u64| samples.iter().map(count).sum::<u64>();
        if of(|s| s.told) > 3 && of(|s| s.heard) > 3 * u64::from(SIZE) / 2 {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "{samples:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// A change at that door that is taken in the end.
fn changed(fleet: &mut Fleet, door: usize) -> Changed {
    let mut taken = None;
    let came = wait(PATIENCE, || {
        let mut base = fleet.version();
        taken = fleet.change(door, &mut base).ok();
        taken.is_some()
    });
    assert!(came, "no change was taken");
    taken.unwrap()
}

/// Of how many changes it is told that they are in force at the last hollow proxy, and at the last real one.
fn told_in_force(fleet: &mut Fleet, changes: &[Changed]) -> [usize; 2] {
    let asked: Vec<(u32, u64)> = changes.iter().map(|c| (c.number, c.asked)).collect();
    let hollow = fleet.learned(0, &[], &asked, None).slowest;
    let real = fleet.real_slowest(changes, |_| true);
    [hollow, real].map(|slowest| slowest.values().flatten().count())
}

/// A change at a door is in force at each hollow proxy and at each real one, and the run says so; where one of them, hollow
/// or real, hears nobody, the run says that it is not, until it hears again.
#[test]
fn a_change_counts_once_it_is_in_force_at_the_last_proxy() {
    let mut fleet = joined(SIZE, 4);
    let voting: Vec<u32> = fleet
        .real
        .iter()
        .filter(|r| r.votes)
        .map(|r| r.number)
        .collect();
    let other = fleet.real.iter().find(|r| !r.votes).unwrap().number;
    assert_eq!((voting.as_slice(), other), (&[0, 9, 18][..], 27));
    let mut changes = vec![changed(&mut fleet, 0)];
    let came = wait(PATIENCE, || told_in_force(&mut fleet, &changes) == [1, 1]);
    assert!(came, "{:?}", told_in_force(&mut fleet, &changes));
    for (deaf, told) in [(20, [1, 2]), (other, [3, 2])] {
        fleet.isolate(Isolation {
            deaf: Some(deaf),
            ..Isolation::default()
        });
        changes.push(changed(&mut fleet, 1));
        let version = changes.last().unwrap().version;
        let hears = |r: &RealProxy| r.number != deaf;
        let others = SIZE - 4 - u32::from(deaf == 20);
        let number = changes.last().unwrap().number;
        let came = wait(PATIENCE, || {
            let heard = fleet.learned(0, &[], &[(number, 0)], None).heard;
            let hollow: u32 = heard.iter().map(|(_, n)| n).sum();
            hollow == others
                && fleet
                    .real
                    .iter()
                    .filter(|r| hears(r))
                    .all(|r| r.in_force() >= version)
        });
        assert!(came, "all but {deaf} should have it");
        assert_eq!(
            told_in_force(&mut fleet, &changes),
            told,
            "{deaf} has it, or is not asked"
        );
        fleet.isolate(Isolation::default());
        let all = changes.len();
        assert!(
            wait(PATIENCE, || told_in_force(&mut fleet, &changes)
                == [all, all]),
            "{deaf} never had it"
        );
    }
    assert_eq!(fleet.contradictions(), [""; 0]);
}

/// By hand: of five changes one never came, and of the others three came within two seconds.
#[test]
fn a_spread_counts_what_came_and_what_did_not() {
    let slowest = [Some(10), Some(5001), None, Some(2000), Some(20)];
    let spread = Spread::of(slowest.into_iter()).unwrap();
    let by_hand = Spread {
        changes: 5,
        ms: Some([20, 5001, 5001]),
        within_2s: 3,
        within_5s: 3,
        never: 1,
    };
    assert_eq!(spread, by_hand);
    assert_eq!(Spread::of(std::iter::empty()), None);
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
    let voting: Vec<u32> = real::voting(20)
        .iter()
        .map(|n| plan.region(real[*n as usize]))
        .collect();
    assert_eq!(
        voting,
        [0, 1, 2, 4, 5],
        "no region has two, and the last none"
    );
    assert_eq!(plan.region(real[19]), 6);
    assert_eq!(
        [1, 2, 3, 4, 5, 9].map(|count| real::voting(count).len()),
        [1, 1, 3, 3, 5, 5]
    );
    assert!(real::voting(0).is_empty());
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
    let line = Line::through(&[(0.0, 3.0), (1.0, 5.0), (2.0, 7.0)]).unwrap();
    assert_eq!(
        line,
        Line {
            at_zero: 3.0,
            slope: 2.0,
            residual: 0.0
        }
    );
    let off = Line::through(&[(0.0, 0.0), (1.0, 0.0), (2.0, 3.0)]).unwrap();
    assert!((off.slope - 1.5).abs() < 1e-9 && (off.at_zero + 0.5).abs() < 1e-9);
    assert!(
        (off.residual - 1.5f64.sqrt()).abs() < 1e-9,
        "0.5, -1 and 0.5 are left, one degree of freedom"
    );
    assert_eq!(Line::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(quantiles(&[(10, 98), (20, 1), (30, 1)]), Some([10, 20, 30]));
    assert_eq!(quantiles(&[]), None);
}
