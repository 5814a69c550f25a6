//! Proxies of other names, places and deployments that share a folder: none takes what another one learned or banned.

mod rig;

use rig::snapshot_files::{files, wait_for_new};
use rig::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// Settings of which position and zone differ between the proxies of one fleet.
fn settings() -> String {
    SETTINGS
        .replace(
            r#""position":0,"group_size":1"#,
            r#""position":0,"group_size":2"#,
        )
        .replace(r#""zones":["east"]"#, r#""zones":["east","west"]"#)
}

/// Who a proxy is, before what differs; of two equal keys the last counts.
const SELF: &str = r#","discovery":"127.0.0.1:9""#;

/// A proxy that keeps snapshots there, with a `TMPDIR` of its own.
fn keeping(dir: &Path, known: &[String], settings: &str, who: &str) -> Proxy {
    let kept = format!(
        r#"{SELF}{who},"snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    Proxy::with_extra_config(known, settings, &kept, &[tmp])
}

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

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Whether it sends anything to the first backend, which is banned for one of the proxies.
fn uses(proxy: &Proxy, banned: &BackendServer) -> bool {
    let before = banned.request_count();
    for _ in 0..30 {
        assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    }
    banned.request_count() > before
}

/// A ban by hand at one proxy is in its snapshot, and a proxy of another name, at another address or of another
/// discovery that is given the same folder neither takes it nor writes over it.
#[test]
fn a_snapshot_is_for_the_proxy_that_wrote_it() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let settings = settings();
    let first = keeping(&dir, &known, &settings, "");
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
    for (n, who) in others.into_iter().enumerate() {
        let other = keeping(&dir, &known, &settings, who);
        assert!(
            other.startup_log.contains("no snapshot: cold start"),
            "{who}: {}",
            other.startup_log
        );
        assert!(uses(&other, &a), "{who}: it holds another one's ban");
        until("it keeps no file of its own", || files(&dir).len() == n + 2);
    }
    let own = keeping(&dir, &known, &settings, "");
    assert!(
        own.startup_log.contains("snapshot taken"),
        "{}",
        own.startup_log
    );
    assert!(!uses(&own, &a), "its own ban was lost");
}

/// The same proxy under another position, zone or quota, and a file under its name that another one wrote: refused.
#[test]
fn a_snapshot_from_other_settings_or_another_proxy_is_refused_by_name() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let settings = settings();
    let first = keeping(&dir, &known, &settings, "");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let own = files(&dir).remove(0);
    let bytes = std::fs::read(&own).unwrap();
    let other = create_temp_dir().join("kept");
    let second = keeping(&other, &known, &settings, r#","name":"n1""#);
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
        std::fs::write(&own, bytes).unwrap();
        let proxy = keeping(&dir, &known, &settings, "");
        let line = proxy
            .startup_log
            .lines()
            .find(|l| l.contains("snapshot refused, cold start"));
        let line = line.unwrap_or_else(|| panic!("{cause}: not refused: {}", proxy.startup_log));
        assert!(
            line.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {line}"
        );
        assert!(uses(&proxy, &a), "{cause}: it holds a ban from elsewhere");
    }
}

/// What stands where the snapshot belongs and is no file of sensible length neither stops the start nor fills the memory.
#[test]
fn what_is_no_snapshot_file_does_not_hold_up_the_start() {
    let (_a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let first = keeping(&dir, &known, &settings(), "");
    wait_for_new(&dir);
    drop(first); // SIGKILL
    let own = files(&dir).remove(0);
    let pipe = |at: &Path| {
        assert!(std::process::Command::new("mkfifo")
            .arg(at)
            .status()
            .unwrap()
            .success());
    };
    let huge = |at: &Path| std::fs::File::create(at).unwrap().set_len(1 << 40).unwrap();
    let folder = |at: &Path| std::fs::create_dir(at).unwrap();
    let cases = [
        ("unreadable", &pipe as &dyn Fn(&Path)),
        ("too_large", &huge),
        ("unreadable", &folder),
    ];
    for (cause, put) in cases {
        let _ = std::fs::remove_file(&own);
        put(&own);
        let proxy = keeping(&dir, &known, &settings(), "");
        assert!(
            proxy.startup_log.contains(&format!("cause=\"{cause}\"")),
            "{cause}: {}",
            proxy.startup_log
        );
        assert_eq!(
            proxy.request(&read_request(3.0)).status(),
            200,
            "{cause}: serves cold"
        );
    }
}

/// Discovery moves under the running proxy: its file moves along, so that the next process, told of the new address,
/// takes it, and one at the old address finds nothing.
#[test]
fn a_snapshot_follows_its_proxy_to_a_new_discovery() {
    let (a, _b, known) = backends();
    let dir = create_temp_dir().join("kept");
    let first = keeping(&dir, &known, &settings(), "");
    assert_eq!(
        first
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_for_new(&dir);
    let text = std::fs::read_to_string(&first.config_path).unwrap();
    std::fs::write(
        &first.config_path,
        text.replace("127.0.0.1:9\"", "127.0.0.1:10\""),
    )
    .unwrap();
    first.signal("-HUP");
    until("the new address was not taken", || {
        first.log_count("discovery at 127.0.0.1:10") > 0
    });
    drop(first); // SIGKILL
    let old = keeping(&dir, &known, &settings(), "");
    assert!(
        old.startup_log.contains("no snapshot: cold start"),
        "{}",
        old.startup_log
    );
    assert!(uses(&old, &a));
    drop(old);
    let new = keeping(&dir, &known, &settings(), r#","discovery":"127.0.0.1:10""#);
    assert!(
        new.startup_log.contains("snapshot taken"),
        "{}",
        new.startup_log
    );
    assert!(!uses(&new, &a), "the ban did not come along");
}

/// Proxies of another name or at another address with one `TMPDIR` are neither another process of this one nor under
/// its bans; the next process of the same proxy is under them, also where its discovery has moved.
#[test]
fn bans_and_processes_in_one_tmpdir_are_told_apart() {
    let (a, _b, known) = backends();
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    let start = |who: &str| {
        let proxy = Proxy::with_extra_config(
            &known,
            &settings(),
            &format!("{SELF}{who}"),
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
    for who in [r#","name":"n1""#, r#","listen":"127.0.0.2:0""#] {
        let mut other = start(who);
        assert!(uses(&other, &a), "{who}: it holds another one's ban");
        other.terminate();
        assert!(other.child.wait().unwrap().success());
        until("its log ends", || other.log_count("stopped") > 0);
        assert_eq!(
            other.log_count("another process"),
            0,
            "{who}: it left its clients to a stranger"
        );
    }
    assert_eq!(
        first.log_count("another process"),
        0,
        "it shared its descriptors with a stranger"
    );
    drop(first); // SIGKILL
    let next = start(r#","discovery":"127.0.0.1:10""#);
    assert!(!uses(&next, &a), "its own ban was lost");
}
