//! The fleet's configuration in real processes: changes at any door, in force at all of them, while datagrams are lost and
//! holders are killed, stopped and cut off in the middle of a change (`rig::faults`).
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::changes::*;
use rig::fleet::Fleet;
use rig::holdings::{self, contradictions, holdings_of, Token};
use rig::*;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// Waits until one proxy holds the duty under a token above that one, and may propose.
fn holder(fleet: &Fleet, above: &Token) -> (usize, Token) {
    fleet.wait("a holder", |fleet| {
        let all = holdings_of("config", &fleet.lives());
        let now = all.iter().rfind(|h| h.to == u64::MAX && h.token > *above)?;
        Some((now.proxy, now.token.clone()))
    })
}

#[test]
fn changes_at_any_door_come_into_force_at_all_or_are_refused_with_the_reason() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = fleet(1, &backend);
    fleet.until(&ALL, 4);
    let mut last = 0;
    for n in ALL {
        last = put_surely(&fleet, n, &format!("t{n}"), 10 + n as u64);
        assert_eq!(equal(&fleet, &ALL, last), last);
    }
    for n in ALL {
        assert_eq!(quota(&fleet, 4 - n, &format!("t{n}")), Some(10 + n as u64));
    }
    // Made from an older version: refused where the entry changed since, and only there.
    let (code, told) = put_answered(&fleet, 3, "t4", last - 1, 99);
    assert_eq!(
        (code, &told["field"], &told["version"]),
        (409, &json!("tenants.t4"), &json!(last)),
        "{told}"
    );
    assert_eq!(put_answered(&fleet, 3, "t0", last - 1, 99).0, 200);
    let (code, told) = put_answered(&fleet, 2, "t0", last, 99);
    assert_eq!(code, 200, "the same again: {told}");
    // Several at once.
    let now = version(&fleet, 1);
    let several = json!({ "version": now, "entries": [
        { "kind": "tenants", "name": "t1" }, { "kind": "tenants", "name": "north" },
        { "kind": "tenants", "name": "t2", "value": { "name": "t2", "quota_rps": 3.5 } },
    ]});
    let (code, told) = answered(&fleet, 1, "PUT /config", &several.to_string());
    assert_eq!(code, 200, "{told}");
    let now = told["version"].as_u64().unwrap();
    equal(&fleet, &ALL, now);
    let state =
        |path: &str| said(&fleet.call(0, &format!("GET /config/{path}"), "")).1["state"].clone();
    assert_eq!(
        [
            state("tenants/t1"),
            state("tenants/north"),
            state("tenants/t2")
        ],
        ["removed", "removed", "set"]
    );
    let (code, told) = answered(
        &fleet,
        2,
        "DELETE /config/tenants/t3",
        &json!({ "version": now }).to_string(),
    );
    assert_eq!(code, 200, "{told}");
    // What is wrong is said by key, all of it, and nothing is kept.
    let now = equal(&fleet, &ALL, told["version"].as_u64().unwrap());
    let wrong = json!({ "version": now, "entries": [
        { "kind": "tenants", "name": "kept-not", "value": { "name": "kept-not", "quota_rps": 1.0 } },
        { "kind": "cells", "name": "a", "value": {} }, { "kind": "tenants", "name": "", "value": {} },
        { "kind": "tenants", "name": "b", "value": 5 }, { "kind": "tenants", "name": "b", "value": { "name": "c" } },
        { "kind": "tenants", "name": "c", "value": { "name": "c", "x": "y".repeat(600) } },
    ]});
    let (code, told) = answered(&fleet, 1, "PUT /config", &wrong.to_string());
    let fields: Vec<&str> = told["errors"]
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
    assert_eq!((code, &fields[..]), (422, &expected[..]), "{told}");
    let bad = [
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
        // What the settings make of it is said by their own keys.
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
    for (line, body, code, key) in bad {
        let (status, told) = answered(&fleet, 0, line, body);
        assert_eq!(
            (status, told["field"].as_str()),
            (code, Some(key)),
            "{line} {body}: {told}"
        );
    }
    assert_eq!(fleet.call(0, "GET /config/cells/a", "").status(), 404);
    assert_eq!(fleet.call(0, "POST /config", "").status(), 405);
    assert_eq!(equal(&fleet, &ALL, 0), now);
    // The figures say the same.
    fleet.wait("the figures", |fleet| {
        let text = String::from_utf8(fleet.proxies[3].call("GET /metrics").body).unwrap();
        text.contains(&format!("meadowproxy_config_version {now}\n"))
            .then_some(())
    });
    consistent(&fleet);
}

/// A route that operators set serves at every proxy, one that they removed is refused at every proxy, and both outlive a file that
/// says otherwise, there and at a proxy that starts anew.
#[test]
fn routes_changed_for_the_fleet_are_in_force_for_requests_and_win_over_the_file() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = fleet(5, &backend);
    fleet.until(&ALL, 4);
    let ask = |fleet: &Fleet, n: usize, route: &str| {
        let request = read(3.0).replace("/read/", &format!("/{route}/"));
        Client::connect(fleet.proxies[n].address)
            .ask(&request)
            .status()
    };
    let changed = |fleet: &Fleet| {
        for n in ALL {
            fleet.proxies[n].wait_until_serving();
            assert_eq!(
                [ask(fleet, n, "list"), ask(fleet, n, "read")],
                [200, 200],
                "proxy {n}"
            );
            assert_ne!(ask(fleet, n, "vote"), 200, "proxy {n}");
        }
    };
    for n in ALL {
        fleet.proxies[n].wait_until_serving();
        assert_ne!(ask(&fleet, n, "list"), 200);
    }
    let route = r#"{"name":"list","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;
    let entries = format!(
        r#""entries":[{{"kind":"routes","name":"list","value":{route}}},{{"kind":"routes","name":"vote"}}]"#
    );
    let version = fleet.wait("a change to be taken", |fleet| {
        let body = format!(r#"{{"version":{},{entries}}}"#, version(fleet, 2));
        let (code, told) = said(&fleet.call(2, "PUT /config", &body));
        (code == 200).then(|| told["version"].as_u64().unwrap())
    });
    equal(&fleet, &ALL, version);
    changed(&fleet);
    for n in ALL {
        let taken = || fleet.proxies[n].lines("configuration taken").len();
        let before = taken();
        fleet.proxies[n].signal("-HUP");
        fleet.wait("the file to be taken", |_| (taken() > before).then_some(()));
    }
    changed(&fleet);
    fleet.kill(&[4]);
    fleet.restart(4);
    equal(&fleet, &ALL, version);
    changed(&fleet);
    consistent(&fleet);
}

/// A region without a majority serves on, refuses with the reason, and is equal again soon after the heal.
#[test]
fn a_region_that_is_cut_off_refuses_changes_and_is_equal_after_the_heal() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = fleet(2, &backend);
    fleet.until(&ALL, 4);
    equal(&fleet, &ALL, put_surely(&fleet, 4, "a", 1));
    fleet.faults.split(&[&[0, 3], &[1, 2, 4]]);
    let reason = fleet.wait("a reason", |fleet| {
        let (code, told) = put(fleet, 3, "b", version(fleet, 3), 2);
        assert_eq!(code, 503, "{told}");
        told["why"]
            .as_str()
            .filter(|why| why.contains("majority"))
            .map(String::from)
    });
    assert!(reason.ends_with("1 of 3"), "{reason}");
    let mut last = 0;
    for quota in 0..3 {
        last = put_surely(&fleet, 4, "a", quota + 5);
    }
    equal(&fleet, &[1, 2, 4], last);
    assert_eq!(
        quota(&fleet, 3, "a"),
        Some(1),
        "it goes on with what it has"
    );
    let asked = Client::connect(fleet.proxies[3].address).ask(&read(3.0));
    assert_eq!(asked.status(), 200);
    fleet.faults.heal();
    let healed = Instant::now();
    last = equal(&fleet, &ALL, last);
    eprintln!("equal {:?} after the heal", healed.elapsed());
    assert!(
        healed.elapsed() < Duration::from_secs(5),
        "{:?}",
        healed.elapsed()
    );
    assert!(put_surely(&fleet, 3, "b", 2) > last);
    consistent(&fleet);
}

/// What is wrong with the holder's datagrams while a change is under way, and what then befalls it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Heard {
    /// Nobody hears it.
    Nobody,
    /// All hear it, and it hears nobody.
    All,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Killed,
    Stopped,
    CutOff,
}

/// The holder is killed, stopped past its lease or cut off with a change under way that nobody else has, or that the
/// voters have and it does not know so: in the end that change is in force everywhere or nowhere, and never twice.
#[test]
fn a_change_whose_holder_is_lost_in_its_middle_is_in_force_everywhere_or_nowhere() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = fleet(3, &backend);
    fleet.until(&ALL, 4);
    let cases = [
        (Heard::Nobody, Fate::Killed),
        (Heard::All, Fate::Killed),
        (Heard::Nobody, Fate::Stopped),
        (Heard::All, Fate::Stopped),
        (Heard::Nobody, Fate::CutOff),
        (Heard::All, Fate::CutOff),
    ];
    for (n, (heard, fate)) in cases.into_iter().enumerate() {
        equal(
            &fleet,
            &ALL,
            put_surely(&fleet, 4, &format!("before-{n}"), 1),
        );
        let votes = |f: &Fleet| (0..3).all(|n| status(f, n)["votes"] == true).then_some(());
        fleet.wait("all voters to take part", votes);
        let (at, token) = holder(&fleet, &(0, String::new()));
        let others: Vec<usize> = ALL.into_iter().filter(|other| *other != at).collect();
        let voters = others.iter().filter(|other| **other < 3).count();
        let cut = others.iter().map(|other| match heard {
            Heard::Nobody => (at, *other),
            Heard::All => (*other, at),
        });
        fleet.faults.rules.lock().unwrap().cut.extend(cut);
        let (name, base) = (format!("middle-{n}"), version(&fleet, at));
        let body =
            json!({ "version": base, "value": { "name": name, "quota_rps": 7.0 } }).to_string();
        let length = body.len();
        let call = format!(
            "PUT /config/tenants/{name} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let mut caller = Client::connect(fleet.proxies[at].control.expect("a door"));
        caller.0.get_mut().write_all(call.as_bytes()).unwrap();
        fleet.wait("the change to be under way", |f| {
            status(f, at)["proposed"].as_u64()
        });
        if heard == Heard::All {
            let keep = |f: &Fleet| {
                // Or has it in force, where a successor was quick.
                let kept =
                    |n: usize| !status(f, n)["keeps"].is_null() || quota(f, n, &name).is_some();
                (others.iter().filter(|n| **n < 3 && kept(**n)).count() == voters).then_some(())
            };
            fleet.wait("the voters to keep it", keep);
        }
        match fate {
            Fate::Killed => {}
            Fate::Stopped => fleet.proxies[at].signal("-STOP"),
            Fate::CutOff => {
                fleet.faults.split(&[&[at], &others]);
                let (code, told) = said(&caller.answer().expect("an answer"));
                assert_eq!(code, 503, "{told}");
            }
        }
        if fate == Fate::Killed {
            fleet.kill(&[at]);
        }
        if fate != Fate::CutOff {
            fleet.faults.split(&[&[at], &others]); // what is on its way stays there
        }
        holder(&fleet, &token);
        match fate {
            Fate::Killed => fleet.restart(at),
            Fate::Stopped => fleet.proxies[at].signal("-CONT"),
            Fate::CutOff => {}
        }
        fleet.faults.heal();
        let after = put_surely(&fleet, (at + 1) % 5, &format!("after-{n}"), 1);
        equal(&fleet, &ALL, after);
        let has: Vec<Option<u64>> = ALL.iter().map(|n| quota(&fleet, *n, &name)).collect();
        eprintln!("{heard:?}, {fate:?}: {has:?}");
        assert!(
            has.iter().all(|q| *q == has[0]),
            "{heard:?}, {fate:?}: {has:?}"
        );
        if heard == Heard::All {
            assert_eq!(
                has[0],
                Some(7),
                "a majority of the voters kept it: {fate:?}"
            );
        } else if fate == Fate::Killed {
            assert_eq!(has[0], None, "nobody else had it");
        }
    }
    consistent(&fleet);
}

/// Under loss, doubling, delay, spoiled and repeated datagrams changes from all doors come into force, and what was
/// acknowledged is there when voters, one by one and then all at once, forgot everything.
#[test]
fn what_was_acknowledged_outlives_noise_and_voters_that_forget() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = fleet(4, &backend);
    fleet.until(&ALL, 4);
    {
        let mut rules = fleet.faults.rules.lock().unwrap();
        (rules.drop, rules.double, rules.spoil, rules.replay) = (0.1, 0.1, 0.05, 0.05);
        rules.late = Duration::from_millis(50);
    }
    let mut took = Vec::new();
    let mut made = 1;
    let mut changes = |fleet: &Fleet, of: &[usize]| {
        for n in of {
            let version = put_surely(fleet, *n, &format!("t{}", made % 7), made);
            let begun = Instant::now();
            equal(fleet, of, version);
            took.push(begun.elapsed());
            made += 1;
        }
        version(fleet, of[0])
    };
    changes(&fleet, &ALL);
    for voter in 0..3 {
        fleet.kill(&[voter]);
        let others: Vec<usize> = ALL.into_iter().filter(|other| *other != voter).collect();
        changes(&fleet, &others);
        fleet.restart(voter);
        fleet.wait("the voter to take part", |f| {
            (status(f, voter)["votes"] == true).then_some(())
        });
    }
    let before = changes(&fleet, &ALL);
    let had: Vec<_> = (0..7).map(|n| quota(&fleet, 4, &format!("t{n}"))).collect();
    fleet.kill(&[0, 1, 2]);
    (0..3).for_each(|voter| fleet.restart(voter));
    equal(&fleet, &ALL, before);
    let has: Vec<_> = (0..7).map(|n| quota(&fleet, 1, &format!("t{n}"))).collect();
    assert_eq!(has, had, "the other proxies had it");
    assert!(changes(&fleet, &ALL) > before);
    took.sort();
    eprintln!(
        "{} changes, in force at all {:?} (median) to {:?} later",
        took.len(),
        took[took.len() / 2],
        took[took.len() - 1]
    );
    consistent(&fleet);
}

/// The check that the tests above rest on tells a version with two contents and a copy that went back.
#[test]
fn the_holdings_of_each_duty_are_told_apart() {
    let held = |duty: &str| format!(" event=\"duty_held\" duty={duty} token=10-7 mono_us=5\n");
    let life = holdings::Incarnation {
        proxy: 0,
        log: held("calendar") + &held("config"),
        killed: None,
    };
    assert_eq!(holdings_of("config", std::slice::from_ref(&life)).len(), 1);
    assert_eq!(contradictions(&[life]), [""; 0]);
}
