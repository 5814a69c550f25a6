//! Tests of the fleet's configuration with several real processes: a change made at any proxy comes into force at all of
//! them, also while datagrams are lost and leaders are killed, suspended or partitioned during a change (`rig::faults`).

mod rig;

use rig::config_changes::*;
use rig::fleet::Fleet;
use rig::lease_history::{self, duty_holdings, lease_violations, Token};
use rig::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// Waits until a proxy is the leader under a token greater than `above`, and returns its number and its token.
fn leader(fleet: &Fleet, above: &Token) -> (usize, Token) {
    fleet.wait_for("a leader", |fleet| {
        let all = duty_holdings("config", &fleet.incarnations());
        let now = all.iter().rfind(|h| h.to == u64::MAX && h.token > *above)?;
        Some((now.proxy, now.token.clone()))
    })
}

/// A change at any proxy comes into force at all proxies, or is rejected with the field or the reason.
#[test]
fn changes_at_any_proxy_come_into_force_at_all_or_are_rejected_with_the_reason() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = start_fleet(1, &backend);
    fleet.wait_for_members(&ALL, 4);
    let mut last = 0;
    for n in ALL {
        last = put_quota_until_accepted(&fleet, n, &format!("t{n}"), 10 + n as u64);
        assert_eq!(wait_for_equal_copies(&fleet, &ALL, last), last);
    }
    for n in ALL {
        assert_eq!(
            tenant_quota(&fleet, 4 - n, &format!("t{n}")),
            Some(10 + n as u64)
        );
    }
    check_conflicts(&fleet, last);
    let now = check_several_edits(&fleet);
    check_invalid_calls(&fleet, now);
    assert_eq!(wait_for_equal_copies(&fleet, &ALL, 0), now);
    // The metrics report the same version.
    fleet.wait_for("the version in the metrics", |fleet| {
        let text =
            String::from_utf8(fleet.proxies[3].control_request("GET /metrics").body).unwrap();
        text.contains(&format!("meadowproxy_config_version {now}\n"))
            .then_some(())
    });
    check_consistency(&fleet);
}

/// A change based on an older version is rejected only if its entry was changed since. Setting the same value again is
/// accepted.
fn check_conflicts(fleet: &Fleet, last: u64) {
    let (code, answer) = put_quota_until_available(fleet, 3, "t4", last - 1, 99);
    assert_eq!(
        (code, &answer["field"], &answer["version"]),
        (409, &json!("tenants.t4"), &json!(last)),
        "{answer}"
    );
    assert_eq!(
        put_quota_until_available(fleet, 3, "t0", last - 1, 99).0,
        200
    );
    let (code, answer) = put_quota_until_available(fleet, 2, "t0", last, 99);
    assert_eq!(
        code, 200,
        "setting the same value again was rejected: {answer}"
    );
}

/// Changes several entries at once, then removes one entry. Returns the version after both changes.
fn check_several_edits(fleet: &Fleet) -> u64 {
    let now = config_version(fleet, 1);
    let several = json!({ "version": now, "entries": [
        { "kind": "tenants", "name": "t1" }, { "kind": "tenants", "name": "north" },
        { "kind": "tenants", "name": "t2", "value": { "name": "t2", "quota_rps": 3.5 } },
    ]});
    let (code, answer) = call_until_available(fleet, 1, "PUT /config", &several.to_string());
    assert_eq!(code, 200, "{answer}");
    let now = answer["version"].as_u64().unwrap();
    wait_for_equal_copies(fleet, &ALL, now);
    let state = |path: &str| {
        status_and_json(&fleet.control_call(0, &format!("GET /config/{path}"), "")).1["state"]
            .clone()
    };
    assert_eq!(
        [
            state("tenants/t1"),
            state("tenants/north"),
            state("tenants/t2")
        ],
        ["removed", "removed", "set"]
    );
    let (code, answer) = call_until_available(
        fleet,
        2,
        "DELETE /config/tenants/t3",
        &json!({ "version": now }).to_string(),
    );
    assert_eq!(code, 200, "{answer}");
    wait_for_equal_copies(fleet, &ALL, answer["version"].as_u64().unwrap())
}

/// The response to an invalid call lists all errors by key, and nothing is changed.
fn check_invalid_calls(fleet: &Fleet, now: u64) {
    let invalid = json!({ "version": now, "entries": [
        { "kind": "tenants", "name": "not-set", "value": { "name": "not-set", "quota_rps": 1.0 } },
        { "kind": "cells", "name": "a", "value": {} }, { "kind": "tenants", "name": "", "value": {} },
        { "kind": "tenants", "name": "b", "value": 5 }, { "kind": "tenants", "name": "b", "value": { "name": "c" } },
        { "kind": "tenants", "name": "c", "value": { "name": "c", "x": "y".repeat(600) } },
    ]});
    let (code, answer) = call_until_available(fleet, 1, "PUT /config", &invalid.to_string());
    let fields: Vec<&str> = answer["errors"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["field"].as_str().unwrap())
        .collect();
    let expected = [
        "entries[1].kind",
        "entries[2].name",
        "entries[3].value",
        "entries[4].value.name",
        "entries[5].value",
    ];
    assert_eq!((code, &fields[..]), (422, &expected[..]), "{answer}");
    check_invalid_fields(fleet);
}

/// The response to a call with one error names its field.
fn check_invalid_fields(fleet: &Fleet) {
    let cases = [
        (
            "PUT /config/tenants/a",
            r#"{"version":"x","value":{}}"#,
            422,
            "version",
        ),
        ("PUT /config/tenants/a", r#"{"version":1}"#, 422, "value"),
        (
            "PUT /config/tenants/a",
            r#"{"version":1,"valeu":{}}"#,
            422,
            "valeu",
        ),
        (
            "DELETE /config/tenants/a",
            r#"{"version":1,"value":{}}"#,
            422,
            "value",
        ),
        (
            "PUT /config",
            r#"{"version":1,"entries":[]}"#,
            422,
            "entries",
        ),
        // Errors found by the settings check are reported under the keys of the settings.
        (
            "PUT /config/tenants/a",
            r#"{"version":1,"value":{"name":"a","quota_rps":"x"}}"#,
            422,
            "customers[a].quota_rps",
        ),
        (
            "PUT /config/tenants/a",
            r#"{"version":1,"value":{"name":"a"}}"#,
            422,
            "customers[a].quota_rps",
        ),
        ("GET /config/tenants/never", "", 404, "path"),
    ];
    for (line, body, code, key) in cases {
        let (status, answer) = call_until_available(fleet, 0, line, body);
        assert_eq!(
            (status, answer["field"].as_str()),
            (code, Some(key)),
            "{line} {body}: {answer}"
        );
    }
    assert_eq!(
        fleet.control_call(0, "GET /config/cells/a", "").status(),
        404
    );
    assert_eq!(fleet.control_call(0, "POST /config", "").status(), 405);
}

/// Every proxy serves a route that operators added and rejects requests of one that they removed. Both remain so although
/// the configuration file differs, after the file is reloaded and after a proxy restarts.
#[test]
fn routes_changed_for_the_fleet_are_in_force_for_requests_and_win_over_the_file() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(5, &backend);
    fleet.wait_for_members(&ALL, 4);
    let status_of = |fleet: &Fleet, n: usize, route: &str| {
        let request = read_request(3.0).replace("/read/", &format!("/{route}/"));
        Client::connect(fleet.proxies[n].address)
            .request(&request)
            .status()
    };
    let changed = |fleet: &Fleet| {
        for n in ALL {
            fleet.proxies[n].wait_until_serving();
            assert_eq!(
                [status_of(fleet, n, "list"), status_of(fleet, n, "read")],
                [200, 200],
                "proxy {n}"
            );
            assert_ne!(status_of(fleet, n, "vote"), 200, "proxy {n}");
        }
    };
    for n in ALL {
        fleet.proxies[n].wait_until_serving();
        assert_ne!(status_of(&fleet, n, "list"), 200);
    }
    let route = r#"{"name":"list","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;
    let entries = format!(
        r#""entries":[{{"kind":"routes","name":"list","value":{route}}},{{"kind":"routes","name":"vote"}}]"#
    );
    let version = fleet.wait_for("a change to be committed", |fleet| {
        let body = format!(r#"{{"version":{},{entries}}}"#, config_version(fleet, 2));
        let (code, answer) = status_and_json(&fleet.control_call(2, "PUT /config", &body));
        (code == 200).then(|| answer["version"].as_u64().unwrap())
    });
    wait_for_equal_copies(&fleet, &ALL, version);
    changed(&fleet);
    for n in ALL {
        let loaded = || fleet.proxies[n].log_lines("configuration taken").len();
        let before = loaded();
        fleet.proxies[n].signal("-HUP");
        fleet.wait_for("the file to be loaded", |_| {
            (loaded() > before).then_some(())
        });
    }
    changed(&fleet);
    fleet.kill(&[4]);
    fleet.restart(4);
    wait_for_equal_copies(&fleet, &ALL, version);
    changed(&fleet);
    check_consistency(&fleet);
}

/// A partition without a majority still serves requests, rejects changes with the reason, and has the current version within
/// 5 s after the partition heals.
#[test]
fn a_minority_partition_rejects_changes_and_catches_up_after_the_heal() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = start_fleet(2, &backend);
    fleet.wait_for_members(&ALL, 4);
    wait_for_equal_copies(&fleet, &ALL, put_quota_until_accepted(&fleet, 4, "a", 1));
    fleet.faults.partition(&[&[0, 3], &[1, 2, 4]]);
    let reason = fleet.wait_for("the rejection for lack of a majority", |fleet| {
        let (code, answer) = put_quota(fleet, 3, "b", config_version(fleet, 3), 2);
        assert_eq!(code, 503, "{answer}");
        answer["why"]
            .as_str()
            .filter(|why| why.contains("majority"))
            .map(String::from)
    });
    assert!(reason.ends_with("1 of 3"), "{reason}");
    let mut last = 0;
    for quota in 0..3 {
        last = put_quota_until_accepted(&fleet, 4, "a", quota + 5);
    }
    wait_for_equal_copies(&fleet, &[1, 2, 4], last);
    assert_eq!(
        tenant_quota(&fleet, 3, "a"),
        Some(1),
        "the minority no longer has its previous value"
    );
    let response = Client::connect(fleet.proxies[3].address).request(&read_request(3.0));
    assert_eq!(response.status(), 200);
    fleet.faults.heal();
    let healed = Instant::now();
    last = wait_for_equal_copies(&fleet, &ALL, last);
    eprintln!("equal copies {:?} after the heal", healed.elapsed());
    assert!(
        healed.elapsed() < Duration::from_secs(5),
        "{:?}",
        healed.elapsed()
    );
    assert!(put_quota_until_accepted(&fleet, 3, "b", 2) > last);
    check_consistency(&fleet);
}

/// Which datagrams are delivered while the leader proposes a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivered {
    /// Those to the leader, but none from it.
    None,
    /// Those from the leader, but no replies to it.
    Requests,
}

/// Failure of a leader that has proposed a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    Killed,
    /// Suspended past its lease.
    Suspended,
    Partitioned,
}

/// The leader is killed, suspended past its lease or partitioned after it proposed a change that no other proxy received, or
/// that the voters accepted without its knowledge. In the end, all proxies have the change in force or none has.
#[test]
fn a_change_whose_leader_fails_is_in_force_everywhere_or_nowhere() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(3, &backend);
    fleet.wait_for_members(&ALL, 4);
    let cases = [
        (Delivered::None, Failure::Killed),
        (Delivered::Requests, Failure::Killed),
        (Delivered::None, Failure::Suspended),
        (Delivered::Requests, Failure::Suspended),
        (Delivered::None, Failure::Partitioned),
        (Delivered::Requests, Failure::Partitioned),
    ];
    for (n, (delivered, failure)) in cases.into_iter().enumerate() {
        let before = put_quota_until_accepted(&fleet, 4, &format!("before-{n}"), 1);
        wait_for_equal_copies(&fleet, &ALL, before);
        let votes = |f: &Fleet| {
            (0..3)
                .all(|n| config_status(f, n)["votes"] == true)
                .then_some(())
        };
        fleet.wait_for("all voters to vote", votes);
        let (at, token) = leader(&fleet, &(0, String::new()));
        let others: Vec<usize> = ALL.into_iter().filter(|other| *other != at).collect();
        let cut = others.iter().map(|other| match delivered {
            Delivered::None => (at, *other),
            Delivered::Requests => (*other, at),
        });
        fleet.faults.rules.lock().unwrap().blocked.extend(cut);
        let name = format!("middle-{n}");
        let mut caller = begin_change(&fleet, at, &name);
        if delivered == Delivered::Requests {
            wait_until_accepted(&fleet, &others, &name);
        }
        fail_leader(&mut fleet, at, &others, &mut caller, failure);
        leader(&fleet, &token);
        match failure {
            Failure::Killed => fleet.restart(at),
            Failure::Suspended => fleet.proxies[at].signal("-CONT"),
            Failure::Partitioned => {}
        }
        fleet.faults.heal();
        let after = put_quota_until_accepted(&fleet, (at + 1) % 5, &format!("after-{n}"), 1);
        wait_for_equal_copies(&fleet, &ALL, after);
        check_outcome(&fleet, &name, delivered, failure);
    }
    check_consistency(&fleet);
}

/// Sends a change to the leader, waits until the leader has proposed it, and returns the connection without reading the
/// response.
fn begin_change(fleet: &Fleet, leader: usize, name: &str) -> Client {
    let base = config_version(fleet, leader);
    let body = json!({ "version": base, "value": { "name": name, "quota_rps": 7.0 } }).to_string();
    let length = body.len();
    let call =
        format!("PUT /config/tenants/{name} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut caller = Client::connect(
        fleet.proxies[leader]
            .control_address
            .expect("a control address"),
    );
    caller.0.get_mut().write_all(call.as_bytes()).unwrap();
    fleet.wait_for("the change to be proposed", |f| {
        config_status(f, leader)["proposed"].as_u64()
    });
    caller
}

/// Waits until all voters among these proxies have accepted the change, or have it in force already through a new leader.
fn wait_until_accepted(fleet: &Fleet, others: &[usize], name: &str) {
    let voters: Vec<usize> = others.iter().copied().filter(|n| *n < 3).collect();
    fleet.wait_for("the voters to accept the change", |f| {
        let accepted = |n: usize| {
            !config_status(f, n)["keeps"].is_null() || tenant_quota(f, n, name).is_some()
        };
        let count = voters.iter().filter(|n| accepted(**n)).count();
        (count == voters.len()).then_some(())
    });
}

/// Lets the leader fail. A partitioned leader answers the call with 503.
fn fail_leader(
    fleet: &mut Fleet,
    leader: usize,
    others: &[usize],
    caller: &mut Client,
    failure: Failure,
) {
    match failure {
        Failure::Killed => fleet.kill(&[leader]),
        Failure::Suspended => fleet.proxies[leader].signal("-STOP"),
        Failure::Partitioned => {
            fleet.faults.partition(&[&[leader], others]);
            let (code, answer) = status_and_json(&caller.response().expect("an answer"));
            assert_eq!(code, 503, "{answer}");
        }
    }
    if failure != Failure::Partitioned {
        fleet.faults.partition(&[&[leader], others]); // so that datagrams of the failed leader in transit are dropped
    }
}

/// Checks that all proxies or none have the change, that all have it if the voters accepted it, and that none has it if
/// only a killed leader did.
fn check_outcome(fleet: &Fleet, name: &str, delivered: Delivered, failure: Failure) {
    let quotas: Vec<Option<u64>> = ALL.iter().map(|n| tenant_quota(fleet, *n, name)).collect();
    eprintln!("{delivered:?}, {failure:?}: {quotas:?}");
    assert!(
        quotas.iter().all(|q| *q == quotas[0]),
        "{delivered:?}, {failure:?}: the proxies differ: {quotas:?}"
    );
    if delivered == Delivered::Requests {
        assert_eq!(
            quotas[0],
            Some(7),
            "a change that a majority of the voters accepted was lost: {failure:?}"
        );
    } else if failure == Failure::Killed {
        assert_eq!(
            quotas[0], None,
            "a change that only the killed leader had is in force"
        );
    }
}

/// While datagrams are lost, duplicated, delayed, corrupted and replayed, changes at all proxies come into force.
/// Acknowledged changes are kept when the voters are killed and restarted, first one by one and then all at once.
#[test]
fn acknowledged_changes_survive_network_faults_and_restarts_of_voters() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(4, &backend);
    fleet.wait_for_members(&ALL, 4);
    {
        let mut rules = fleet.faults.rules.lock().unwrap();
        (rules.drop, rules.duplicate, rules.corrupt, rules.replay) = (0.1, 0.1, 0.05, 0.05);
        rules.max_delay = Duration::from_millis(50);
    }
    let mut delays = Vec::new();
    let mut quota = 1;
    let mut changes = |fleet: &Fleet, of: &[usize]| {
        for n in of {
            let version = put_quota_until_accepted(fleet, *n, &format!("t{}", quota % 7), quota);
            let begun = Instant::now();
            wait_for_equal_copies(fleet, of, version);
            delays.push(begun.elapsed());
            quota += 1;
        }
        config_version(fleet, of[0])
    };
    changes(&fleet, &ALL);
    for voter in 0..3 {
        fleet.kill(&[voter]);
        let others: Vec<usize> = ALL.into_iter().filter(|other| *other != voter).collect();
        changes(&fleet, &others);
        fleet.restart(voter);
        fleet.wait_for("the voter to vote", |f| {
            (config_status(f, voter)["votes"] == true).then_some(())
        });
    }
    let before = changes(&fleet, &ALL);
    let acknowledged: Vec<_> = (0..7)
        .map(|n| tenant_quota(&fleet, 4, &format!("t{n}")))
        .collect();
    fleet.kill(&[0, 1, 2]);
    (0..3).for_each(|voter| fleet.restart(voter));
    wait_for_equal_copies(&fleet, &ALL, before);
    let has: Vec<_> = (0..7)
        .map(|n| tenant_quota(&fleet, 1, &format!("t{n}")))
        .collect();
    assert_eq!(has, acknowledged, "acknowledged changes were lost");
    assert!(changes(&fleet, &ALL) > before);
    delays.sort();
    eprintln!(
        "{} changes, in force at all proxies after {:?} (median) to {:?} (maximum)",
        delays.len(),
        delays[delays.len() / 2],
        delays[delays.len() - 1]
    );
    check_consistency(&fleet);
}

/// `duty_holdings` and `lease_violations`, on which the tests above rely, treat the leases of different duties separately.
#[test]
fn the_holdings_of_each_duty_are_counted_separately() {
    let held = |duty: &str| format!(" event=\"duty_held\" duty={duty} token=10-7 mono_us=5\n");
    let incarnation = lease_history::Incarnation {
        proxy: 0,
        log: held("calendar") + &held("config"),
        ended_us: None,
    };
    assert_eq!(
        duty_holdings("config", std::slice::from_ref(&incarnation)).len(),
        1
    );
    assert_eq!(lease_violations(&[incarnation]), [""; 0]);
}
