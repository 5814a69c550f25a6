//! Maintenance windows of a fleet whose lease holder is killed, stopped or partitioned: several real processes,
//! faults between them (`rig::faults`), steady clients, and backends that record what reached them. Every test ends
//! with `check`: no client failed, nothing lost or duplicated, nothing to a drained backend, never two holders.

mod rig;

use rig::fleet::{
    check_fleet_run, monotonic_us, DrainedPeriod, Fleet, FleetOptions, Load, RecordingBackend,
    Transition, Window,
};
use rig::lease_history;
use std::time::Duration;

const ALL: [usize; 5] = [0, 1, 2, 3, 4];
/// What the protocol grants between the decision that a backend drains and the last new request to it.
const GRACE_US: u64 = 2_000_000;
/// When a window begins, in seconds from now, how long it lasts and its drain lead.
#[derive(Clone, Copy)]
struct Plan {
    begin_s: f64,
    lasts_s: f64,
    lead_s: u32,
}

const PLAN: Plan = Plan {
    begin_s: 11.0,
    lasts_s: 6.0,
    lead_s: 4,
};
const PAUSE: Duration = Duration::from_millis(20);

/// Five proxies, three of them voters, that know each other, and so many backends of one kind and zone.
fn fleet(seed: u64, backends: usize, options: FleetOptions) -> (Vec<RecordingBackend>, Fleet) {
    let (recorders, endpoints) = RecordingBackend::start_many(backends);
    let fleet = Fleet::with_options(FleetOptions {
        size: ALL.len(),
        seed,
        endpoints,
        voters: 3,
        ..options
    });
    fleet.wait_for_members(&ALL, ALL.len() - 1);
    (recorders, fleet)
}

fn options() -> FleetOptions {
    FleetOptions {
        lease_ms: 1500,
        floor: 0.5,
        max_age_s: 3.0,
        ..FleetOptions::default()
    }
}

fn inject_noise(fleet: &Fleet) {
    let mut rules = fleet.faults.rules.lock().unwrap();
    (rules.drop, rules.duplicate, rules.max_delay) = (0.05, 0.05, Duration::from_millis(20));
    (rules.corrupt, rules.replay) = (0.01, 0.02);
}

fn all_but(n: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != n).collect()
}

/// Shut from the grace after the decision to drain on, as long as everyone is connected.
fn decided(fleet: &Fleet, windows: &[&Window]) -> Vec<DrainedPeriod> {
    let of =
        |w: &&Window| w.drained_periods(fleet.wait_for_transition(&w.id, "draining").at + GRACE_US);
    windows.iter().flat_map(of).collect()
}

/// Windows run while a twentieth of the datagrams is lost, duplicated, corrupted or delayed; the holder is killed while the first
/// one drains. Its successor goes on: at every other proxy each backend enters and leaves maintenance once.
#[test]
fn a_successor_goes_on_where_a_killed_holder_stopped() {
    let (backends, mut fleet) = fleet(19, 6, options());
    inject_noise(&fleet);
    let load = Load::start(&fleet, PAUSE);
    let (first, _) = fleet.wait_for_holder(&[]);
    let windows = [
        fleet.put_window((first + 1) % 5, "w0", &["b0"], 4.0, 9.0, 3),
        fleet.put_window((first + 2) % 5, "w1", &["b1"], 4.5, 9.0, 3),
    ];
    fleet.wait_until_listed(&ALL, &[&windows[0], &windows[1]]);
    let Transition {
        proxy: first,
        token,
        ..
    } = fleet.wait_for_transition("w0", "draining");
    load.pause(&[first]);
    fleet.kill(&[first]);
    for window in &windows {
        assert!(
            fleet.wait_for_transition(&window.id, "done").token > token,
            "the successor's doing"
        );
        fleet.check_single_maintenance(&all_but(first), window);
    }
    let shut = decided(&fleet, &[&windows[0], &windows[1]]);
    check_fleet_run("holder killed", &fleet, &backends, &load.stop(), &shut);
}

/// The holder stops past its lease while its messages to some are still on their way. Another goes on, and what then comes
/// late from the first is rejected by its token. Continued, it finds its lease over before it acts.
#[test]
fn late_effects_of_a_stopped_holder_are_rejected_by_their_token() {
    // A broadcast may be late for a minute before it is rejected for its age.
    let (backends, fleet) = fleet(
        23,
        6,
        FleetOptions {
            lease_ms: 3000,
            max_age_s: 60.0,
            ..options()
        },
    );
    let load = Load::start(&fleet, PAUSE);
    let (first, token) = fleet.wait_for_holder(&[]);
    load.pause(&[first]);
    let rest = all_but(first);
    let late: Vec<usize> = rest.iter().copied().filter(|n| *n >= 3).collect(); // no voters: the lease goes on
    fleet.faults.rules.lock().unwrap().held = late.iter().map(|n| (first, *n)).collect();
    let window = fleet.put_window(rest[0], "w0", &["b0"], 4.0, 14.0, 4);
    assert_eq!(fleet.wait_for_transition("w0", "draining").proxy, first);
    fleet.proxies[first].signal("-STOP");
    let (next, grown) = fleet.wait_for_holder(&[first]);
    assert!(next != first && grown > token, "{grown:?} after {token:?}");
    let knows = |f: &Fleet, n: usize| {
        f.control_json(n, "/duties")["token"] == format!("{}-{}", grown.0, grown.1)
    };
    fleet.wait_for("the others to know of it", |f| {
        late.iter().all(|n| knows(f, *n)).then_some(())
    });
    fleet.faults.release_held();
    for n in &late {
        let refused = |l: &str| lease_history::log_field(l, "cause") == Some("token");
        let late =
            |f: &Fleet| lease_history::event_lines(&f.log(*n), "effect_refused").any(refused);
        fleet.wait_for("a late effect to be rejected", |f| late(f).then_some(()));
    }
    fleet.proxies[first].signal("-CONT");
    let over = |f: &Fleet| lease_history::event_lines(&f.log(first), "duty_over").count() > 0;
    fleet.wait_for("the stopped holder to find its lease over", |f| {
        over(f).then_some(())
    });
    load.resume(&fleet, &[first]);
    assert!(fleet.wait_for_transition("w0", "done").token >= grown);
    fleet.check_single_maintenance(&rest, &window);
    let shut = decided(&fleet, &[&window]);
    check_fleet_run("holder stopped", &fleet, &backends, &load.stop(), &shut);
}

/// Two windows that do not fit together are known everywhere; then, at a step of the first, `cut` partitions the fleet at its
/// holder for longer than a proxy goes by a holder's last decision. On every side the first opens on time and closes on
/// time, and the second waits for it until its own time is over.
fn partitioned(
    name: &str,
    seed: u64,
    plan: Plan,
    step: &str,
    cut: impl Fn(&Fleet, usize, &Window),
) -> Fleet {
    let (backends, fleet) = fleet(seed, 6, options());
    let load = Load::start(&fleet, PAUSE);
    let Plan {
        begin_s: begin,
        lasts_s: lasts,
        lead_s: lead,
    } = plan;
    let (holder, _) = fleet.wait_for_holder(&[]);
    let window = fleet.put_window(holder, "w0", &["b0", "b1"], begin, lasts, lead);
    let other = fleet.put_window(holder, "w1", &["b2", "b3"], begin + 0.1, lasts, lead);
    fleet.wait_until_listed(&ALL, &[&window, &other]);
    if step != "planned" {
        fleet.wait_for_transition("w0", step);
    }
    cut(&fleet, holder, &window);
    fleet.check_single_maintenance(&ALL, &window);
    fleet.faults.heal();
    fleet.wait_for_members(&ALL, ALL.len() - 1);
    fleet.wait_for_transition("w1", "refused");
    for n in ALL {
        assert_eq!(
            fleet.drain_times(n, "b2").0,
            [0; 0],
            "proxy {n} went below the floor"
        );
    }
    check_fleet_run(
        name,
        &fleet,
        &backends,
        &load.stop(),
        &window.drained_periods(window.begin),
    );
    fleet
}

#[test]
fn windows_are_on_time_with_the_holder_in_the_minority() {
    let fleet = partitioned(
        "holder in the minority",
        29,
        PLAN,
        "planned",
        |fleet, holder, _| {
            fleet.faults.partition(&[&[holder], &all_but(holder)]);
            fleet.wait_for_holder(&[holder]);
        },
    );
    assert!(
        fleet.wait_for_transition("w0", "done").token
            >= fleet.wait_for_transition("w0", "draining").token
    );
}

/// Partitioned in an open window, the minority restores at its end by itself.
#[test]
fn windows_are_on_time_with_the_holder_in_the_majority() {
    let fleet = partitioned(
        "holder in the majority",
        31,
        PLAN,
        "open",
        |fleet, holder, _| {
            let voters = [0, 1, 2].into_iter().filter(|v| *v != holder).take(2);
            let side: Vec<usize> = voters.chain([holder]).collect();
            let other: Vec<usize> = ALL.into_iter().filter(|n| !side.contains(n)).collect();
            fleet.faults.partition(&[&side, &other]);
        },
    );
    fleet.wait_for_transition("w0", "done");
}

#[test]
fn windows_are_on_time_without_any_majority() {
    let fleet = partitioned("no majority", 37, PLAN, "planned", |fleet, _, _| {
        fleet.faults.partition(&[&[3, 4]]);
    });
    let logged =
        |n: &usize| lease_history::event_lines(&fleet.log(*n), "duty_no_majority").count() > 0;
    assert!(
        ALL.iter().any(logged),
        "no proxy logged that there is no quorum"
    );
    fleet.wait_for_transition("w0", "refused"); // nobody held the duty in all its time
}

/// Every proxy drains by itself; then the partition heals in the open window, and the new holder adopts it, though less
/// than the lead is left: its backends do not come back in between.
#[test]
fn a_holder_elected_in_an_open_window_adopts_it() {
    let fleet = partitioned(
        "no majority, healed in the window",
        53,
        Plan {
            begin_s: 16.0,
            lasts_s: 10.0,
            lead_s: 8,
        },
        "planned",
        |fleet, _, window| {
            fleet.faults.partition(&[&[3, 4]]);
            let out = |f: &Fleet| ALL.iter().all(|n| !f.drain_times(*n, "b0").0.is_empty());
            fleet.wait_for("all to drain by themselves", |f| out(f).then_some(()));
            fleet.wait_for("less than the lead to be left", |_| {
                (monotonic_us() > window.end - 7_000_000).then_some(())
            });
            fleet.faults.heal();
        },
    );
    fleet.wait_for_transition("w0", "done");
}

#[test]
fn windows_are_on_time_while_the_holder_reaches_nobody() {
    let fleet = partitioned("one way cut", 41, PLAN, "planned", |fleet, holder, _| {
        fleet.faults.rules.lock().unwrap().blocked =
            all_but(holder).into_iter().map(|n| (holder, n)).collect();
        fleet.wait_for_holder(&[holder]);
    });
    fleet.wait_for_transition("w0", "done");
}

/// All voters are killed at once in an open window and start again with nothing in their memory; later the whole fleet
/// does. Tokens grow both times, and nothing is restored before its window's end.
#[test]
fn tokens_grow_over_a_restart_of_all_voters_and_nothing_is_restored_early() {
    let (backends, mut fleet) = fleet(43, 6, options());
    let load = Load::start(&fleet, PAUSE);
    let (_, before) = fleet.wait_for_holder(&[]);
    let window = fleet.put_window(3, "w0", &["b0"], 3.0, 14.0, 3);
    let draining = fleet.wait_for_transition("w0", "draining").at;
    fleet.wait_for_transition("w0", "open");
    let voters = [0, 1, 2];
    load.pause(&voters);
    fleet.kill(&voters);
    voters.iter().for_each(|n| fleet.restart(*n));
    let knows = |f: &Fleet| voters.iter().all(|n| !f.drain_times(*n, "b0").0.is_empty());
    fleet.wait_for("the new processes to learn of the window", |f| {
        knows(f).then_some(())
    });
    load.resume(&fleet, &voters);
    let (_, after) = fleet.wait_for("a new holder", |f| {
        Some(f.wait_for_holder(&[])).filter(|(_, t)| *t > before)
    });
    assert!(after.0 > before.0, "{after:?} after {before:?}");
    fleet.check_single_maintenance(&ALL, &window);
    fleet.wait_for_transition("w0", "done");
    load.pause(&ALL);
    fleet.kill(&ALL);
    ALL.iter().for_each(|n| fleet.restart(*n));
    let (_, last) = fleet.wait_for_holder(&[]);
    assert!(last.0 > after.0, "{last:?} after {after:?}");
    check_fleet_run(
        "all voters killed",
        &fleet,
        &backends,
        &load.stop(),
        &window.drained_periods(draining + GRACE_US),
    );
}

/// Three windows of two backends each want the same time, of eight of which three fifths have to stay ready: they run one
/// after the other, in the order of their begins, while one more backend dies and the holder goes by SIGTERM. A fourth that
/// would take three does not fit beside the dead one: it is refused when its time is over.
#[test]
fn the_budget_lets_windows_run_one_after_the_other() {
    let (backends, mut fleet) = fleet(
        47,
        8,
        FleetOptions {
            floor: 0.6,
            ..options()
        },
    );
    let load = Load::start(&fleet, PAUSE);
    let (first, _) = fleet.wait_for_holder(&[]);
    let put =
        |at, id, ids: &[&str], begin, end| fleet.put_window(at, id, ids, begin, end - begin, 2);
    let windows = [
        put(0, "w0", &["b0", "b1"], 3.0, 6.0),
        put(1, "w1", &["b2", "b3"], 3.1, 14.0),
        put(2, "w2", &["b4", "b5"], 3.2, 22.0),
    ];
    put(3, "w3", &["b0", "b1", "b2"], 3.3, 29.0);
    fleet.wait_for_transition("w0", "open");
    let waits = |id: &str| {
        let list = fleet.control_json((first + 1) % 5, "/windows").to_string();
        assert!(
            list.contains("waiting"),
            "{id} does not say what it waits for: {list}"
        );
    };
    waits("w1");
    backends[7].shut_down();
    fleet.wait_for_transition("w1", "open");
    load.pause(&[first]);
    fleet.terminate(first);
    let rest = all_but(first);
    fleet.wait_for_transition("w3", "refused");
    assert!(
        fleet.transitions("w3").iter().all(|d| d.to != "draining"),
        "{:?}",
        fleet.transitions("w3")
    );
    for pair in windows.windows(2) {
        let (over, next) = (
            fleet.wait_for_transition(&pair[0].id, "restoring").at,
            fleet.wait_for_transition(&pair[1].id, "draining").at,
        );
        assert!(
            over <= next,
            "{} drained {} us before {} was back",
            pair[1].id,
            over - next,
            pair[0].id
        );
    }
    windows
        .iter()
        .for_each(|w| fleet.check_single_maintenance(&rest, w));
    let shut = decided(&fleet, &[&windows[0], &windows[1], &windows[2]]);
    check_fleet_run("budget", &fleet, &backends, &load.stop(), &shut);
}
