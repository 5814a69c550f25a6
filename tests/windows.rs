//! Tests of maintenance windows in a fleet whose lease holder is killed, suspended or partitioned, with several real
//! processes, network faults between them (`rig::faults`), steady clients and recording backends. Every test ends with
//! [`check_fleet_run`]: no request failed, was lost, was repeated without permission or reached a drained backend, and there
//! were never two holders.

mod rig;

use rig::fleet::{
    check_fleet_run, monotonic_us, DrainedPeriod, Fleet, FleetOptions, Load, RecordingBackend,
    Transition, Window,
};
use rig::lease_history;
use std::time::Duration;

/// Numbers of the fleet's proxies.
const ALL: [usize; 5] = [0, 1, 2, 3, 4];
/// Maximum time in microseconds from the decision to drain a backend to the last new request that is sent to it.
const GRACE_US: u64 = 2_000_000;

/// When a window begins, in seconds from now, how long it lasts, and how long before its begin its backends drain.
#[derive(Clone, Copy)]
struct Plan {
    begin_s: f64,
    lasts_s: f64,
    lead_s: u32,
}

/// Plan of most tests.
const PLAN: Plan = Plan {
    begin_s: 11.0,
    lasts_s: 6.0,
    lead_s: 4,
};
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Starts five proxies, three of them voters, that know each other, and backends of one kind and zone.
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

/// Returns options with a short lease, a floor of half the backends and a short maximum age.
fn options() -> FleetOptions {
    FleetOptions {
        lease_ms: 1500,
        floor: 0.5,
        max_age_s: 3.0,
        ..FleetOptions::default()
    }
}

/// Loses, duplicates, delays, corrupts and replays some datagrams.
fn inject_noise(fleet: &Fleet) {
    let mut rules = fleet.faults.rules.lock().unwrap();
    (rules.drop, rules.duplicate, rules.max_delay) = (0.05, 0.05, Duration::from_millis(20));
    (rules.corrupt, rules.replay) = (0.01, 0.02);
}

/// Returns the numbers of all proxies but `n`.
fn all_but(n: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != n).collect()
}

/// Returns the drained periods of windows in a connected fleet: from [`GRACE_US`] after the decision to drain to the end.
fn connected_drained_periods(fleet: &Fleet, windows: &[&Window]) -> Vec<DrainedPeriod> {
    let of =
        |w: &&Window| w.drained_periods(fleet.wait_for_transition(&w.id, "draining").at + GRACE_US);
    windows.iter().flat_map(of).collect()
}

/// The holder is killed while the first of two windows drains. The next holder continues both windows: at every other
/// proxy, each backend enters and leaves maintenance once. A twentieth of the datagrams is lost and a twentieth
/// duplicated, some are corrupted or replayed, and all are delayed.
#[test]
fn the_next_holder_continues_the_windows_of_a_killed_one() {
    let (backends, mut fleet) = fleet(19, 6, options());
    inject_noise(&fleet);
    let load = Load::start(&fleet, PAUSE);
    let (first_holder, _) = fleet.wait_for_holder(&[]);
    let windows = [
        fleet.put_window((first_holder + 1) % 5, "w0", &["b0"], 4.0, 9.0, 3),
        fleet.put_window((first_holder + 2) % 5, "w1", &["b1"], 4.5, 9.0, 3),
    ];
    fleet.wait_until_listed(&ALL, &[&windows[0], &windows[1]]);
    let Transition {
        proxy: first_holder,
        token,
        ..
    } = fleet.wait_for_transition("w0", "draining");
    load.pause(&[first_holder]);
    fleet.kill(&[first_holder]);
    for window in &windows {
        assert!(
            fleet.wait_for_transition(&window.id, "done").token > token,
            "the window was completed under the killed holder's token"
        );
        fleet.check_single_maintenance(&all_but(first_holder), window);
    }
    let drained = connected_drained_periods(&fleet, &[&windows[0], &windows[1]]);
    check_fleet_run("holder killed", &fleet, &backends, &load.stop(), &drained);
}

/// The holder is suspended past its lease while its datagrams to two proxies are held back, and another proxy takes over.
/// When the datagrams arrive, their effects are rejected because of their old token. When the process resumes, it notices
/// the end of its lease before it acts.
#[test]
fn late_effects_of_a_suspended_holder_are_rejected_by_their_token() {
    // With a maximum age of 60 s, late effects are not rejected as stale before their token is checked.
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
    let (first_holder, token) = fleet.wait_for_holder(&[]);
    load.pause(&[first_holder]);
    let others = all_but(first_holder);
    let delayed_proxies: Vec<usize> = others.iter().copied().filter(|n| *n >= 3).collect(); // not voters, so that the holder can renew its lease
    fleet.faults.rules.lock().unwrap().held =
        delayed_proxies.iter().map(|n| (first_holder, *n)).collect();
    let window = fleet.put_window(others[0], "w0", &["b0"], 4.0, 14.0, 4);
    assert_eq!(
        fleet.wait_for_transition("w0", "draining").proxy,
        first_holder
    );
    fleet.proxies[first_holder].signal("-STOP");
    let (next, new_token) = fleet.wait_for_holder(&[first_holder]);
    assert!(
        next != first_holder && new_token > token,
        "{new_token:?} after {token:?}"
    );
    let knows = |f: &Fleet, n: usize| {
        f.control_json(n, "/duties")["token"] == format!("{}-{}", new_token.0, new_token.1)
    };
    fleet.wait_for(
        "the proxies with held datagrams to learn the new token",
        |f| delayed_proxies.iter().all(|n| knows(f, *n)).then_some(()),
    );
    fleet.faults.release_held();
    for n in &delayed_proxies {
        let refused = |l: &str| lease_history::log_field(l, "cause") == Some("token");
        let has_rejected =
            |f: &Fleet| lease_history::event_lines(&f.log(*n), "effect_refused").any(refused);
        fleet.wait_for("a late effect to be rejected", |f| {
            has_rejected(f).then_some(())
        });
    }
    fleet.proxies[first_holder].signal("-CONT");
    let noticed_end =
        |f: &Fleet| lease_history::event_lines(&f.log(first_holder), "duty_over").count() > 0;
    fleet.wait_for("the suspended holder to notice the end of its lease", |f| {
        noticed_end(f).then_some(())
    });
    load.resume(&fleet, &[first_holder]);
    assert!(fleet.wait_for_transition("w0", "done").token >= new_token);
    fleet.check_single_maintenance(&others, &window);
    let drained = connected_drained_periods(&fleet, &[&window]);
    check_fleet_run(
        "holder suspended",
        &fleet,
        &backends,
        &load.stop(),
        &drained,
    );
}

/// Partitions a fleet that knows two windows, which the floor does not allow at the same time. When the first window has
/// reached the state `step`, `cut` partitions the fleet for longer than a proxy acts on a holder's last decision. On
/// every side, the first window opens and closes on time, and the second waits for it until its own time is over.
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
            "proxy {n} went below the floor: b2 of the second window was taken out of use"
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

/// The fleet is partitioned before the window: the majority elects another holder, and the minority acts on the window
/// that it knows.
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

/// The fleet is partitioned in an open window: the minority puts its backends back into use at the window's end without a
/// holder.
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

/// The fleet is partitioned before the window so that no part has a majority of the voters: every proxy acts on the
/// window that it knows.
#[test]
fn windows_are_on_time_without_any_majority() {
    let fleet = partitioned("no majority", 37, PLAN, "planned", |fleet, _, _| {
        fleet.faults.partition(&[&[3, 4]]);
    });
    let logged =
        |n: &usize| lease_history::event_lines(&fleet.log(*n), "duty_no_majority").count() > 0;
    assert!(
        ALL.iter().any(logged),
        "no proxy logged that it reaches no majority"
    );
    fleet.wait_for_transition("w0", "refused"); // nobody held the duty during the window
}

/// Without a majority, every proxy drains without a holder. Then the partition heals in the open window, and the new holder
/// takes the window over although less than the drain lead is left. The backends are not put back into use in between.
#[test]
fn a_holder_elected_in_an_open_window_takes_it_over() {
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
            fleet.wait_for("all proxies to drain without a holder", |f| {
                out(f).then_some(())
            });
            fleet.wait_for("less than the drain lead to be left", |_| {
                (monotonic_us() > window.end - 7_000_000).then_some(())
            });
            fleet.faults.heal();
        },
    );
    fleet.wait_for_transition("w0", "done");
}

/// The datagrams of the holder are lost before the window, but those to it arrive: another proxy becomes the holder.
#[test]
fn windows_are_on_time_while_the_holder_reaches_nobody() {
    let fleet = partitioned("one way cut", 41, PLAN, "planned", |fleet, holder, _| {
        fleet.faults.rules.lock().unwrap().blocked =
            all_but(holder).into_iter().map(|n| (holder, n)).collect();
        fleet.wait_for_holder(&[holder]);
    });
    fleet.wait_for_transition("w0", "done");
}

/// All voters are killed at once in an open window and restart without state; later all proxies are. Tokens grow both times,
/// and no backend is put back into use before its window's end.
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
    fleet.wait_for("the new processes to learn the window", |f| {
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

/// Three windows of two backends each overlap in time, and three fifths of the eight backends have to stay ready: the
/// windows run one after the other, ordered by their begin, while another backend dies and the holder is ended by
/// SIGTERM. A fourth window with three backends does not fit beside the dead one, and is refused when its time is over.
#[test]
fn the_floor_makes_overlapping_windows_run_one_after_the_other() {
    let (backends, mut fleet) = fleet(
        47,
        8,
        FleetOptions {
            floor: 0.6,
            ..options()
        },
    );
    let load = Load::start(&fleet, PAUSE);
    let (first_holder, _) = fleet.wait_for_holder(&[]);
    let put =
        |at, id, ids: &[&str], begin, end| fleet.put_window(at, id, ids, begin, end - begin, 2);
    let windows = [
        put(0, "w0", &["b0", "b1"], 3.0, 6.0),
        put(1, "w1", &["b2", "b3"], 3.1, 14.0),
        put(2, "w2", &["b4", "b5"], 3.2, 22.0),
    ];
    put(3, "w3", &["b0", "b1", "b2"], 3.3, 29.0);
    fleet.wait_for_transition("w0", "open");
    let check_waiting = |id: &str| {
        let list = fleet
            .control_json((first_holder + 1) % 5, "/windows")
            .to_string();
        assert!(
            list.contains("waiting"),
            "no window is listed as waiting, expected {id}: {list}"
        );
    };
    check_waiting("w1");
    backends[7].shut_down();
    fleet.wait_for_transition("w1", "open");
    load.pause(&[first_holder]);
    fleet.terminate(first_holder);
    let others = all_but(first_holder);
    fleet.wait_for_transition("w3", "refused");
    assert!(
        fleet.transitions("w3").iter().all(|d| d.to != "draining"),
        "{:?}",
        fleet.transitions("w3")
    );
    for pair in windows.windows(2) {
        let (restoring, draining) = (
            fleet.wait_for_transition(&pair[0].id, "restoring").at,
            fleet.wait_for_transition(&pair[1].id, "draining").at,
        );
        assert!(
            restoring <= draining,
            "{} drained {} us before the backends of {} were put back into use",
            pair[1].id,
            restoring - draining,
            pair[0].id
        );
    }
    windows
        .iter()
        .for_each(|w| fleet.check_single_maintenance(&others, w));
    let drained = connected_drained_periods(&fleet, &[&windows[0], &windows[1], &windows[2]]);
    check_fleet_run("floor", &fleet, &backends, &load.stop(), &drained);
}
