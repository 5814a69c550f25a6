//! Folders of snapshots, as the tests look into them.

use super::TEST_TIMEOUT;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

/// The snapshots in a folder, without what is being written.
pub fn files(dir: &Path) -> Vec<PathBuf> {
    let all = std::fs::read_dir(dir)
        .into_iter()
        .flatten()
        .flatten()
        .map(|e| e.path());
    let mut whole: Vec<PathBuf> = all.filter(|p| p.extension().is_none()).collect();
    whole.sort();
    whole
}

/// The one that it holds.
pub fn only_file(dir: &Path) -> PathBuf {
    let mut whole = files(dir);
    assert_eq!(whole.len(), 1, "one proxy, one file: {whole:?}");
    whole.remove(0)
}

/// Waits until there is one.
pub fn wait_for_first(dir: &Path) -> PathBuf {
    let end = Instant::now() + TEST_TIMEOUT;
    while files(dir).is_empty() {
        assert!(Instant::now() < end, "no snapshot was written");
        std::thread::sleep(Duration::from_millis(5));
    }
    only_file(dir)
}

/// Waits until a snapshot was begun after this moment and is whole.
pub fn wait_for_new(dir: &Path) {
    let (asked, end) = (SystemTime::now(), Instant::now() + TEST_TIMEOUT);
    let mut changes = BTreeSet::new();
    while changes.len() < 2 {
        assert!(Instant::now() < end, "no snapshot was written");
        let times = files(dir)
            .into_iter()
            .filter_map(|p| p.metadata().ok()?.modified().ok());
        changes.extend(times.filter(|at| *at > asked));
        std::thread::sleep(Duration::from_millis(5));
    }
}
