//! Lines of the list, and reasons for which backends are out.

use super::*;
use crate::net::upstream::{Content, Served};
use meadowproxy::{AttemptNumber, Outcome};

fn host() -> Rc<Host> {
    let host = Host::example();
    let entry = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    host.members(
        EndpointUpdate::Full,
        &List {
            index: 1,
            snapshot: true,
            endpoints: vec![entry],
        },
    );
    host
}

fn row(host: &Host) -> RosterRow {
    let rows = host.roster();
    assert_eq!(rows.len(), 1, "{rows:?}");
    rows[0].clone()
}

/// Whichever reason ends first, the backend comes back with the last one, cold from then on.
#[test]
fn a_backend_is_out_while_either_reason_holds() {
    for (first, last) in [(Why::Hand, Why::Window), (Why::Window, Why::Hand)] {
        let host = host();
        let warm = RosterRow {
            name: "b".into(),
            zone: "east".into(),
            kind: "small".into(),
            cell: 7,
            listed: true,
            serving: true,
            ready: 1.0,
            by_hand: false,
            open: 0,
        };
        assert_eq!(row(&host), warm);
        assert!(
            !host.restore("b", first, host.clock.now()),
            "no such reason"
        );
        assert_eq!(row(&host), warm, "a fresh start would be cold");
        assert!(host.withdraw("b", first) && host.withdraw("b", last) && host.withdraw("b", last));
        assert!(host.restore("b", first, host.clock.now()));
        assert!(!host.restore("b", first, host.clock.now()), "it is over");
        let out = RosterRow {
            ready: 0.0,
            by_hand: last == Why::Hand,
            ..warm.clone()
        };
        assert_eq!(row(&host), out, "{last:?} holds");
        assert_eq!(
            host.learned_state().withdrawn,
            if out.by_hand { vec!["b"] } else { vec![] }
        );
        assert!(host.restore("b", last, host.clock.now()));
        let back = row(&host);
        assert!(back.ready > 0.0 && back.ready < 1.0, "{back:?}");
        assert!(!host.withdraw("never", first) && !host.restore("never", first, host.clock.now()));
    }
}

fn line(change: serde_json::Value) -> serde_json::Value {
    let mut line = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    change
        .as_object()
        .unwrap()
        .iter()
        .for_each(|(key, value)| line[key] = value.clone());
    line
}

/// A line of a known backend that cannot be read does not say that it serves: it gets nothing new, wherever the line stands.
/// With the next good line it is as before. One that was never listed stays unknown.
#[test]
fn a_backend_whose_line_turns_bad_gets_nothing_new_until_a_good_one() {
    let bad = [
        serde_json::json!({"status": "LAME"}),
        serde_json::json!({"status": 3}),
        serde_json::json!({"address": "nowhere"}),
        serde_json::json!({"group": -1}),
    ];
    for (bad, update) in bad
        .iter()
        .flat_map(|b| [(b, EndpointUpdate::Full), (b, EndpointUpdate::Incremental)])
    {
        let host = host();
        let list = |endpoints| List {
            index: 2,
            snapshot: update == EndpointUpdate::Full,
            endpoints,
        };
        let other = line(serde_json::json!({"name": "never", "status": "LAME"}));
        host.members(update, &list(vec![line(bad.clone()), other]));
        let out = row(&host);
        assert!(
            out.listed && !out.serving && out.ready == 0.0,
            "{bad} {update:?}: {out:?}"
        );
        assert!(!host.knows("never"));
        host.members(update, &list(vec![line(serde_json::json!({}))]));
        let back = row(&host);
        assert!(
            back.serving && back.ready == 1.0,
            "{bad} {update:?}: {back:?}"
        );
    }
}

/// Of several lines on one backend in a list the last one counts, for the host and for the module; and its start is the
/// last line's alone: a list that comes again does not make it cold again.
#[test]
fn of_several_lines_on_one_backend_the_last_counts() {
    let lines = |statuses: [&str; 2]| {
        let of = |(n, status): (usize, &&str)| {
            line(serde_json::json!({"status": *status, "since_ms": n}))
        };
        List {
            index: 2,
            snapshot: true,
            endpoints: statuses.iter().enumerate().map(of).collect(),
        }
    };
    let host = host();
    host.members(EndpointUpdate::Full, &lines(["SERVING", "DRAINING"]));
    assert!(
        !row(&host).serving && row(&host).ready == 0.0,
        "{:?}",
        row(&host)
    );
    host.members(EndpointUpdate::Full, &lines(["DRAINING", "SERVING"]));
    assert!(
        row(&host).serving && row(&host).ready > 0.0,
        "{:?}",
        row(&host)
    );
    let withdrawn = host.withdraw("b", Why::Hand) && host.restore("b", Why::Hand, host.clock.now());
    let cold = row(&host).ready;
    host.members(EndpointUpdate::Full, &lines(["DRAINING", "SERVING"]));
    assert!(
        withdrawn && cold < 1.0 && row(&host).ready < 1.0,
        "the slow start goes on: {:?}",
        row(&host)
    );
}

/// A start time that is new makes it cold, one that is as before does not.
#[test]
fn a_backend_that_started_anew_is_cold() {
    let host = host();
    let now = host.clock.now().0 as f64 / 1e3;
    let started = |at: f64| {
        let list = List {
            index: 2,
            snapshot: true,
            endpoints: vec![line(serde_json::json!({"since_ms": at}))],
        };
        host.members(EndpointUpdate::Full, &list);
        row(&host).ready
    };
    assert_eq!(started(0.0), 1.0);
    assert!(started(now) < 1.0);
    assert!(started(now) < 1.0);
}

fn lines(of: impl IntoIterator<Item = serde_json::Value>, snapshot: bool) -> List {
    List {
        index: 2,
        snapshot,
        endpoints: of.into_iter().collect(),
    }
}

fn named(name: &str, status: &str) -> serde_json::Value {
    line(serde_json::json!({"name": name, "status": status}))
}

fn kept(host: &Host) -> Vec<String> {
    let s = host.state.borrow();
    assert_eq!(s.numbers.len(), s.backends.len());
    assert!(s.unlisted.iter().all(|id| s.backends.contains_key(id)));
    s.backends.values().map(|b| b.name.to_string()).collect()
}

/// A day's replacements, by lines and by whole lists, leave nothing behind, and no number means two backends.
#[test]
fn replaced_backends_are_forgotten() {
    let host = host();
    let mut numbers = BTreeSet::new();
    for n in 0..500 {
        let (old, new) = (format!("r{n}"), format!("r{}", n + 1));
        host.members(
            EndpointUpdate::Incremental,
            &lines([named(&old, "SERVING")], false),
        );
        assert!(numbers.insert(host.state.borrow().numbers[old.as_str()]) || n > 0);
        match n % 2 {
            0 => host.members(
                EndpointUpdate::Incremental,
                &lines([named(&old, "DELETED"), named(&new, "SERVING")], false),
            ),
            _ => host.members(
                EndpointUpdate::Full,
                &lines([named("b", "SERVING"), named(&new, "SERVING")], true),
            ),
        }
        assert_eq!(kept(&host), vec!["b".to_string(), new]);
        assert!(!host.knows(&old));
    }
    assert_eq!(
        host.state.borrow().next,
        502,
        "each name had a number of its own"
    );
}

/// One that left stays known while a reason keeps it out: it is out if it comes back.
#[test]
fn a_reason_outlives_the_list() {
    for why in [Why::Hand, Why::Window] {
        let host = host();
        assert!(host.withdraw("b", why));
        host.members(EndpointUpdate::Full, &lines([], true));
        assert_eq!(kept(&host), vec!["b"]);
        host.members(
            EndpointUpdate::Incremental,
            &lines([named("b", "SERVING")], false),
        );
        assert_eq!(row(&host).ready, 0.0);
        host.members(
            EndpointUpdate::Incremental,
            &lines([named("b", "DELETED")], false),
        );
        assert!(host.restore("b", why, host.clock.now()));
        host.members(EndpointUpdate::Incremental, &lines([], false));
        assert!(kept(&host).is_empty());
    }
}

/// One that left stays known while an attempt is open there, so that its end still finds it; and while the module
/// remembers what it was sent cold.
#[tokio::test]
async fn what_is_open_or_was_sent_cold_outlives_the_list() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            for cold in [false, true] {
                let host = host();
                let started = if cold {
                    host.clock.now().0 as f64 / 1e3
                } else {
                    0.0
                };
                let serving = line(serde_json::json!({"since_ms": started}));
                host.members(
                    EndpointUpdate::Incremental,
                    &lines([serving.clone()], false),
                );
                let number = host.state.borrow().numbers["b"];
                let (id, _wait) = host.example_request();
                assert_eq!(host.state.borrow().attempts.len(), 1);
                host.members(EndpointUpdate::Full, &lines([], true));
                assert_eq!(kept(&host), vec!["b"], "its attempt is open");
                host.client_gone(id);
                assert_eq!(host.state.borrow().attempts.len(), 0);
                host.members(EndpointUpdate::Incremental, &lines([], false));
                assert_eq!(
                    kept(&host).len(),
                    usize::from(cold),
                    "what it was sent cold weighs still"
                );
                host.members(EndpointUpdate::Incremental, &lines([serving], false));
                let after = host.state.borrow().numbers["b"];
                assert_eq!(after == number, cold, "a number is never given again");
            }
        })
        .await;
}

/// The same lists told whole and by what changed lead to the same backends, in any order of lines.
#[test]
fn whole_lists_and_changes_lead_to_the_same_backends() {
    let mut seed = 7u64;
    let mut draw = |below: u64| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    let (whole, changes) = (host(), host());
    let mut list: BTreeMap<u64, serde_json::Value> = BTreeMap::new();
    whole.members(EndpointUpdate::Full, &lines([], true));
    changes.members(EndpointUpdate::Full, &lines([], true));
    for _ in 0..300 {
        let mut changed = Vec::new();
        for _ in 0..=draw(4) {
            let n = draw(12);
            let status = ["SERVING", "SERVING", "DRAINING", "DELETED"][draw(4) as usize];
            let new = line(
                serde_json::json!({"name": format!("n{n}"), "status": status,
                "zone": format!("z{}", n % 3), "since_ms": draw(3) * 1_000}),
            );
            match status {
                "DELETED" => drop(list.remove(&n)),
                _ => drop(list.insert(n, new.clone())),
            }
            changed.push(new);
        }
        changes.members(EndpointUpdate::Incremental, &lines(changed, false));
        let mut all: Vec<serde_json::Value> = list.values().cloned().collect();
        if draw(2) == 0 {
            all.reverse();
        }
        whole.members(EndpointUpdate::Full, &lines(all, true));
        let rows = |host: &Host| {
            let mut rows = host.roster();
            rows.retain(|r| r.listed); // what is gone had no line of its own in a whole list
            rows.sort_by(|a, b| a.name.cmp(&b.name));
            rows
        };
        assert_eq!(rows(&whole), rows(&changes));
        assert_eq!(kept(&whole).len(), list.len());
        assert_eq!(kept(&changes).len(), list.len());
    }
}

/// The module has no part in an answer that streams on: its backend stays known all the same.
#[tokio::test]
async fn an_answer_that_streams_on_outlives_the_list() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let host = host();
            let (id, _wait) = host.example_request();
            let body = Content::Whole(bytes::Bytes::new());
            host.streams(
                id,
                AttemptNumber(0),
                Served {
                    headers: hyper::HeaderMap::new(),
                    body,
                },
            );
            host.members(EndpointUpdate::Full, &lines([], true));
            assert!(
                !host.state.borrow().balancer.contains_backend(BackendId(0)),
                "its work is done"
            );
            assert_eq!(kept(&host), vec!["b"]);
            host.attempt_ended(id, AttemptNumber(0), (Outcome::Ok, None));
            host.members(EndpointUpdate::Full, &lines([], true));
            assert!(kept(&host).is_empty());
        })
        .await;
}
