//! Reasons for which backends are out.

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
