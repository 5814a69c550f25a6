//! Proxies with different names, listen addresses, discovery addresses or settings that share a directory: none loads
//! another one's snapshot or applies another one's disabled backends.

mod rig;

use rig::snapshot_files::{files, only_file, wait_for_new};
use rig::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// Settings of a fleet with two proxies and two zones, so that the position and the zone can vary.
fn settings() -> String {
    SETTINGS
        .replace(
            r#""position":0,"group_size":1"#,
            r#""position":0,"group_size":2"#,
        )
        .replace(r#""zones":["east"]"#, r#""zones":["east","west"]"#)
}

/// Configuration members that tests override by appending the same key: of two equal keys the last one applies.
const OVERRIDABLE: &str = r#","discovery":"127.0.0.1:9""#;

/// Starts a proxy that writes snapshots to `dir` and has its own `TMPDIR`. `overrides` replaces members of its
/// configuration.
fn start_with_snapshots(dir: &Path, known: &[String], settings: &str, overrides: &str) -> Proxy {
    let members = format!(
        r#"{OVERRIDABLE}{overrides},"snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    Proxy::with_extra_config(known, settings, &members, &[tmp])
}

/// Two backends and their endpoint entries, b0 and b1.
fn backends() -> (BackendServer, BackendServer, Vec<String>) {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = vec![
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    (a, b, known)
}

/// Waits until `done` returns true. `what` is the message if that takes too long.
fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Whether the proxy sends any of 30 requests to `disabled`, a backend that was disabled at one of the proxies.
fn uses(proxy: &Proxy, disabled: &BackendServer) -> bool {
    let before = disabled.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    disabled.request_count() > before
}

/// An operator disables a backend at one proxy, which stores that in its snapshot. A proxy with another name, listen
/// address or discovery address and the same snapshot directory neither loads nor overwrites that snapshot.
#[test]
fn a_snapshot_is_loaded_only_by_the_proxy_that_wrote_it() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let settings = settings();
    let first = start_with_snapshots(&dir, &known, &settings, "");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let others = [
        r#","name":"n1""#,
        r#","listen":"127.0.0.2:0""#,
        r#","discovery":"127.0.0.1:10""#,
    ];
    for (n, overrides) in others.into_iter().enumerate() {
        let other = start_with_snapshots(&dir, &known, &settings, overrides);
        assert!(
            other.startup_log.contains("no snapshot: cold start"),
            "{overrides}: {}",
            other.startup_log
        );
        assert!(
            uses(&other, &a),
            "{overrides}: it applies another proxy's disabled backend"
        );
        until("it wrote no snapshot of its own in time", || {
            files(&dir).len() == n + 2
        });
    }
    let own_proxy = start_with_snapshots(&dir, &known, &settings, "");
    assert!(
        own_proxy.startup_log.contains("snapshot taken"),
        "{}",
        own_proxy.startup_log
    );
    assert!(!uses(&own_proxy, &a), "it lost its own disabled backend");
}

/// A snapshot is refused if the proxy's position, zone or a quota has changed since, or if another proxy wrote the
/// file. The log names the cause.
#[test]
fn a_snapshot_from_other_settings_or_another_proxy_is_refused_with_its_cause() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let settings = settings();
    let first = start_with_snapshots(&dir, &known, &settings, "");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let own_file = files(&dir).remove(0);
    let bytes = std::fs::read(&own_file).unwrap();
    let other = create_temp_dir().join("kept");
    let second = start_with_snapshots(&other, &known, &settings, r#","name":"n1""#);
    wait_for_new(&other);
    drop(second); // SIGKILL
    let foreign = std::fs::read(files(&other).remove(0)).unwrap();
    let swap = |from: &str, to: &str| {
        assert!(settings.contains(from), "{from}");
        settings.replacen(from, to, 1)
    };
    let cases = [
        (
            "settings",
            &bytes,
            swap(r#""position":0"#, r#""position":1"#),
        ),
        (
            "settings",
            &bytes,
            swap(r#""my_zone":"east""#, r#""my_zone":"west""#),
        ),
        (
            "settings",
            &bytes,
            swap(r#""quota_rps":500.0"#, r#""quota_rps":400.0"#),
        ),
        ("owner", &foreign, settings.clone()),
    ];
    for (cause, bytes, settings) in cases {
        std::fs::write(&own_file, bytes).unwrap();
        let proxy = start_with_snapshots(&dir, &known, &settings, "");
        let line = proxy
            .startup_log
            .lines()
            .find(|l| l.contains("snapshot refused, cold start"));
        let line = line.unwrap_or_else(|| panic!("{cause}: not refused: {}", proxy.startup_log));
        assert!(
            line.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {line}"
        );
        assert!(uses(&proxy, &a), "{cause}: it applies a refused snapshot");
    }
}

/// A pipe, a directory or an oversized file at the snapshot's path neither blocks the start nor is read into memory.
#[test]
fn a_snapshot_path_without_a_usable_file_does_not_delay_the_start() {
    let (_a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let first = start_with_snapshots(&dir, &known, &settings(), "");
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let own_file = files(&dir).remove(0);
    let named_pipe = |at: &Path| {
        assert!(std::process::Command::new("mkfifo")
            .arg(at)
            .status()
            .unwrap()
            .success());
    };
    let oversized_file = |at: &Path| std::fs::File::create(at).unwrap().set_len(1 << 40).unwrap();
    let directory = |at: &Path| std::fs::create_dir(at).unwrap();
    let cases = [
        ("unreadable", &named_pipe as &dyn Fn(&Path)),
        ("too_large", &oversized_file),
        ("unreadable", &directory),
    ];
    for (cause, create) in cases {
        let _ = std::fs::remove_file(&own_file);
        create(&own_file);
        let proxy = start_with_snapshots(&dir, &known, &settings(), "");
        assert!(
            proxy.startup_log.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {}",
            proxy.startup_log
        );
        assert_eq!(
            proxy.request(&read_request(3.0)).status(),
            200,
            "{cause}: it does not serve after a cold start"
        );
    }
}

/// A reload changes the discovery address of a running proxy, and its snapshot moves with it: the next process with the
/// new address loads it, and one with the old address finds none.
#[test]
fn a_snapshot_follows_its_proxy_to_a_new_discovery() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let first = start_with_snapshots(&dir, &known, &settings(), "");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    let file_of_old_address = only_file(&dir);
    let text = std::fs::read_to_string(&first.config_path).unwrap();
    std::fs::write(
        &first.config_path,
        text.replace("127.0.0.1:9\"", "127.0.0.1:10\""),
    )
    .unwrap();
    first.signal("-HUP");
    until("the new discovery address was not applied in time", || {
        first.log_count("discovery at 127.0.0.1:10") > 0
    });
    // The thread that writes snapshots moves the file after that line.
    until(
        "the snapshot was not moved in time",
        || matches!(files(&dir).as_slice(), [file] if *file != file_of_old_address),
    );
    drop(first); // SIGKILL
    let old = start_with_snapshots(&dir, &known, &settings(), "");
    assert!(
        old.startup_log.contains("no snapshot: cold start"),
        "{}",
        old.startup_log
    );
    assert!(uses(&old, &a));
    drop(old);
    let new = start_with_snapshots(&dir, &known, &settings(), r#","discovery":"127.0.0.1:10""#);
    assert!(
        new.startup_log.contains("snapshot taken"),
        "{}",
        new.startup_log
    );
    assert!(
        !uses(&new, &a),
        "the disabled backend is missing in the moved snapshot"
    );
}

/// Proxies with another name or listen address and the same `TMPDIR` do not count as another process of this proxy and
/// do not apply its disabled backends. The next process of the same proxy applies them, even with another discovery
/// address.
#[test]
fn disabled_backends_and_processes_in_one_tmpdir_are_kept_apart() {
    let (a, _b, known) = backends();
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    let start = |overrides: &str| {
        let proxy = Proxy::with_extra_config(
            &known,
            &settings(),
            &format!("{OVERRIDABLE}{overrides}"),
            std::slice::from_ref(&tmp),
        );
        proxy.wait_until_serving();
        proxy
    };
    let first = start("");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    for overrides in [r#","name":"n1""#, r#","listen":"127.0.0.2:0""#] {
        let mut other = start(overrides);
        assert!(
            uses(&other, &a),
            "{overrides}: it applies another proxy's disabled backend"
        );
        other.terminate();
        assert!(other.child.wait().unwrap().success());
        until("it did not log that it stopped", || {
            other.log_count("stopped") > 0
        });
        assert_eq!(
            other.log_count("another process"),
            0,
            "{overrides}: it took a different proxy for its own newer process"
        );
    }
    assert_eq!(
        first.log_count("another process"),
        0,
        "it shared its descriptors with a different proxy"
    );
    drop(first); // SIGKILL
    let next = start(r#","discovery":"127.0.0.1:10""#);
    assert!(!uses(&next, &a), "it lost its own disabled backend");
}
