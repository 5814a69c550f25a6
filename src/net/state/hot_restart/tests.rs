//! Presence files of two processes in one folder.

use super::*;

/// Each process sees the other as older or newer by its start time, but only while the other is published and runs.
#[test]
fn processes_detect_each_other_while_both_run() {
    let dir = std::env::temp_dir().join(format!("meadowproxy-presence-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let old = Presence::new(&dir).unwrap();
    old.publish().unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2));
    let young = Presence::new(&dir).unwrap();
    assert_eq!(
        old.other_processes(),
        OtherProcesses::default(),
        "an unpublished process was detected"
    );
    assert_eq!(
        young.other_processes(),
        OtherProcesses {
            older: true,
            ..OtherProcesses::default()
        }
    );
    young.publish().unwrap();
    assert_eq!(
        old.other_processes(),
        OtherProcesses {
            newer: true,
            ..OtherProcesses::default()
        }
    );
    let held = ConnectionCounts {
        clients: 128,
        upstreams: 7,
    };
    young.write_counts(held);
    assert_eq!(old.other_processes().connections, held);
    std::fs::write(
        dir.join(format!("{FILE_NAME_PREFIX}00000000000000000001-9")),
        "",
    )
    .unwrap();
    assert!(
        !old.other_processes().older,
        "a file without a lock was taken for a running process"
    );
    drop(old);
    assert_eq!(young.other_processes(), OtherProcesses::default());
    drop(young);
    std::fs::remove_dir_all(dir).unwrap();
}
