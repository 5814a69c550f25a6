//! Committed changes that arrived before the change that they follow.

use super::change::Change;
use super::limits::MAX_QUEUED;
use std::collections::BTreeMap;

/// Early changes, by the version that they follow.
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyChanges {
    by_previous: BTreeMap<u64, Change>,
}

impl EarlyChanges {
    /// Keeps a change until the table is at the version that it follows. Where there are too many the last one goes.
    pub(super) fn insert(&mut self, change: Change) {
        self.by_previous.insert(change.previous, change);
        if self.by_previous.len() > MAX_QUEUED {
            self.by_previous.pop_last();
        }
    }

    /// Removes the change that follows this version.
    pub(super) fn remove(&mut self, previous: u64) -> Option<Change> {
        self.by_previous.remove(&previous)
    }

    /// Drops the changes that the table is past.
    pub(super) fn drop_before(&mut self, version: u64) {
        self.by_previous = self.by_previous.split_off(&version);
    }
}
