//! Recovery after a crash: the snapshot of what was learned, with real processes killed outright.

mod rig;

use rig::snapshot_files::{only_file, wait_for_first, wait_for_new};
use rig::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts the program with a snapshot folder and its own `TMPDIR`, as on the platform where nothing else lasts.
fn start(known: &[String], settings: &str, dir: &Path, extra: &str) -> Proxy {
    let kept = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":100{extra}}}"#,
        dir.display()
    );
    Proxy::with_extra_config(known, settings, &kept, &[tmp()])
}

/// One discovery over all starts, as a snapshot is kept for one deployment; of two keys the last counts.
const DEPLOYMENT: &str = r#","discovery":"127.0.0.1:9""#;

fn tmp() -> (&'static str, String) {
    ("TMPDIR", create_temp_dir().to_str().unwrap().into())
}

fn status(proxy: &Proxy) -> u16 {
    proxy.request(&read_request(3.0)).status()
}

fn snapshots() -> PathBuf {
    create_temp_dir().join("kept")
}

/// A ban by hand outlives a crash and a `TMPDIR` that starts empty: the snapshot brings it back, in a folder
/// named by the configuration or by `NODE_SNAPSHOT`.
#[test]
fn a_ban_outlives_a_crash_through_the_snapshot() {
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
    let named = ("NODE_SNAPSHOT", dir.to_str().unwrap().into());
    let second = Proxy::with_extra_config(&known, SETTINGS, DEPLOYMENT, &[tmp(), named]);
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
        "the banned backend got requests after the crash"
    );
}

/// Every kind of broken or unfit file is refused with its cause named, and the proxy serves from a cold start.
#[test]
fn each_unfit_snapshot_is_refused_by_name_and_the_start_is_cold() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let dir = snapshots();
    let first = start(&known, SETTINGS, &dir, "");
    for _ in 0..20 {
        assert_eq!(status(&first), 200);
    }
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let whole = only_file(&dir);
    let (name, good) = (whole.file_name().unwrap(), std::fs::read(&whole).unwrap());
    let flipped = {
        let mut bytes = good.clone();
        let at = bytes.len() / 2;
        bytes[at] ^= 0x10;
        bytes
    };
    let future = [&good[..4], &[9, 0], &good[6..]].concat();
    let other = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0");
    let cases: [(&str, Vec<u8>, &str, &str); 6] = [
        ("truncated", good[..good.len() - 3].to_vec(), SETTINGS, ""),
        ("checksum", flipped, SETTINGS, ""),
        ("magic", vec![0; good.len()], SETTINGS, ""),
        ("format", future, SETTINGS, ""),
        ("settings", good.clone(), &other, ""),
        ("stale", good.clone(), SETTINGS, r#","max_age_s":0.01"#),
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
        let line = line.unwrap_or_else(|| panic!("{cause}: no refusal in {}", proxy.startup_log));
        assert!(
            line.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {line}"
        );
        assert_eq!(status(&proxy), 200, "{cause}: serves cold");
    }
}

/// Killed outright again and again while it writes under load, each new process finds a whole snapshot, and no request
/// that may run only once reaches the backend twice.
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
        wait_for_first(&dir); // on a busy machine the very first takes its time
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
        let whole = only_file(&dir);
        let parts = std::fs::read_dir(&dir).unwrap().flatten();
        assert!(
            parts.filter(|e| e.path() != whole).count() <= 1,
            "parts pile up"
        );
    }
    for _ in 0..20 {
        assert_eq!(
            status(&proxy),
            200,
            "a warm start serves at once: {}",
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
        "{} of {all} requests came again",
        all - ids.len()
    );
}

/// Settings that changed while it ran are those that its snapshot stands under from then on.
#[test]
fn a_snapshot_after_a_reload_fits_the_settings_that_were_taken() {
    let backend = BackendServer::start(|_| ok("x"));
    let known = [entry("b0", backend.address, "SERVING")];
    let dir = snapshots();
    let first = start(&known, SETTINGS, &dir, "");
    let other = SETTINGS.replace("\"quota_rps\":500.0", "\"quota_rps\":400.0");
    let text = std::fs::read_to_string(&first.config_path)
        .unwrap()
        .replace(SETTINGS, &other);
    std::fs::write(&first.config_path, text).unwrap();
    first.signal("-HUP");
    let begun = std::time::Instant::now();
    while first.log_count("configuration taken") == 0 {
        assert!(begun.elapsed() < TEST_TIMEOUT, "never taken");
        std::thread::sleep(Duration::from_millis(20));
    }
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let second = start(&known, &other, &dir, "");
    assert!(
        second.startup_log.contains("snapshot taken"),
        "{}",
        second.startup_log
    );
}

/// The operators' yes outlives a crash right after it, with nothing but the snapshot: it is written with each ban and
/// each end of one, not only from time to time.
#[test]
fn what_operators_were_told_outlives_a_crash_in_the_next_moment() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let dir = snapshots();
    let seldom = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":3600000}}"#,
        dir.display()
    );
    let start = || Proxy::with_extra_config(&known, SETTINGS, &seldom, &[tmp()]);
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
        "the ban was forgotten"
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
        "the ban came back"
    );
}

/// The folder in `TMPDIR` is newer than a snapshot that was written before a ban ended: the ban stays over.
#[test]
fn a_ban_that_is_over_does_not_come_back_with_an_older_snapshot() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (dir, tmp) = (snapshots(), tmp());
    let kept = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":3600000}}"#,
        dir.display()
    );
    let start = || Proxy::with_extra_config(&known, SETTINGS, &kept, std::slice::from_ref(&tmp));
    let mut first = start();
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    first.terminate(); // which writes
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
        "the ban came back"
    );
}

/// A ban that two processes of one proxy have from a snapshot, with a `TMPDIR` that knows nothing of it, is over at both
/// once operators end it at one.
#[test]
fn a_ban_from_a_snapshot_ends_at_both_processes() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (dir, late) = (snapshots(), tmp());
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    let passed = (
        "NODE_SOCKET_FD",
        std::os::fd::AsRawFd::as_raw_fd(&socket).to_string(),
    );
    let kept = format!(
        r#"{DEPLOYMENT},"snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let start = |tmp: &(&'static str, String)| {
        let proxy =
            Proxy::with_extra_config(&known, SETTINGS, &kept, &[tmp.clone(), passed.clone()]);
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
    let (old, new) = (start(&late), start(&late));
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
            "the other process was not told"
        );
        assert_eq!(status(&new), 200);
    }
}
