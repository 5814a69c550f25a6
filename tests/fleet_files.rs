//! The platform's files beside the fleet's configuration, in real processes: files that contain some of the changes, rolled out to
//! some proxies only, rolled back, ahead of the fleet or too old for it.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod rig;

use rig::config_changes::*;
use rig::fleet::Fleet;
use rig::*;
use serde_json::json;
use std::time::Duration;

const LIST: &str = r#"{"name":"list","aim_us":900000,"deadline_us":3000000,"effect":"free","gain":1.0,"late_worth":0.5}"#;

/// The file of a proxy as it would be without a version, for the last of these to be put in.
fn plain(fleet: &Fleet, n: usize) -> String {
    std::fs::read_to_string(&fleet.proxies[n].config_path).unwrap()
}

/// That file with a version, and with the route or without it.
fn file(plain: &str, version: u64, list: bool) -> String {
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

/// Writes a proxy's file and has it read; whether it was taken, and the line on it.
fn reload(fleet: &Fleet, n: usize, text: &str) -> (bool, String) {
    let lines = || {
        let of = |words| fleet.proxies[n].log_lines(words);
        (of("configuration taken"), of("configuration not taken"))
    };
    let before = lines();
    std::fs::write(&fleet.proxies[n].config_path, text).unwrap();
    fleet.proxies[n].signal("-HUP");
    fleet.wait_for("the file to be read", |_| {
        let (taken, not) = lines();
        match (taken.len() > before.0.len(), not.len() > before.1.len()) {
            (true, _) => Some((true, taken.last()?.clone())),
            (_, true) => Some((false, not.last()?.clone())),
            _ => None,
        }
    })
}

/// Whether a proxy serves the route.
fn lists(fleet: &Fleet, n: usize) -> bool {
    fleet.proxies[n].wait_until_serving();
    let request = read_request(3.0).replace("/read/", "/list/");
    Client::connect(fleet.proxies[n].address)
        .request(&request)
        .status()
        == 200
}

/// Sets the route for the fleet, or removes it, and waits until that is in force everywhere.
fn put_list(fleet: &Fleet, n: usize, there: bool) -> u64 {
    let value = if there {
        format!(r#","value":{LIST}"#)
    } else {
        String::new()
    };
    let line = if there {
        "PUT /config/routes/list"
    } else {
        "DELETE /config/routes/list"
    };
    let version = fleet.wait_for("a change to be taken", |fleet| {
        let body = format!(r#"{{"version":{}{value}}}"#, config_version(fleet, n));
        let (code, told) = status_and_json(&fleet.control_call(n, line, &body));
        (code == 200).then(|| told["version"].as_u64().unwrap())
    });
    wait_for_equal_copies(fleet, &ALL, version)
}

/// A file's version says which of the table's entries it contains: those it wins over, and no later one, at the proxies that
/// have it, while the others go on with the table. A version that nobody heard of is refused.
#[test]
fn a_file_wins_over_the_changes_that_it_contains_and_over_no_later_one() {
    let backend = BackendServer::start(|_| ok("x"));
    let fleet = start_fleet(21, &backend);
    fleet.wait_for_members(&ALL, 4);
    let plain: Vec<String> = ALL.iter().map(|n| plain(&fleet, *n)).collect();
    let first = put_list(&fleet, 0, true);
    assert!(ALL.iter().all(|n| lists(&fleet, *n)));
    // At some proxies only: the file has that change, and the operator took the route out of it since.
    for n in [1, 3] {
        assert!(reload(&fleet, n, &file(&plain[n], first, false)).0);
        fleet.wait_for("it to be shown", |f| {
            (config_status(f, n)["file"] == first).then_some(())
        });
    }
    assert_eq!(
        ALL.map(|n| lists(&fleet, n)),
        [true, false, true, false, true]
    );
    // Rolled back at one of them: the table's entry is there again.
    assert!(reload(&fleet, 3, &plain[3]).0);
    assert_eq!(
        ALL.map(|n| lists(&fleet, n)),
        [true, false, true, true, true]
    );
    // A later change is in force at all, whatever file they have, and stays so after another reading.
    let second = put_list(&fleet, 4, false);
    assert!(!ALL.iter().any(|n| lists(&fleet, *n)));
    assert!(reload(&fleet, 1, &file(&plain[1], first, true)).0);
    assert!(!lists(&fleet, 1), "the file is older than the removal");
    assert!(reload(&fleet, 1, &file(&plain[1], second, true)).0);
    assert!(lists(&fleet, 1), "it is newer now");
    let (taken, line) = reload(&fleet, 2, &file(&plain[2], second + 1000, true));
    assert!(
        !taken && line.contains("version: ") && line.contains(&second.to_string()),
        "{line}"
    );
    assert!(!lists(&fleet, 2));
    for wrong in [r#""x""#, "-1", "1e30", "9007199254740992"] {
        let text = plain[2].replacen('{', &format!(r#"{{"version":{wrong},"#), 1);
        let (taken, line) = reload(&fleet, 2, &text);
        assert!(!taken && line.contains("version: "), "{wrong}: {line}");
    }
    check_consistency(&fleet);
}

/// Entries that all files contain are dropped by a change of its own, so everywhere alike. A proxy that lives loses nothing by it,
/// one that starts gets what follows only, and one with a file from before goes on with that and says so until it has a newer one.
#[test]
fn what_the_files_contain_is_dropped_from_the_table_and_lost_nowhere() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(22, &backend);
    fleet.wait_for_members(&ALL, 4);
    let plain: Vec<String> = ALL.iter().map(|n| plain(&fleet, *n)).collect();
    for n in 0..4 {
        put_quota_until_accepted(&fleet, n, &format!("t{n}"), 5);
    }
    let upto = put_list(&fleet, 0, true);
    let contain = |fleet: &Fleet, n: usize, upto: u64| {
        let body = json!({ "version": config_version(fleet, n), "contains": upto }).to_string();
        call_until_available(fleet, n, "PUT /config/file", &body)
    };
    let (code, told) = contain(&fleet, 2, upto);
    assert_eq!(
        (code, &told["field"]),
        (422, &json!("contains")),
        "its own file does not: {told}"
    );
    for n in [0, 1, 2, 4] {
        assert!(reload(&fleet, n, &file(&plain[n], upto, true)).0);
    }
    fleet.wait_for("the file to be shown", |f| {
        (config_status(f, 2)["file"] == upto).then_some(())
    });
    let (code, told) = contain(&fleet, 2, upto);
    assert_eq!(code, 200, "{told}");
    let dropped = wait_for_equal_copies(&fleet, &ALL, told["version"].as_u64().unwrap());
    for n in ALL {
        let status = config_status(&fleet, n);
        assert_eq!(
            (&status["entries"], &status["contained"]),
            (&json!(1), &json!(upto)),
            "{status}"
        );
        assert!(
            lists(&fleet, n),
            "proxy {n}, also the one whose file is older"
        );
    }
    // That one keeps what only it needs, also over its file read again.
    assert!(reload(&fleet, 3, &plain[3]).0);
    assert!(lists(&fleet, 3));
    let (taken, line) = reload(&fleet, 2, &plain[2]);
    assert!(
        !taken && line.contains(&format!("version: expected at least {upto}")),
        "{line}"
    );
    assert!(lists(&fleet, 2));
    // One that starts with the newer file, killed in the middle of its repair once, has all.
    fleet.set_extra_config(format!(r#","version":{upto}"#));
    fleet.kill(&[4]);
    fleet.faults.rules.lock().unwrap().drop = 0.6;
    fleet.restart(4);
    std::thread::sleep(Duration::from_millis(300));
    fleet.kill(&[4]);
    fleet.faults.rules.lock().unwrap().drop = 0.0;
    fleet.restart(4);
    wait_for_equal_copies(&fleet, &ALL, dropped);
    assert_eq!(config_status(&fleet, 4)["entries"], 1);
    // One that starts with a file from before goes on with that alone, as no state of the fleet can be made of it.
    fleet.set_extra_config(String::new());
    fleet.kill(&[4]);
    fleet.restart(4);
    wait_for_equal_copies(
        &fleet,
        &[0, 1, 2, 3],
        put_quota_until_accepted(&fleet, 1, "later", 6),
    );
    fleet.wait_for("the line", |f| {
        f.proxies[4].log_lines("config_file_old").pop()
    });
    let newest = config_version(&fleet, 0);
    fleet.wait_for("its copy", |f| {
        (config_version(f, 4) == newest).then_some(())
    });
    assert!(!lists(&fleet, 4));
    assert_eq!(config_status(&fleet, 4)["in_force"], 0);
    let now = config_version(&fleet, 4);
    let start = std::fs::read_to_string(&fleet.proxies[4].config_path).unwrap();
    assert!(reload(&fleet, 4, &file(&start, upto, true)).0);
    wait_for_equal_copies(&fleet, &ALL, now);
    assert!(lists(&fleet, 4));
    check_consistency(&fleet);
}

/// A proxy that starts again begins with its own copy, also where nobody answers it, and gets what is different from then on; a
/// voter with one votes no sooner than without. A file that is cut short or spoiled is refused by cause, and all is asked for.
#[test]
fn a_proxy_that_starts_again_begins_with_its_own_copy() {
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
    let kept = put_list(&fleet, 1, true);
    fleet.wait_for("all copies to be written with that", |_| {
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
    // A voter and another, both alone at their start, with the others gone on meanwhile.
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
            .expect("its own copy");
        assert!(
            line.contains(&format!("version={kept} entries=6")),
            "{line}"
        );
        assert!(lists(&fleet, n));
        let status = config_status(&fleet, n);
        assert_eq!(
            (&status["version"], &status["in_force"]),
            (&json!(kept), &json!(kept))
        );
    }
    assert_eq!(config_status(&fleet, 0)["votes"], false);
    fleet.faults.heal();
    fleet.wait_for("the voter", |f| {
        (config_status(f, 0)["votes"] == true).then_some(())
    });
    let now = wait_for_equal_copies(&fleet, &ALL, kept + 1);
    for (cut, cause) in [(true, "checksum"), (false, "magic")] {
        let texts: Vec<_> = files()
            .into_iter()
            .map(|f| (std::fs::read(&f).unwrap(), f))
            .collect();
        fleet.kill(&[4]);
        // Which of them is its own does not matter: the others run.
        for (bytes, file) in &texts {
            let bytes = if cut {
                bytes[..bytes.len() - 1].to_vec()
            } else {
                [b"X", &bytes[1..]].concat()
            };
            std::fs::write(file, bytes).unwrap();
        }
        fleet.restart(4);
        let line = lines(&fleet, 4, "config_snapshot_refused")
            .pop()
            .expect("refused");
        assert!(line.contains(&format!(r#"cause="{cause}""#)), "{line}");
        wait_for_equal_copies(&fleet, &ALL, now);
    }
    check_consistency(&fleet);
}

/// A change that is taken back leaves what the file says, in force in one step with the rest of its change, at each proxy by its
/// own file; where nothing was changed the door says so.
#[test]
fn a_change_that_is_taken_back_leaves_what_the_file_says() {
    let backend = BackendServer::start(|_| ok("x"));
    let mut fleet = start_fleet(23, &backend);
    fleet.wait_for_members(&ALL, 4);
    let ask = |fleet: &Fleet, n: usize, route: &str| {
        let request = read_request(3.0).replace("/read/", &format!("/{route}/"));
        Client::connect(fleet.proxies[n].address)
            .request(&request)
            .status()
            == 200
    };
    let serve = |fleet: &Fleet| {
        ALL.map(|n| {
            fleet.proxies[n].wait_until_serving();
            ["list", "read"].map(|route| ask(fleet, n, route))
        })
    };
    let back = |fleet: &Fleet, n: usize, path: &str| {
        let body = json!({ "version": config_version(fleet, n) }).to_string();
        call_until_available(fleet, n, &format!("DELETE /config/{path}/override"), &body)
    };
    assert_eq!(back(&fleet, 0, "routes/list").0, 404);
    let entries = format!(
        r#"[{{"kind":"routes","name":"list","value":{LIST}}},{{"kind":"routes","name":"read"}}]"#
    );
    let change = |fleet: &Fleet, n: usize, entries: &str| {
        let body = format!(
            r#"{{"version":{},"entries":{entries}}}"#,
            config_version(fleet, n)
        );
        let (code, told) = call_until_available(fleet, n, "PUT /config", &body);
        assert_eq!(code, 200, "{told}");
        wait_for_equal_copies(fleet, &ALL, told["version"].as_u64().unwrap())
    };
    change(&fleet, 1, &entries);
    assert_eq!(serve(&fleet), [[true, false]; 5]);
    // Both at once.
    let entries = r#"[{"kind":"routes","name":"list","as_file":true},{"kind":"routes","name":"read","as_file":true}]"#;
    change(&fleet, 2, entries);
    assert_eq!(serve(&fleet), [[false, true]; 5]);
    let (code, told) = back(&fleet, 3, "routes/list");
    assert_eq!(
        (code, &told["field"]),
        (404, &json!("routes.list")),
        "{told}"
    );
    // One, and a proxy that starts after it.
    let put = put_list(&fleet, 3, true);
    let (code, told) = back(&fleet, 4, "routes/list");
    assert_eq!(code, 200, "{told}");
    let now = wait_for_equal_copies(&fleet, &ALL, told["version"].as_u64().unwrap());
    assert!(now > put);
    fleet.kill(&[0]);
    fleet.restart(0);
    wait_for_equal_copies(&fleet, &ALL, now);
    assert_eq!(serve(&fleet), [[false, true]; 5]);
    let (code, told) = call_until_available(
        &fleet,
        1,
        "DELETE /config/routes/x/override",
        r#"{"version":1,"value":{}}"#,
    );
    assert_eq!((code, &told["field"]), (422, &json!("value")), "{told}");
    let both = r#"{"version":1,"entries":[{"kind":"routes","name":"x","value":{"name":"x"},"as_file":true}]}"#;
    let (code, told) = call_until_available(&fleet, 1, "PUT /config", both);
    assert_eq!(
        (code, &told["field"]),
        (422, &json!("entries[0].value")),
        "{told}"
    );
    // Where the file contains the change there is nothing to go back to.
    let put = put_list(&fleet, 3, true);
    let text = plain(&fleet, 2);
    assert!(reload(&fleet, 2, &file(&text, put, true)).0);
    let (code, told) = back(&fleet, 2, "routes/list");
    assert_eq!(
        (code, &told["field"]),
        (422, &json!("routes.list")),
        "{told}"
    );
    check_consistency(&fleet);
}
