//! Tests of configuration files with a version beside the changes that operators make for the fleet, with several real
//! processes: files that contain some of the changes, are rolled out to some proxies only, are rolled back, are newer
//! than any version of the fleet or too old for it.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::config_changes::*;
use rig::fleet::Fleet;
use rig::*;
use serde_json::json;
use std::time::Duration;

/// The route `list`, which the files of these tests lack at first.
const LIST: &str = r#"{"name":"list","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;

/// Returns the text of a proxy's configuration file, which has no version unless the test wrote one.
fn config_text(fleet: &Fleet, n: usize) -> String {
    std::fs::read_to_string(&fleet.proxies[n].config_path).unwrap()
}

/// Returns the configuration file `plain` with a version, and with the route `list` if `list` is set.
fn versioned_config(plain: &str, version: u64, list: bool) -> String {
    let with = plain.replacen('{', &format!(r#"{{"version":{version},"#), 1);
    match list {
        true => with.replacen(
            r#"{"name":"read""#,
            &format!(r#"{LIST},{{"name":"read""#),
            1,
        ),
        false => with,
    }
}

/// Writes a proxy's configuration file and reloads it by SIGHUP. Returns whether it was accepted, and the log line that
/// says so.
fn reload(fleet: &Fleet, n: usize, text: &str) -> (bool, String) {
    let lines = || {
        let lines_with = |words| fleet.proxies[n].log_lines(words);
        (
            lines_with("configuration taken"),
            lines_with("configuration not taken"),
        )
    };
    let before = lines();
    std::fs::write(&fleet.proxies[n].config_path, text).unwrap();
    fleet.proxies[n].signal("-HUP");
    fleet.wait_for("the file to be read", |_| {
        let (accepted, rejected) = lines();
        match (
            accepted.len() > before.0.len(),
            rejected.len() > before.1.len(),
        ) {
            (true, _) => Some((true, accepted.last()?.clone())),
            (_, true) => Some((false, rejected.last()?.clone())),
            _ => None,
        }
    })
}

/// Returns whether a proxy serves the route `list`.
fn serves_list(fleet: &Fleet, n: usize) -> bool {
    fleet.proxies[n].wait_until_serving();
    let request = read_request(3.0).replace("/read/", "/list/");
    Client::connect(fleet.proxies[n].address)
        .request(&request)
        .status()
        == 200
}

/// Sets the route `list` for the fleet, or removes it, through proxy `n`. Waits until that is in force at all proxies and
/// returns their version.
fn put_list(fleet: &Fleet, n: usize, present: bool) -> u64 {
    let value = if present {
        format!(r#","value":{LIST}"#)
    } else {
        String::new()
    };
    let line = if present {
        "PUT /config/routes/list"
    } else {
        "DELETE /config/routes/list"
    };
    let version = fleet.wait_for("a change to be accepted", |fleet| {
        let body = format!(r#"{{"version":{}{value}}}"#, config_version(fleet, n));
        let (code, answer) = status_and_json(&fleet.control_call(n, line, &body));
        (code == 200).then(|| answer["version"].as_u64().unwrap())
    });
    wait_for_equal_copies(fleet, &ALL, version)
}

/// A file's version states up to which version it contains the fleet's changes. At the proxies that have the file, it
/// takes precedence over these changes and over no later one. The other proxies use the changes. A file with a version
/// that the fleet has not reached is rejected.
#[test]
fn a_file_takes_precedence_over_the_changes_that_it_contains_and_over_no_later_one() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = start_fleet(21, &backend);
    fleet.wait_for_members(&ALL, 4);
    let plain: Vec<String> = ALL.iter().map(|n| config_text(&fleet, *n)).collect();
    let first = put_list(&fleet, 0, true);
    assert!(ALL.iter().all(|n| serves_list(&fleet, *n)));
    // At two proxies, the file states that it contains the change, and no longer has the route.
    for n in [1, 3] {
        assert!(reload(&fleet, n, &versioned_config(&plain[n], first, false)).0);
        fleet.wait_for("the file's version in the status", |f| {
            (config_status(f, n)["file"] == first).then_some(())
        });
    }
    assert_eq!(
        ALL.map(|n| serves_list(&fleet, n)),
        [true, false, true, false, true]
    );
    // After the file is rolled back at one of them, the fleet's entry is in force there again.
    assert!(reload(&fleet, 3, &plain[3]).0);
    assert_eq!(
        ALL.map(|n| serves_list(&fleet, n)),
        [true, false, true, true, true]
    );
    // A later change is in force at all proxies, whatever file they have, and stays in force after a reload.
    let second = put_list(&fleet, 4, false);
    assert!(!ALL.iter().any(|n| serves_list(&fleet, *n)));
    assert!(reload(&fleet, 1, &versioned_config(&plain[1], first, true)).0);
    assert!(
        !serves_list(&fleet, 1),
        "a file took precedence over a later removal"
    );
    assert!(reload(&fleet, 1, &versioned_config(&plain[1], second, true)).0);
    assert!(
        serves_list(&fleet, 1),
        "a file did not take precedence over a removal that it contains"
    );
    let (accepted, line) = reload(&fleet, 2, &versioned_config(&plain[2], second + 1000, true));
    assert!(
        !accepted && line.contains("version: ") && line.contains(&second.to_string()),
        "{line}"
    );
    assert!(!serves_list(&fleet, 2));
    for invalid_version in [r#""x""#, "-1", "1e30", "9007199254740992"] {
        let text = plain[2].replacen('{', &format!(r#"{{"version":{invalid_version},"#), 1);
        let (accepted, line) = reload(&fleet, 2, &text);
        assert!(
            !accepted && line.contains("version: "),
            "{invalid_version}: {line}"
        );
    }
    check_consistency(&fleet);
}

/// Entries that all files contain are dropped by a change of the fleet's configuration, so that all proxies drop the same
/// ones. A running proxy loses nothing by it, also one with an older file. A starting proxy receives only the later
/// entries. One that starts with an older file uses that file alone, and logs so, until it gets a newer file.
#[test]
fn entries_that_the_files_contain_are_dropped_and_lost_at_no_proxy() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(22, &backend);
    fleet.wait_for_members(&ALL, 4);
    let plain: Vec<String> = ALL.iter().map(|n| config_text(&fleet, *n)).collect();
    for n in 0..4 {
        put_quota_until_accepted(&fleet, n, &format!("t{n}"), 5);
    }
    let contained_version = put_list(&fleet, 0, true);
    let declare_contained = |fleet: &Fleet, n: usize, contained_version: u64| {
        let body = json!({ "version": config_version(fleet, n), "contains": contained_version })
            .to_string();
        call_until_available(fleet, n, "PUT /config/file", &body)
    };
    let (code, answer) = declare_contained(&fleet, 2, contained_version);
    assert_eq!(
        (code, &answer["field"]),
        (422, &json!("contains")),
        "its own file does not contain the changes: {answer}"
    );
    for n in [0, 1, 2, 4] {
        assert!(
            reload(
                &fleet,
                n,
                &versioned_config(&plain[n], contained_version, true)
            )
            .0
        );
    }
    fleet.wait_for("the file's version in the status", |f| {
        (config_status(f, 2)["file"] == contained_version).then_some(())
    });
    let (code, answer) = declare_contained(&fleet, 2, contained_version);
    assert_eq!(code, 200, "{answer}");
    let dropped = wait_for_equal_copies(&fleet, &ALL, answer["version"].as_u64().unwrap());
    for n in ALL {
        let status = config_status(&fleet, n);
        assert_eq!(
            (&status["entries"], &status["contained"]),
            (&json!(1), &json!(contained_version)),
            "{status}"
        );
        assert!(
            serves_list(&fleet, n),
            "proxy {n} lost the route that was dropped"
        );
    }
    // Proxy 3, with the older file, keeps the dropped entry for itself, also after a reload of that file.
    assert!(reload(&fleet, 3, &plain[3]).0);
    assert!(serves_list(&fleet, 3));
    let (accepted, line) = reload(&fleet, 2, &plain[2]);
    assert!(
        !accepted && line.contains(&format!("version: expected at least {contained_version}")),
        "{line}"
    );
    assert!(serves_list(&fleet, 2));
    // A proxy that starts with the newer file, and is killed once while it catches up, has all entries in the end.
    fleet.set_extra_config(format!(r#","version":{contained_version}"#));
    fleet.kill(&[4]);
    fleet.faults.rules.lock().unwrap().drop = 0.6;
    fleet.restart(4);
    std::thread::sleep(Duration::from_millis(300));
    fleet.kill(&[4]);
    fleet.faults.rules.lock().unwrap().drop = 0.0;
    fleet.restart(4);
    wait_for_equal_copies(&fleet, &ALL, dropped);
    assert_eq!(config_status(&fleet, 4)["entries"], 1);
    // A proxy that starts with an older file uses that alone: with the entries dropped since, the fleet's state cannot be
    // built.
    fleet.set_extra_config(String::new());
    fleet.kill(&[4]);
    fleet.restart(4);
    wait_for_equal_copies(
        &fleet,
        &[0, 1, 2, 3],
        put_quota_until_accepted(&fleet, 1, "later", 6),
    );
    fleet.wait_for("the log line config_file_old", |f| {
        f.proxies[4].log_lines("config_file_old").pop()
    });
    let newest = config_version(&fleet, 0);
    fleet.wait_for("proxy 4 to have the newest version", |f| {
        (config_version(f, 4) == newest).then_some(())
    });
    assert!(!serves_list(&fleet, 4));
    assert_eq!(config_status(&fleet, 4)["in_force"], 0);
    let now = config_version(&fleet, 4);
    let start = std::fs::read_to_string(&fleet.proxies[4].config_path).unwrap();
    assert!(
        reload(
            &fleet,
            4,
            &versioned_config(&start, contained_version, true)
        )
        .0
    );
    wait_for_equal_copies(&fleet, &ALL, now);
    assert!(serves_list(&fleet, 4));
    check_consistency(&fleet);
}

/// A restarted proxy begins with its own stored copy of the fleet's configuration, even if no other proxy can be reached,
/// and then receives only the differences. A voter with a stored copy does not vote any sooner. A truncated or corrupted
/// copy is rejected with its cause, and the proxy requests the whole configuration.
#[test]
fn a_restarted_proxy_begins_with_its_own_stored_copy() {
    let backend = BackendServer::start(|_| ok("x"));
    let dir = create_temp_dir();
    let mut fleet = start_fleet_with_variables(
        24,
        &backend,
        vec![("NODE_SNAPSHOT", dir.to_str().unwrap().into())],
    );
    fleet.wait_for_members(&ALL, 4);
    let files = || -> Vec<std::path::PathBuf> {
        let all = std::fs::read_dir(&dir)
            .into_iter()
            .flatten()
            .flatten()
            .map(|e| e.path());
        all.filter(|path| path.extension().is_some_and(|e| e == "table"))
            .collect()
    };
    for n in ALL {
        put_quota_until_accepted(&fleet, n, &format!("t{n}"), 5);
    }
    let stored_version = put_list(&fleet, 1, true);
    fleet.wait_for("all stored copies to contain the route", |_| {
        let name = br#""name":"list""#;
        let has = |bytes: Vec<u8>| bytes.windows(name.len()).any(|window| window == name);
        let whole = files()
            .into_iter()
            .filter(|f| std::fs::read(f).is_ok_and(has));
        (whole.count() == ALL.len()).then_some(())
    });
    let lines = |fleet: &Fleet, n: usize, event: &str| {
        let text = fleet.proxies[n].startup_log.clone();
        text.lines()
            .filter(|line| line.contains(event))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    // A voter and another proxy restart, each unable to reach any other. The fleet has a newer version meanwhile.
    fleet.kill(&[0, 4]);
    wait_for_equal_copies(
        &fleet,
        &[1, 2, 3],
        put_quota_until_accepted(&fleet, 1, "later", 5),
    );
    fleet.faults.partition(&[&[0], &[4], &[1, 2, 3]]);
    for n in [0, 4] {
        fleet.restart(n);
        let line = lines(&fleet, n, "config_snapshot_taken")
            .pop()
            .expect("a line config_snapshot_taken");
        assert!(
            line.contains(&format!("version={stored_version} entries=6")),
            "{line}"
        );
        assert!(serves_list(&fleet, n));
        let status = config_status(&fleet, n);
        assert_eq!(
            (&status["version"], &status["in_force"]),
            (&json!(stored_version), &json!(stored_version))
        );
    }
    assert_eq!(config_status(&fleet, 0)["votes"], false);
    fleet.faults.heal();
    fleet.wait_for("the voter to vote", |f| {
        (config_status(f, 0)["votes"] == true).then_some(())
    });
    let now = wait_for_equal_copies(&fleet, &ALL, stored_version + 1);
    for (truncate, cause) in [(true, "checksum"), (false, "magic")] {
        let texts: Vec<_> = files()
            .into_iter()
            .map(|f| (std::fs::read(&f).unwrap(), f))
            .collect();
        fleet.kill(&[4]);
        // All copies are damaged, as the running proxies do not read theirs.
        for (bytes, file) in &texts {
            let bytes = if truncate {
                bytes[..bytes.len() - 1].to_vec()
            } else {
                [b"X", &bytes[1..]].concat()
            };
            std::fs::write(file, bytes).unwrap();
        }
        fleet.restart(4);
        let line = lines(&fleet, 4, "config_snapshot_refused")
            .pop()
            .expect("a line config_snapshot_refused");
        assert!(line.contains(&format!(r#"cause="{cause}""#)), "{line}");
        wait_for_equal_copies(&fleet, &ALL, now);
    }
    check_consistency(&fleet);
}

/// When a change is reverted, each proxy uses its own file again. Several entries are reverted in one step. A call that
/// reverts an entry without a change is rejected.
#[test]
fn a_reverted_change_leaves_the_content_of_the_file() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(23, &backend);
    fleet.wait_for_members(&ALL, 4);
    let serves = |fleet: &Fleet, n: usize, route: &str| {
        let request = read_request(3.0).replace("/read/", &format!("/{route}/"));
        Client::connect(fleet.proxies[n].address)
            .request(&request)
            .status()
            == 200
    };
    let served_routes = |fleet: &Fleet| {
        ALL.map(|n| {
            fleet.proxies[n].wait_until_serving();
            ["list", "read"].map(|route| serves(fleet, n, route))
        })
    };
    let revert = |fleet: &Fleet, n: usize, path: &str| {
        let body = json!({ "version": config_version(fleet, n) }).to_string();
        call_until_available(fleet, n, &format!("DELETE /config/{path}/override"), &body)
    };
    assert_eq!(revert(&fleet, 0, "routes/list").0, 404);
    let entries = format!(
        r#"[{{"kind":"routes","name":"list","value":{LIST}}},{{"kind":"routes","name":"read"}}]"#
    );
    let change = |fleet: &Fleet, n: usize, entries: &str| {
        let body = format!(
            r#"{{"version":{},"entries":{entries}}}"#,
            config_version(fleet, n)
        );
        let (code, answer) = call_until_available(fleet, n, "PUT /config", &body);
        assert_eq!(code, 200, "{answer}");
        wait_for_equal_copies(fleet, &ALL, answer["version"].as_u64().unwrap())
    };
    change(&fleet, 1, &entries);
    assert_eq!(served_routes(&fleet), [[true, false]; 5]);
    // Revert both entries at once.
    let entries = r#"[{"kind":"routes","name":"list","as_file":true},{"kind":"routes","name":"read","as_file":true}]"#;
    change(&fleet, 2, entries);
    assert_eq!(served_routes(&fleet), [[false, true]; 5]);
    let (code, answer) = revert(&fleet, 3, "routes/list");
    assert_eq!(
        (code, &answer["field"]),
        (404, &json!("routes.list")),
        "{answer}"
    );
    // Revert one entry, then restart a proxy.
    let put = put_list(&fleet, 3, true);
    let (code, answer) = revert(&fleet, 4, "routes/list");
    assert_eq!(code, 200, "{answer}");
    let now = wait_for_equal_copies(&fleet, &ALL, answer["version"].as_u64().unwrap());
    assert!(now > put);
    fleet.kill(&[0]);
    fleet.restart(0);
    wait_for_equal_copies(&fleet, &ALL, now);
    assert_eq!(served_routes(&fleet), [[false, true]; 5]);
    let (code, answer) = call_until_available(
        &fleet,
        1,
        "DELETE /config/routes/x/override",
        r#"{"version":1,"value":{}}"#,
    );
    assert_eq!((code, &answer["field"]), (422, &json!("value")), "{answer}");
    let both = r#"{"version":1,"entries":[{"kind":"routes","name":"x","value":{"name":"x"},"as_file":true}]}"#;
    let (code, answer) = call_until_available(&fleet, 1, "PUT /config", both);
    assert_eq!(
        (code, &answer["field"]),
        (422, &json!("entries[0].value")),
        "{answer}"
    );
    // A change that the file contains cannot be reverted.
    let put = put_list(&fleet, 3, true);
    let text = config_text(&fleet, 2);
    assert!(reload(&fleet, 2, &versioned_config(&text, put, true)).0);
    let (code, answer) = revert(&fleet, 2, "routes/list");
    assert_eq!(
        (code, &answer["field"]),
        (422, &json!("routes.list")),
        "{answer}"
    );
    check_consistency(&fleet);
}
