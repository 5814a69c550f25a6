//! Checks that at most one proxy of a fleet holds a duty's lease at a time, with several real processes and network faults
//! between them (`rig::faults`). `windows.rs` has the tests of the maintenance windows that the lease holder runs.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::fleet::{Fleet, FleetOptions};
use rig::lease_history::{calendar_holdings, event_lines, lease_violations, Incarnation};
use rig::*;
use std::time::Duration;

fn incarnation(proxy: usize, ended_us: Option<u64>, log: &str) -> Incarnation {
    Incarnation {
        proxy,
        log: log.into(),
        ended_us,
    }
}

/// `lease_violations`, on which the test below and those of `windows.rs` and `fleet_config.rs` rely, accepts a valid history
/// and finds each kind of violation.
#[test]
fn the_lease_check_finds_two_holders_a_decreased_token_and_a_late_action() {
    let held = |token: &str, at: u64| {
        format!(" event=\"duty_held\" duty=calendar token={token} mono_us={at}\n")
    };
    let over = |token: &str, at: u64, until: u64| {
        format!(
            " event=\"duty_over\" duty=calendar token={token} reason=\"a b\" mono_us={at} until_us={until}\n"
        )
    };
    let acted = |token: &str, at: u64| {
        format!(" event=\"window\" window=w from=planned to=draining token={token} mono_us={at}\n")
    };
    let first = held("10-7", 100) + &acted("10-7", 150) + &over("10-7", 300, 900); // suspended from 200 to 900, when it noticed the end of its lease
    let second = held("11-3", 400) + &acted("11-3", 500);
    let valid = [
        incarnation(0, None, &first),
        incarnation(1, Some(600), &second),
        incarnation(2, None, &held("12-1", 700)),
    ];
    assert_eq!(lease_violations(&valid), [""; 0]);
    let expect_violation = |n: usize, text: &str, what: &str| {
        let mut history = valid.clone();
        history[n].log = text.into();
        let violations = lease_violations(&history);
        assert!(
            violations.iter().any(|w| w.contains(what)),
            "{what} not found: {violations:?}"
        );
    };
    expect_violation(0, &held("10-7", 100), "two holders at once"); // a lease that never ended
    expect_violation(
        0,
        &(held("10-7", 100) + &over("10-7", 401, 900)),
        "two holders at once",
    );
    expect_violation(2, &held("12-1", 599), "two holders at once");
    expect_violation(2, &held("11-2", 700), "did not grow");
    expect_violation(
        0,
        &(first.clone() + &acted("10-7", 901)),
        "outside of its holding",
    );
    expect_violation(2, &acted("11-3", 500), "outside of its holding");
    // Each duty has its own lease and holder.
    let config_duty = |line: String| line.replace("duty=calendar", "duty=config");
    let both = [
        valid.to_vec(),
        vec![incarnation(3, None, &config_duty(held("10-7", 450)))],
    ]
    .concat();
    assert_eq!(lease_violations(&both), [""; 0]);
    let two_holders = [
        both,
        vec![incarnation(4, None, &config_duty(held("11-7", 460)))],
    ]
    .concat();
    assert!(lease_violations(&two_holders)
        .iter()
        .any(|w| w.contains("two holders at once")));
}

/// At most one of five proxies holds a duty, and there is always a next holder, while faults hit the present one: it is
/// killed and restarted without state, suspended past its lease, partitioned, receives nothing, reaches nobody, or is ended
/// by SIGTERM. Each fault occurs at least once, in a seeded order from the seventh on. Meanwhile datagrams are lost,
/// duplicated, delayed, corrupted and replayed.
#[test]
fn at_most_one_proxy_holds_a_duty_under_faults() {
    let backend = BackendServer::start(|_| ok("x"));
    let endpoints = vec![entry("b0", backend.address, "SERVING")];
    let options = FleetOptions {
        size: 5,
        seed: 7,
        endpoints,
        voters: 3,
        lease_ms: 800,
        floor: 0.5,
        max_age_s: 5.0,
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::with_options(options);
    let inject_noise = |fleet: &Fleet| {
        let mut rules = fleet.faults.rules.lock().unwrap();
        (rules.drop, rules.duplicate, rules.corrupt, rules.replay) = (0.1, 0.1, 0.05, 0.05);
        rules.max_delay = Duration::from_millis(50);
    };
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let (mut faults_so_far, mut ended) = (Vec::new(), Vec::new());
    while faults_so_far.len() < 10 {
        inject_noise(&fleet);
        let (holder, token) = fleet.wait_for_holder(&[]);
        let others: Vec<usize> = (0..5).filter(|n| *n != holder).collect();
        let one_way =
            |pairs: Vec<(usize, usize)>| fleet.faults.rules.lock().unwrap().blocked.extend(pairs);
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        let fault = if faults_so_far.len() < 6 {
            faults_so_far.len() as u64
        } else {
            state % 6
        };
        faults_so_far.push(fault);
        match fault {
            0 => fleet.kill(&[holder]),
            1 => fleet.proxies[holder].signal("-STOP"),
            2 => fleet.faults.partition(&[&[holder], &others]),
            3 => one_way(others.iter().map(|n| (*n, holder)).collect()),
            4 => one_way(others.iter().map(|n| (holder, *n)).collect()),
            _ => ended.push((holder, fleet.terminate(holder))),
        }
        fleet.wait_for("a new holder", |f| {
            calendar_holdings(&f.incarnations())
                .iter()
                .any(|h| h.token > token)
                .then_some(())
        });
        match fault {
            0 | 5 => fleet.restart(holder),
            1 => fleet.proxies[holder].signal("-CONT"),
            _ => {}
        }
        fleet.faults.heal();
        let has_ended = |f: &Fleet| {
            calendar_holdings(&f.incarnations())
                .iter()
                .all(|h| h.token != token || h.to != u64::MAX)
        };
        fleet.wait_for("the previous lease to end", |f| has_ended(f).then_some(()));
    }
    let incarnations = fleet.incarnations();
    let violations = lease_violations(&incarnations);
    assert!(violations.is_empty(), "{violations:#?}");
    let has_expired =
        |l: &Incarnation| event_lines(&l.log, "duty_over").any(|line| line.contains("term over"));
    assert!(incarnations.iter().any(has_expired), "no lease expired");
    // A process ended by SIGTERM released its leases and logged that: no holding lasts until the process's end.
    let still_held = |h: &&lease_history::Holding| ended.contains(&(h.proxy, h.to));
    assert_eq!(
        calendar_holdings(&incarnations).iter().find(still_held),
        None
    );
    eprintln!(
        "faults {faults_so_far:?}: {} leases, never two at once",
        calendar_holdings(&incarnations).len()
    );
}
