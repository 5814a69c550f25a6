//! Tests of snapshots on a disk that hangs. The test puts a named pipe at the path of the next snapshot's unfinished
//! file, so that the proxy's thread blocks in opening it until the test opens the other end.

mod rig;

use rig::snapshot_files::{wait_for_first, wait_for_new};
use rig::*;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// Starts a proxy that writes a snapshot every 100 ms, and blocks it at opening the next one. Returns the proxy, the
/// snapshot directory and the path of the pipe.
fn start_blocked(known: &[String]) -> (Proxy, PathBuf, PathBuf) {
    let dir = create_temp_dir().join("kept");
    let snapshot_config = format!(
        r#","snapshot":{{"dir":"{}","every_ms":100}}"#,
        dir.display()
    );
    let tmp = ("TMPDIR", create_temp_dir().to_str().unwrap().to_string());
    let proxy = Proxy::with_extra_config(known, SETTINGS, &snapshot_config, &[tmp]);
    let name = wait_for_first(&dir)
        .file_name()
        .unwrap()
        .to_str()
        .unwrap()
        .to_string();
    let pipe = dir.join(format!("{name}.{}.part", proxy.child.id()));
    let end = Instant::now() + TEST_TIMEOUT;
    while !create_pipe(&pipe) {
        assert!(
            Instant::now() < end,
            "an unfinished snapshot file always stood in the pipe's place"
        );
    }
    (proxy, dir, pipe)
}

/// Creates a named pipe, and returns whether that succeeded. It fails while a file exists at the path.
fn create_pipe(pipe: &Path) -> bool {
    Command::new("mkfifo")
        .arg(pipe)
        .output()
        .unwrap()
        .status
        .success()
}

/// Waits until the proxy has logged that a snapshot is late.
fn wait_until_late(proxy: &Proxy) {
    let end = Instant::now() + TEST_TIMEOUT;
    while proxy.log_count("snapshot_late") == 0 {
        assert!(Instant::now() < end, "no snapshot_late was logged");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// While the disk hangs, requests and control requests are answered, and the log says that the snapshot is late. Once the
/// disk works again, snapshots are written again.
#[test]
fn a_disk_that_hangs_delays_no_request() {
    let (a, b) = (
        BackendServer::start(|_| ok("a")),
        BackendServer::start(|_| ok("b")),
    );
    let known = [
        entry("b0", a.address, "SERVING"),
        entry("b1", b.address, "SERVING"),
    ];
    let (proxy, dir, pipe) = start_blocked(&known);
    let before = wait_for_first(&dir).metadata().unwrap().modified().unwrap();
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/enter?who=b0")
            .status(),
        200
    );
    wait_until_late(&proxy);
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(client.request(&read_request(3.0)).status(), 200);
    }
    assert_eq!(
        wait_for_first(&dir).metadata().unwrap().modified().unwrap(),
        before,
        "a snapshot was written while the disk hung"
    );
    let reading_end = File::open(&pipe).unwrap();
    std::fs::remove_file(&pipe).unwrap();
    wait_for_new(&dir);
    drop(reading_end);
    assert_eq!(
        proxy
            .control_request("PUT /maintenance/exit?who=b0")
            .status(),
        200
    );
}

/// A proxy that is ended by SIGTERM while the disk hangs exits successfully, without waiting until the disk works
/// again.
#[test]
fn shutdown_waits_only_briefly_for_a_disk_that_hangs() {
    let backend = BackendServer::start(|_| ok("x"));
    let (mut proxy, _dir, _pipe) = start_blocked(&[entry("b0", backend.address, "SERVING")]);
    assert_eq!(proxy.request(&read_request(3.0)).status(), 200);
    proxy.terminate();
    let end = Instant::now() + TEST_TIMEOUT;
    let status = loop {
        if let Some(status) = proxy.child.try_wait().unwrap() {
            break status;
        }
        assert!(
            Instant::now() < end,
            "the proxy did not exit while the disk hung"
        );
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success());
    wait_until_late(&proxy);
}
