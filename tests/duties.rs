//! Duties that one proxy holds at a time, and the maintenance windows that it keeps: several real processes, with
//! faults between them (`rig::faults`), steady clients, and backends that write down what reached them.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::fleet::{Fleet, Shape};
use rig::holdings::{contradictions, events, holdings, Life};
use rig::*;
use std::time::Duration;

fn life(proxy: usize, killed: Option<u64>, log: &str) -> Life {
    Life {
        proxy,
        log: log.into(),
        killed,
    }
}

/// The check that all tests below rest on: it accepts what is sound, and tells each way of being wrong.
#[test]
fn the_overlap_check_tells_two_holders_a_token_that_fell_and_a_late_act() {
    let held = |token: &str, at: u64| {
        format!(" event=\"duty_held\" duty=calendar token={token} mono_us={at}\n")
    };
    let over = |token: &str, at: u64, until: u64| {
        format!(
            " event=\"duty_over\" duty=calendar token={token} reason=\"a b\" mono_us={at} until_us={until}\n"
        )
    };
    let act = |token: &str, at: u64| {
        format!(" event=\"window\" window=w from=planned to=draining token={token} mono_us={at}\n")
    };
    let first = held("10-7", 100) + &act("10-7", 150) + &over("10-7", 300, 900); // it was stopped from 200 to 900
    let second = held("11-3", 400) + &act("11-3", 500);
    let sound = [
        life(0, None, &first),
        life(1, Some(600), &second),
        life(2, None, &held("12-1", 700)),
    ];
    assert_eq!(contradictions(&sound), [""; 0]);
    let told = |n: usize, text: &str, what: &str| {
        let mut wrong = sound.clone();
        wrong[n].log = text.into();
        let wrong = contradictions(&wrong);
        assert!(
            wrong.iter().any(|w| w.contains(what)),
            "{what} not told: {wrong:?}"
        );
    };
    told(0, &held("10-7", 100), "two holders at once"); // never over
    told(
        0,
        &(held("10-7", 100) + &over("10-7", 401, 900)),
        "two holders at once",
    );
    told(2, &held("12-1", 599), "two holders at once");
    told(2, &held("11-2", 700), "did not grow");
    told(
        0,
        &(first.clone() + &act("10-7", 901)),
        "outside of its holding",
    );
    told(2, &act("11-3", 500), "outside of its holding");
    // Each duty has a holder of its own.
    let other = |line: String| line.replace("duty=calendar", "duty=config");
    let both = [
        sound.to_vec(),
        vec![life(3, None, &other(held("10-7", 450)))],
    ]
    .concat();
    assert_eq!(contradictions(&both), [""; 0]);
    let two = [both, vec![life(4, None, &other(held("11-7", 460)))]].concat();
    assert!(contradictions(&two)
        .iter()
        .any(|w| w.contains("two holders at once")));
}

/// Five proxies hand a duty on by leases while a seed picks what befalls the fleet: its holder is killed and started again
/// with empty memory, is stopped past its lease, is cut off, hears nobody, is heard by nobody, or ends by SIGTERM; all the
/// while datagrams are lost, doubled, late, spoiled and replayed. There is a holder again each time, and never two.
#[test]
fn one_proxy_at_a_time_holds_a_duty_whatever_befalls_the_fleet() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = vec![entry("b0", backend.address, "SERVING")];
    let shape = Shape {
        size: 5,
        seed: 7,
        known,
        voters: 3,
        lease_ms: 800,
        floor: 0.5,
        max_age_s: 5.0,
        ..Shape::default()
    };
    let mut fleet = Fleet::of(shape);
    let noise = |fleet: &Fleet| {
        let mut rules = fleet.faults.rules.lock().unwrap();
        (rules.drop, rules.double, rules.spoil, rules.replay) = (0.1, 0.1, 0.05, 0.05);
        rules.late = Duration::from_millis(50);
    };
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let (mut befallen, mut ended) = (Vec::new(), Vec::new());
    while befallen.len() < 10 {
        noise(&fleet);
        let (holder, token) = fleet.holder(&[]);
        let others: Vec<usize> = (0..5).filter(|n| *n != holder).collect();
        let one_way =
            |pairs: Vec<(usize, usize)>| fleet.faults.rules.lock().unwrap().cut.extend(pairs);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let fate = if befallen.len() < 6 {
            befallen.len() as u64
        } else {
            state % 6
        };
        befallen.push(fate);
        match fate {
            0 => fleet.kill(&[holder]),
            1 => fleet.proxies[holder].signal("-STOP"),
            2 => fleet.faults.split(&[&[holder], &others]),
            3 => one_way(others.iter().map(|n| (*n, holder)).collect()),
            4 => one_way(others.iter().map(|n| (holder, *n)).collect()),
            _ => ended.push((holder, fleet.end(holder))),
        }
        fleet.wait("a successor", |f| {
            holdings(&f.lives())
                .iter()
                .any(|h| h.token > token)
                .then_some(())
        });
        match fate {
            0 | 5 => fleet.restart(holder),
            1 => fleet.proxies[holder].signal("-CONT"),
            _ => {}
        }
        fleet.faults.heal();
        let over = |f: &Fleet| {
            holdings(&f.lives())
                .iter()
                .all(|h| h.token != token || h.to != u64::MAX)
        };
        fleet.wait("the first holding to be over", |f| over(f).then_some(()));
    }
    let lives = fleet.lives();
    let wrong = contradictions(&lives);
    assert!(wrong.is_empty(), "{wrong:#?}");
    let over = |l: &Life| events(&l.log, "duty_over").any(|line| line.contains("term over"));
    assert!(lives.iter().any(over), "some holding ended by its term");
    // Whoever goes by SIGTERM has said that it holds nothing any more.
    let kept = |h: &&holdings::Holding| ended.contains(&(h.proxy, h.to));
    assert_eq!(holdings(&lives).iter().find(kept), None);
    eprintln!(
        "{befallen:?}: {} holdings, never two at once",
        holdings(&lives).len()
    );
}
