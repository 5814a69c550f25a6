//! The stored format of presence files: their names and content, which processes of different versions exchange.

use super::*;
use crate::fixtures::assert_lines;

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fixtures-{name}-{}", std::process::id()))
}

/// Returns the name and the content of the only file in a folder. In the name, TIME with its number of digits stands
/// for the start time, and PROCESS for the process id.
fn only_file(dir: &Path) -> (String, String) {
    let entries: Vec<_> = std::fs::read_dir(dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    let [path] = &entries[..] else {
        panic!("{entries:?}")
    };
    let name = path.file_name().unwrap().to_string_lossy().into_owned();
    let (start, process) = name.rsplit_once('-').unwrap();
    assert_eq!(process, std::process::id().to_string());
    let (prefix, time) = start.rsplit_once('-').unwrap();
    assert!(time.bytes().all(|b| b.is_ascii_digit()));
    let pattern = format!("{prefix}-TIME{}-PROCESS", time.len());
    (pattern, std::fs::read_to_string(path).unwrap())
}

#[test]
fn presence_files_keep_their_names_and_content() {
    let dir = folder("presence");
    let presence = Presence::new(&dir).unwrap();
    let (hidden, _) = only_file(&dir);
    presence.publish().unwrap();
    presence.write_counts(ConnectionCounts {
        clients: 128,
        upstreams: 7,
    });
    let (shown, content) = only_file(&dir);
    drop(presence);
    std::fs::remove_dir_all(&dir).unwrap();
    let forms = [
        ("not yet published", hidden),
        ("published", shown),
        ("content", format!("[{content}]")),
    ];
    let stored = assert_lines("presence.txt", &forms);

    // A file as an older process wrote it is read, with the content of the fixture.
    let dir = folder("presence-read");
    let this = Presence::new(&dir).unwrap();
    this.publish().unwrap();
    let older = dir.join(
        stored[1]
            .replace("TIME20", "00000000000000000001")
            .replace("PROCESS", "9"),
    );
    std::fs::write(&older, stored[2].trim_matches(['[', ']'])).unwrap();
    let lock = File::open(&older).unwrap();
    flock(&lock, FlockOperation::NonBlockingLockExclusive).unwrap();
    let connections = ConnectionCounts {
        clients: 128,
        upstreams: 7,
    };
    assert_eq!(
        this.other_processes(),
        OtherProcesses {
            older: true,
            newer: false,
            connections
        }
    );
    drop((this, lock));
    std::fs::remove_dir_all(&dir).unwrap();
}
