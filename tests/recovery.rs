//! Tests of recovery after a crash, with real processes killed by SIGKILL: a new process restores the state that the proxy
//! learned, and which backends operators disabled, from a snapshot file.

mod rig;

use rig::snapshot_files::{only_file, wait_for_first, wait_for_new};
use rig::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts a proxy that writes snapshots to `dir` every 100 ms. Its `TMPDIR` is new, so that only the snapshots are kept.
/// `extra` is added to the snapshot settings.
fn start(known: &[String], settings: &str, dir: &Path, extra: &str) -> Proxy {
    let snapshot_config = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":100{extra}}}"#,
        dir.display()
    );
    Proxy::with_extra_config(known, settings, &snapshot_config, &[tmp()])
}

/// Sets the same discovery address for all starts, as a snapshot is valid for one deployment only. Of duplicate keys the
/// last one counts.
const DEPLOYMENT: &str = r#","discovery":"127.0.0.1:9""#;

/// Returns a new `TMPDIR`.
fn tmp() -> (&'static str, String) {
    ("TMPDIR", create_temp_dir().to_str().unwrap().into())
}

/// Returns the status of a request.
fn status(proxy: &Proxy) -> u16 {
    proxy.request(&read_request(3.0)).status()
}

/// Returns the path of a snapshot directory that does not exist yet.
fn snapshots() -> PathBuf {
    create_temp_dir().join("kept")
}

/// A backend that an operator disabled stays disabled after a crash and with a new `TMPDIR`: the snapshot restores it,
/// from a directory set by the configuration or by `NODE_SNAPSHOT`.
#[test]
fn a_disabled_backend_stays_disabled_after_a_crash() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let dir = snapshots();
    let first = start(&known, SETTINGS, &dir, "");
    assert!(
        first.startup_log.contains("no snapshot: cold start"),
        "{}",
        first.startup_log
    );
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let snapshot_dir = ("NODE_SNAPSHOT", dir.to_str().unwrap().into());
    let second = Proxy::with_extra_config(&known, SETTINGS, DEPLOYMENT, &[tmp(), snapshot_dir]);
    assert!(
        second.startup_log.contains("snapshot taken"),
        "{}",
        second.startup_log
    );
    let before = a.request_count();
    for _ in 0..30 {
        assert_eq!(status(&second), 200);
    }
    assert_eq!(
        a.request_count(),
        before,
        "the disabled backend got requests after the crash"
    );
}

/// Each kind of damaged or unsuitable snapshot is rejected with its cause, and the proxy serves requests after a cold start.
#[test]
fn each_unusable_snapshot_is_rejected_with_its_cause_and_the_start_is_cold() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let dir = snapshots();
    let first = start(&known, SETTINGS, &dir, "");
    for _ in 0..20 {
        assert_eq!(status(&first), 200);
    }
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let snapshot = only_file(&dir);
    let (name, valid) = (
        snapshot.file_name().unwrap(),
        std::fs::read(&snapshot).unwrap(),
    );
    let flipped = {
        let mut bytes = valid.clone();
        let at = bytes.len() / 2;
        bytes[at] ^= 0x10;
        bytes
    };
    let future = [&valid[..4], &[9, 0], &valid[6..]].concat();
    let other_settings = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0");
    let cases: [(&str, Vec<u8>, &str, &str); 6] = [
        ("truncated", valid[..valid.len() - 3].to_vec(), SETTINGS, ""),
        ("checksum", flipped, SETTINGS, ""),
        ("magic", vec![0; valid.len()], SETTINGS, ""),
        ("format", future, SETTINGS, ""),
        ("settings", valid.clone(), &other_settings, ""),
        ("stale", valid.clone(), SETTINGS, r#","max_age_s":0.01"#),
    ];
    for (cause, bytes, settings, extra) in cases {
        let dir = snapshots();
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join(name), bytes).unwrap();
        let proxy = start(&known, settings, &dir, extra);
        let line = proxy
            .startup_log
            .lines()
            .find(|l| l.contains("snapshot refused, cold start"));
        let line = line
            .unwrap_or_else(|| panic!("{cause}: no rejected snapshot in {}", proxy.startup_log));
        assert!(
            line.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {line}"
        );
        assert_eq!(
            status(&proxy),
            200,
            "{cause}: no response 200 after a cold start"
        );
    }
}

/// A proxy is killed again and again while it writes snapshots under load: each new process finds a complete snapshot,
/// and no payment reaches the backend twice.
#[test]
fn kill_9_in_a_loop_under_load_never_leaves_a_torn_snapshot() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let dir = snapshots();
    let mut seed = 0x9e37_79b9_u32;
    let mut proxy = start(&known, SETTINGS, &dir, "");
    for round in 0..8 {
        let (at, busy) = (proxy.address, Arc::new(AtomicBool::new(true)));
        let load = {
            let busy = busy.clone();
            std::thread::spawn(move || {
                while busy.load(Ordering::SeqCst) {
                    let Ok(mut tcp) = TcpStream::connect(at) else {
                        return;
                    };
                    let _ = tcp.set_read_timeout(Some(Duration::from_secs(1)));
                    let _ = tcp.write_all(pay_request(3.0).as_bytes());
                    let _ = Message::read(&mut BufReader::new(tcp));
                }
            })
        };
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        wait_for_first(&dir); // on a busy machine the first snapshot may be late
        std::thread::sleep(Duration::from_millis(150 + u64::from(seed >> 24)));
        drop(proxy); // SIGKILL
        busy.store(false, Ordering::SeqCst);
        load.join().unwrap();
        proxy = start(&known, SETTINGS, &dir, "");
        assert!(
            proxy.startup_log.contains("snapshot taken"),
            "round {round}: {}",
            proxy.startup_log
        );
        let snapshot = only_file(&dir);
        let files = std::fs::read_dir(&dir).unwrap().flatten();
        assert!(
            files.filter(|e| e.path() != snapshot).count() <= 1,
            "unfinished snapshot files accumulate"
        );
    }
    for _ in 0..20 {
        assert_eq!(
            status(&proxy),
            200,
            "not served at once after a warm start: {}",
            proxy.startup_log
        );
    }
    let ids = backend.events.try_iter().filter_map(|seen| match seen {
        Event::Request(message) => message.header("x-correlation-id").map(String::from),
        _ => None,
    });
    let mut ids: Vec<String> = ids.collect();
    let all = ids.len();
    ids.sort();
    ids.dedup();
    assert!(
        all > 100 && ids.len() == all,
        "{} of {all} requests were repeated",
        all - ids.len()
    );
}

/// After a reload with other settings, snapshots are written for the new settings: a process that starts with these restores
/// them.
#[test]
fn a_snapshot_after_a_reload_is_valid_for_the_new_settings() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let dir = snapshots();
    let first = start(&known, SETTINGS, &dir, "");
    let other_settings = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0");
    let text = std::fs::read_to_string(&first.config_path)
        .unwrap()
        .replace(SETTINGS, &other_settings);
    std::fs::write(&first.config_path, text).unwrap();
    first.signal("-HUP");
    let begun = std::time::Instant::now();
    while first.log_count("configuration taken") == 0 {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "the new configuration was not applied"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let second = start(&known, &other_settings, &dir, "");
    assert!(
        second.startup_log.contains("snapshot taken"),
        "{}",
        second.startup_log
    );
}

/// A response that a backend was disabled or enabled is still true after a crash right after it, with nothing but the
/// snapshot: one is written at each such change, not only at intervals.
#[test]
fn disabling_and_enabling_survive_a_crash_right_after_the_response() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let dir = snapshots();
    let snapshot_config = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":3600000}}"#,
        dir.display()
    );
    let start = || Proxy::with_extra_config(&known, SETTINGS, &snapshot_config, &[tmp()]);
    let first = start();
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    drop(first); // SIGKILL
    let second = start();
    let before = a.request_count();
    assert!(
        (0..30).all(|_| status(&second) == 200) && a.request_count() == before,
        "the disabled backend was enabled by the crash"
    );
    assert_eq!(
        second
            .control_request("PUT /maintenance/exit?who=b0")
            .status(),
        200
    );
    drop(second); // SIGKILL
    let third = start();
    assert!(
        (0..60).all(|_| status(&third) == 200) && a.request_count() > before,
        "the enabled backend was disabled by the crash"
    );
}

/// A backend stays enabled although a snapshot from before it was enabled is restored: the state in `TMPDIR` is newer.
#[test]
fn an_enabled_backend_is_not_disabled_by_an_older_snapshot() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (dir, tmp) = (snapshots(), tmp());
    let snapshot_config = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":3600000}}"#,
        dir.display()
    );
    let start = || {
        Proxy::with_extra_config(
            &known,
            SETTINGS,
            &snapshot_config,
            std::slice::from_ref(&tmp),
        )
    };
    let mut first = start();
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    first.terminate(); // writes a snapshot
    assert!(first.child.wait().unwrap().success());
    let before = std::fs::read(only_file(&dir)).unwrap();
    let second = start();
    assert_eq!(
        second
            .control_request("PUT /maintenance/exit?who=b0")
            .status(),
        200
    );
    drop(second); // SIGKILL
    std::fs::write(only_file(&dir), before).unwrap();
    let third = start();
    assert!(
        third.startup_log.contains("snapshot taken"),
        "{}",
        third.startup_log
    );
    assert!(
        (0..60).all(|_| status(&third) == 200) && a.request_count() > 0,
        "the older snapshot disabled the enabled backend"
    );
}

/// Two processes of one proxy have a disabled backend from a snapshot, while their common `TMPDIR` does not list it. When
/// operators enable it at one process, it is enabled at both.
#[test]
fn a_backend_disabled_by_a_snapshot_is_enabled_at_both_processes() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (dir, shared_tmp) = (snapshots(), tmp());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    let socket_fd = (
        "NODE_SOCKET_FD",
        std::os::fd::AsRawFd::as_raw_fd(&socket).to_string(),
    );
    let snapshot_config = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let start = |tmp: &(&'static str, String)| {
        let proxy = Proxy::with_extra_config(
            &known,
            SETTINGS,
            &snapshot_config,
            &[tmp.clone(), socket_fd.clone()],
        );
        proxy.wait_until_serving();
        proxy
    };
    let mut first = start(&tmp());
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    first.terminate();
    assert!(first.child.wait().unwrap().success());
    let (old, new) = (start(&shared_tmp), start(&shared_tmp));
    for proxy in [&old, &new] {
        assert!(
            proxy.startup_log.contains("snapshot taken"),
            "{}",
            proxy.startup_log
        );
    }
    assert_eq!(
        old.control_request("PUT /maintenance/exit?who=b0").status(),
        200
    );
    drop(old);
    let end = std::time::Instant::now() + Duration::from_secs(5);
    while a.request_count() == 0 {
        assert!(
            std::time::Instant::now() < end,
            "the backend was not enabled at the other process"
        );
        assert_eq!(status(&new), 200);
    }
}
