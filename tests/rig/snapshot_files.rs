//! Lists the snapshot files in a directory and waits for the proxy to write new ones.

use super::TEST_TIMEOUT;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// Returns the completed snapshot files in a directory, sorted by path. Unfinished files, which have an extension, are
/// left out.
pub fn files(dir: &Path) -> Vec<PathBuf> {
    let paths = std::fs::read_dir(dir)
        .into_iter()
        .flatten()
        .flatten()
        .map(|e| e.path());
    let mut snapshots: Vec<PathBuf> = paths.filter(|p| p.extension().is_none()).collect();
    snapshots.sort();
    snapshots
}

/// Returns the only snapshot file in a directory.
pub fn only_file(dir: &Path) -> PathBuf {
    let mut snapshots = files(dir);
    assert_eq!(
        snapshots.len(),
        1,
        "one proxy writes one snapshot file: {snapshots:?}"
    );
    snapshots.remove(0)
}

/// Waits until the directory has a snapshot file, and returns it.
pub fn wait_for_first(dir: &Path) -> PathBuf {
    let end = Instant::now() + TEST_TIMEOUT;
    while files(dir).is_empty() {
        assert!(Instant::now() < end, "no snapshot was written");
        std::thread::sleep(Duration::from_millis(5));
    }
    only_file(dir)
}

/// Waits until a snapshot that was begun after this call is complete.
///
/// The first new modification time may belong to a snapshot that was begun before the call, so it waits for a second one.
pub fn wait_for_new(dir: &Path) {
    let (called_at, end) = (SystemTime::now(), Instant::now() + TEST_TIMEOUT);
    let mut new_times = BTreeSet::new();
    while new_times.len() < 2 {
        assert!(Instant::now() < end, "no new snapshot was written");
        let times = files(dir)
            .into_iter()
            .filter_map(|p| p.metadata().ok()?.modified().ok());
        new_times.extend(times.filter(|at| *at > called_at));
        std::thread::sleep(Duration::from_millis(5));
    }
}
