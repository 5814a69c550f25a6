//! Lines of the list, and reasons for which backends are out.

use super::*;

fn host() -> Rc<Host> {
    let host = Host::example();
    let entry = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    host.members(ListUpdate::Full, &List { index: 1, snapshot: true, endpoints: vec![entry] });
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
        assert!(!host.restore("b", first, host.clock.now()), "no such reason");
        assert_eq!(row(&host), warm, "a fresh start would be cold");
        assert!(host.withdraw("b", first) && host.withdraw("b", last) && host.withdraw("b", last));
        assert!(host.restore("b", first, host.clock.now()));
        assert!(!host.restore("b", first, host.clock.now()), "it is over");
        let out = RosterRow { ready: 0.0, by_hand: last == Why::Hand, ..warm.clone() };
        assert_eq!(row(&host), out, "{last:?} holds");
        assert_eq!(host.recollect().withdrawn, if out.by_hand { vec!["b"] } else { vec![] });
        assert!(host.restore("b", last, host.clock.now()));
        let back = row(&host);
        assert!(back.ready > 0.0 && back.ready < 1.0, "{back:?}");
        assert!(!host.withdraw("never", first) && !host.restore("never", first, host.clock.now()));
    }
}

fn line(change: serde_json::Value) -> serde_json::Value {
    let mut line = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    change.as_object().unwrap().iter().for_each(|(key, value)| line[key] = value.clone());
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
    for (bad, update) in bad.iter().flat_map(|b| [(b, ListUpdate::Full), (b, ListUpdate::Changes)]) {
        let host = host();
        let list = |endpoints| List { index: 2, snapshot: update == ListUpdate::Full, endpoints };
        let other = line(serde_json::json!({"name": "never", "status": "LAME"}));
        host.members(update, &list(vec![line(bad.clone()), other]));
        let out = row(&host);
        assert!(out.listed && !out.serving && out.ready == 0.0, "{bad} {update:?}: {out:?}");
        assert!(!host.listed_once("never"));
        host.members(update, &list(vec![line(serde_json::json!({}))]));
        let back = row(&host);
        assert!(back.serving && back.ready == 1.0, "{bad} {update:?}: {back:?}");
    }
}

/// Of several lines on one backend in a list the last one counts, for the host and for the module; and its start is the
/// last line's alone: a list that comes again does not make it cold again.
#[test]
fn of_several_lines_on_one_backend_the_last_counts() {
    let lines = |statuses: [&str; 2]| {
        let of = |(n, status): (usize, &&str)| line(serde_json::json!({"status": *status, "since_ms": n}));
        List { index: 2, snapshot: true, endpoints: statuses.iter().enumerate().map(of).collect() }
    };
    let host = host();
    host.members(ListUpdate::Full, &lines(["SERVING", "DRAINING"]));
    assert!(!row(&host).serving && row(&host).ready == 0.0, "{:?}", row(&host));
    host.members(ListUpdate::Full, &lines(["DRAINING", "SERVING"]));
    assert!(row(&host).serving && row(&host).ready > 0.0, "{:?}", row(&host));
    let withdrawn = host.withdraw("b", Why::Hand) && host.restore("b", Why::Hand, host.clock.now());
    let cold = row(&host).ready;
    host.members(ListUpdate::Full, &lines(["DRAINING", "SERVING"]));
    assert!(withdrawn && cold < 1.0 && row(&host).ready < 1.0, "the slow start goes on: {:?}", row(&host));
}

/// A start time that is new makes it cold, one that is as before does not.
#[test]
fn a_backend_that_started_anew_is_cold() {
    let host = host();
    let now = host.clock.now().0 as f64 / 1e3;
    let started = |at: f64| {
        let list =
            List { index: 2, snapshot: true, endpoints: vec![line(serde_json::json!({"since_ms": at}))] };
        host.members(ListUpdate::Full, &list);
        row(&host).ready
    };
    assert_eq!(started(0.0), 1.0);
    assert!(started(now) < 1.0);
    assert!(started(now) < 1.0);
}
