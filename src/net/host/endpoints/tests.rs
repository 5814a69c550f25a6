//! Updates of the endpoint list, disabling of backends, and removal of unused records.

use super::*;
use crate::net::host::PendingRequest;
use crate::net::upstream::{AttemptResult, ServedBody, ServedResponse};
use meadowproxy::{AttemptNumber, Outcome};

fn host() -> Rc<Host> {
    let host = Host::example();
    let entry = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    host.update_endpoints(
        EndpointUpdate::Full,
        &List {
            index: 1,
            is_full: true,
            endpoints: vec![entry],
        },
    );
    host
}

fn status(host: &Host) -> BackendStatus {
    let statuses = host.backend_statuses();
    assert_eq!(statuses.len(), 1, "{statuses:?}");
    statuses[0].clone()
}

/// A backend stays disabled until both reasons have ended, in either order, and warms up from then on.
#[test]
fn a_backend_is_disabled_while_either_reason_remains() {
    for (first, last) in [
        (DisableReason::Operator, DisableReason::MaintenanceWindow),
        (DisableReason::MaintenanceWindow, DisableReason::Operator),
    ] {
        let host = host();
        let ready = BackendStatus {
            name: "b".into(),
            zone: "east".into(),
            kind: "small".into(),
            cell: 7,
            listed: true,
            serving: true,
            readiness: 1.0,
            disabled_by_operator: false,
            in_flight: 0,
        };
        assert_eq!(status(&host), ready);
        assert!(
            !host.enable_backend("b", first, host.clock.now()),
            "it was not disabled for that reason"
        );
        assert_eq!(status(&host), ready, "enabled backends do not warm up");
        assert!(
            host.disable_backend("b", first)
                && host.disable_backend("b", last)
                && host.disable_backend("b", last)
        );
        assert!(host.enable_backend("b", first, host.clock.now()));
        assert!(
            !host.enable_backend("b", first, host.clock.now()),
            "the reason has ended already"
        );
        let disabled_status = BackendStatus {
            readiness: 0.0,
            disabled_by_operator: last == DisableReason::Operator,
            ..ready.clone()
        };
        assert_eq!(status(&host), disabled_status, "{last:?} still disables it");
        assert_eq!(
            host.learned_state().disabled,
            if disabled_status.disabled_by_operator {
                vec!["b"]
            } else {
                vec![]
            }
        );
        assert!(host.enable_backend("b", last, host.clock.now()));
        let enabled_status = status(&host);
        assert!(
            enabled_status.readiness > 0.0 && enabled_status.readiness < 1.0,
            "{enabled_status:?}"
        );
        assert!(
            !host.disable_backend("never", first)
                && !host.enable_backend("never", first, host.clock.now())
        );
    }
}

fn entry(change: serde_json::Value) -> serde_json::Value {
    let mut json = serde_json::json!({"name": "b", "address": "127.0.0.1:9", "status": "SERVING",
        "zone": "east", "type": "small", "group": 7});
    change
        .as_object()
        .unwrap()
        .iter()
        .for_each(|(key, value)| json[key] = value.clone());
    json
}

/// A known backend whose entry is malformed gets no new requests, in full lists and in changes, until its next valid
/// entry. A malformed entry does not add a backend that was never listed.
#[test]
fn a_backend_with_a_malformed_entry_gets_no_new_requests_until_a_valid_one() {
    let malformed = [
        serde_json::json!({"status": "LAME"}),
        serde_json::json!({"status": 3}),
        serde_json::json!({"address": "nowhere"}),
        serde_json::json!({"group": -1}),
    ];
    for (malformed, update) in malformed.iter().flat_map(|entry| {
        [
            (entry, EndpointUpdate::Full),
            (entry, EndpointUpdate::Incremental),
        ]
    }) {
        let host = host();
        let list = |endpoints| List {
            index: 2,
            is_full: update == EndpointUpdate::Full,
            endpoints,
        };
        let other = entry(serde_json::json!({"name": "never", "status": "LAME"}));
        host.update_endpoints(update, &list(vec![entry(malformed.clone()), other]));
        let draining_status = status(&host);
        assert!(
            draining_status.listed && !draining_status.serving && draining_status.readiness == 0.0,
            "{malformed} {update:?}: {draining_status:?}"
        );
        assert!(!host.was_listed("never") && !known_names(&host).contains(&"never".to_string()));
        host.update_endpoints(update, &list(vec![entry(serde_json::json!({}))]));
        let serving_status = status(&host);
        assert!(
            serving_status.serving && serving_status.readiness == 1.0,
            "{malformed} {update:?}: {serving_status:?}"
        );
    }
}

/// Of several entries for one backend the last one counts, for the host and for the balancer. Only the last entry's
/// start time counts too, so a repeated list does not restart the warm-up.
#[test]
fn of_several_entries_for_one_backend_the_last_counts() {
    let list_of_statuses = |statuses: [&str; 2]| {
        let of = |(n, status): (usize, &&str)| {
            entry(serde_json::json!({"status": *status, "since_ms": n}))
        };
        List {
            index: 2,
            is_full: true,
            endpoints: statuses.iter().enumerate().map(of).collect(),
        }
    };
    let host = host();
    host.update_endpoints(
        EndpointUpdate::Full,
        &list_of_statuses(["SERVING", "DRAINING"]),
    );
    assert!(
        !status(&host).serving && status(&host).readiness == 0.0,
        "{:?}",
        status(&host)
    );
    host.update_endpoints(
        EndpointUpdate::Full,
        &list_of_statuses(["DRAINING", "SERVING"]),
    );
    assert!(
        status(&host).serving && status(&host).readiness > 0.0,
        "{:?}",
        status(&host)
    );
    let was_cycled = host.disable_backend("b", DisableReason::Operator)
        && host.enable_backend("b", DisableReason::Operator, host.clock.now());
    let cold_readiness = status(&host).readiness;
    host.update_endpoints(
        EndpointUpdate::Full,
        &list_of_statuses(["DRAINING", "SERVING"]),
    );
    assert!(
        was_cycled && cold_readiness < 1.0 && status(&host).readiness < 1.0,
        "the slow start ended early: {:?}",
        status(&host)
    );
}

/// A changed start time makes a backend warm up; repeating it does not end the warm-up.
#[test]
fn a_backend_with_a_new_start_time_warms_up() {
    let host = host();
    let now = host.clock.now().0 as f64 / 1e3;
    let started = |at: f64| {
        let list = List {
            index: 2,
            is_full: true,
            endpoints: vec![entry(serde_json::json!({"since_ms": at}))],
        };
        host.update_endpoints(EndpointUpdate::Full, &list);
        status(&host).readiness
    };
    assert_eq!(started(0.0), 1.0);
    assert!(started(now) < 1.0);
    assert!(started(now) < 1.0);
}

fn list_of(entries: impl IntoIterator<Item = serde_json::Value>, is_full: bool) -> List {
    List {
        index: 2,
        is_full,
        endpoints: entries.into_iter().collect(),
    }
}

fn entry_with_status(name: &str, status: &str) -> serde_json::Value {
    entry(serde_json::json!({"name": name, "status": status}))
}

fn known_names(host: &Host) -> Vec<String> {
    let s = host.state.borrow();
    assert_eq!(s.ids_by_name.len(), s.backends.len());
    assert!(s.unlisted.iter().all(|id| s.backends.contains_key(id)));
    s.backends.values().map(|b| b.name.to_string()).collect()
}

/// Backends replaced by changes and by full lists leave no records behind, and ids are not reused.
#[test]
fn records_of_replaced_backends_are_removed() {
    let host = host();
    let mut ids = BTreeSet::new();
    for n in 0..500 {
        let (old, new) = (format!("r{n}"), format!("r{}", n + 1));
        host.update_endpoints(
            EndpointUpdate::Incremental,
            &list_of([entry_with_status(&old, "SERVING")], false),
        );
        assert!(ids.insert(host.state.borrow().ids_by_name[old.as_str()]) || n > 0);
        match n % 2 {
            0 => host.update_endpoints(
                EndpointUpdate::Incremental,
                &list_of(
                    [
                        entry_with_status(&old, "DELETED"),
                        entry_with_status(&new, "SERVING"),
                    ],
                    false,
                ),
            ),
            _ => host.update_endpoints(
                EndpointUpdate::Full,
                &list_of(
                    [
                        entry_with_status("b", "SERVING"),
                        entry_with_status(&new, "SERVING"),
                    ],
                    true,
                ),
            ),
        }
        assert_eq!(known_names(&host), vec!["b".to_string(), new]);
        assert!(host.was_listed(&old) && !host.was_listed(&format!("r{}", n + 2)));
    }
    assert_eq!(
        host.state.borrow().next_backend_id,
        502,
        "a name did not get an id of its own"
    );
}

/// Guards against an operator's call that was rejected, as if it named no backend, while a crashed backend was not listed:
/// the backend can be disabled, and is disabled when it is listed again.
#[test]
fn a_backend_whose_record_was_removed_can_be_disabled_until_it_is_listed_again() {
    let host = host();
    host.update_endpoints(
        EndpointUpdate::Incremental,
        &list_of([entry_with_status("b", "DELETED")], false),
    );
    assert!(known_names(&host).is_empty(), "the record was not removed");
    assert!(!host.disable_backend("never", DisableReason::Operator));
    assert!(host.disable_backend("b", DisableReason::Operator));
    host.update_endpoints(
        EndpointUpdate::Full,
        &list_of([entry_with_status("b", "SERVING")], true),
    );
    assert!(status(&host).disabled_by_operator);
    assert_eq!(status(&host).readiness, 0.0);
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let id = host.state.borrow().ids_by_name["b"];
    assert!(!host.may_send(host.example_request().id, AttemptNumber(0), id, address));
    assert!(host.enable_backend("b", DisableReason::Operator, host.clock.now()));
    assert!(status(&host).readiness > 0.0);
}

/// A backend that an operator enabled while it was not listed can be disabled again. A maintenance window does not make
/// a name one that was listed.
#[test]
fn operators_can_name_what_was_listed_and_nothing_else() {
    let host = host();
    host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
    for _ in 0..2 {
        assert!(host.disable_backend("b", DisableReason::Operator));
        assert!(host.enable_backend("b", DisableReason::Operator, host.clock.now()));
        host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
        assert!(known_names(&host).is_empty());
    }
    host.disable_even_if_unlisted("planned", DisableReason::MaintenanceWindow);
    assert!(!host.disable_backend("planned", DisableReason::Operator));
    host.disable_even_if_unlisted("of-another-process", DisableReason::Operator);
    assert!(host.was_listed("of-another-process"));
}

/// A disabled backend that is no longer listed stays known, and is still disabled when it is listed again.
#[test]
fn a_disabled_backend_stays_known_after_it_is_unlisted() {
    for reason in [DisableReason::Operator, DisableReason::MaintenanceWindow] {
        let host = host();
        assert!(host.disable_backend("b", reason));
        host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
        assert_eq!(known_names(&host), vec!["b"]);
        host.update_endpoints(
            EndpointUpdate::Incremental,
            &list_of([entry_with_status("b", "SERVING")], false),
        );
        assert_eq!(status(&host).readiness, 0.0);
        host.update_endpoints(
            EndpointUpdate::Incremental,
            &list_of([entry_with_status("b", "DELETED")], false),
        );
        assert!(host.enable_backend("b", reason, host.clock.now()));
        host.update_endpoints(EndpointUpdate::Incremental, &list_of([], false));
        assert!(known_names(&host).is_empty());
    }
}

/// A backend that is no longer listed stays known while an attempt to it is in flight, so that the attempt's end still
/// refers to it, and while the balancer holds state of its warm-up.
#[tokio::test]
async fn an_unlisted_backend_stays_known_during_attempts_and_slow_start() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            for is_warming_up in [false, true] {
                let host = host();
                let started = if is_warming_up {
                    host.clock.now().0 as f64 / 1e3
                } else {
                    0.0
                };
                let serving = entry(serde_json::json!({"since_ms": started}));
                host.update_endpoints(
                    EndpointUpdate::Incremental,
                    &list_of([serving.clone()], false),
                );
                let id_before = host.state.borrow().ids_by_name["b"];
                let PendingRequest { id, answer: _wait } = host.example_request();
                assert_eq!(host.state.borrow().attempts.len(), 1);
                host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
                assert_eq!(
                    known_names(&host),
                    vec!["b"],
                    "the record was removed while an attempt is in flight"
                );
                host.client_disconnected(id);
                assert_eq!(host.state.borrow().attempts.len(), 0);
                host.update_endpoints(EndpointUpdate::Incremental, &list_of([], false));
                assert_eq!(
                    known_names(&host).len(),
                    usize::from(is_warming_up),
                    "the record must stay during the warm-up and only then"
                );
                host.update_endpoints(EndpointUpdate::Incremental, &list_of([serving], false));
                let id_after = host.state.borrow().ids_by_name["b"];
                assert_eq!(
                    id_after == id_before,
                    is_warming_up,
                    "the id must change exactly if the record was removed"
                );
            }
        })
        .await;
}

/// Full lists and the equivalent changes lead to the same backends, in any order of entries.
#[test]
fn full_lists_and_changes_lead_to_the_same_backends() {
    let mut seed = 7u64;
    let mut draw = |below: u64| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    let (full, changes) = (host(), host());
    let mut list: BTreeMap<u64, serde_json::Value> = BTreeMap::new();
    full.update_endpoints(EndpointUpdate::Full, &list_of([], true));
    changes.update_endpoints(EndpointUpdate::Full, &list_of([], true));
    for _ in 0..300 {
        let mut changed = Vec::new();
        for _ in 0..=draw(4) {
            let n = draw(12);
            let status = ["SERVING", "SERVING", "DRAINING", "DELETED"][draw(4) as usize];
            let new = entry(
                serde_json::json!({"name": format!("n{n}"), "status": status,
                "zone": format!("z{}", n % 3), "since_ms": draw(3) * 1_000}),
            );
            match status {
                "DELETED" => drop(list.remove(&n)),
                _ => drop(list.insert(n, new.clone())),
            }
            changed.push(new);
        }
        changes.update_endpoints(EndpointUpdate::Incremental, &list_of(changed, false));
        let mut all: Vec<serde_json::Value> = list.values().cloned().collect();
        if draw(2) == 0 {
            all.reverse();
        }
        full.update_endpoints(EndpointUpdate::Full, &list_of(all, true));
        let rows = |host: &Host| {
            let mut rows = host.backend_statuses();
            rows.retain(|r| r.listed); // a removed backend has no entry in a full list
            rows.sort_by(|a, b| a.name.cmp(&b.name));
            rows
        };
        assert_eq!(rows(&full), rows(&changes));
        assert_eq!(known_names(&full).len(), list.len());
        assert_eq!(known_names(&changes).len(), list.len());
    }
}

/// The backend of a response that is still streamed stays known after it is unlisted, although the balancer has
/// released it.
#[tokio::test]
async fn an_unlisted_backend_stays_known_while_it_streams_a_response() {
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let host = host();
            let PendingRequest { id, answer: _wait } = host.example_request();
            let body = ServedBody::Buffered(bytes::Bytes::new());
            host.response_started(
                id,
                AttemptNumber(0),
                ServedResponse {
                    headers: hyper::HeaderMap::new(),
                    body,
                },
            );
            host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
            assert!(
                !host.state.borrow().balancer.contains_backend(BackendId(0)),
                "the balancer still holds the backend"
            );
            assert_eq!(known_names(&host), vec!["b"]);
            host.attempt_ended(
                id,
                AttemptNumber(0),
                AttemptResult::without_response(Outcome::Ok),
            );
            host.update_endpoints(EndpointUpdate::Full, &list_of([], true));
            assert!(known_names(&host).is_empty());
        })
        .await;
}
