//! Snapshots on a disk that hangs: a pipe stands where the next one is to be written, so that whoever opens it waits
//! until the test opens its other end.

mod rig;

use rig::snapshot_files::{wait_for_first, wait_for_new};
use rig::*;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// A proxy that writes ten times a second, and is held as it opens the next file: its folder, and the pipe.
fn held(known: &[String]) -> (Proxy, PathBuf, PathBuf) {
    let dir = create_temp_dir().join("kept");
    let kept = format!(
        r#","snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    let proxy = Proxy::with_extra_config(known, SETTINGS, &kept, &[tmp]);
    let name = wait_for_first(&dir)
        .file_name()
        .unwrap()
        .to_str()
        .unwrap()
        .to_string();
    let pipe = dir.join(format!("{name}.{}.part", proxy.child.id()));
    let end = Instant::now() + TEST_TIMEOUT;
    while !made(&pipe) {
        assert!(Instant::now() < end, "one is being written all the time");
    }
    (proxy, dir, pipe)
}

/// Fails while a file stands there.
fn made(pipe: &Path) -> bool {
    Command::new("mkfifo")
        .arg(pipe)
        .output()
        .unwrap()
        .status
        .success()
}

/// Waits until it has said that the disk took too long.
fn told(proxy: &Proxy) {
    let end = Instant::now() + TEST_TIMEOUT;
    while proxy.log_count("snapshot_late") == 0 {
        assert!(Instant::now() < end, "the disk did not hang");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// While the disk hangs, requests are served and the operators are answered, who hear in the log that it is late. Once
/// it goes on, snapshots do.
#[test]
fn a_disk_that_hangs_holds_up_no_request() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (proxy, dir, pipe) = held(&known);
    let before = wait_for_first(&dir).metadata().unwrap().modified().unwrap();
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    told(&proxy);
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    assert_eq!(
        wait_for_first(&dir).metadata().unwrap().modified().unwrap(),
        before,
        "the disk did not hang"
    );
    let other_end = File::open(&pipe).unwrap();
    std::fs::remove_file(&pipe).unwrap();
    wait_for_new(&dir);
    drop(other_end);
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/exit?who=b0")
            .status(),
        200
    );
}

/// Told to end while the disk hangs, it ends all the same.
#[test]
fn an_end_waits_for_a_disk_that_hangs_no_longer_than_stated() {
    let backend = BackendServer::start(|_| ok("x"));
    let (mut proxy, _dir, _pipe) = held(&[entry("b0", backend.address, "SERVING")]);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    proxy.terminate();
    let end = Instant::now() + TEST_TIMEOUT;
    let status = loop {
        if let Some(status) = proxy.child.try_wait().unwrap() {
            break status;
        }
        assert!(Instant::now() < end, "it waits for the disk for ever");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
    told(&proxy);
}
