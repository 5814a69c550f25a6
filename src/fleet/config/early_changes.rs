//! Buffers committed changes that arrived before the change that they follow.

use super::change::Change;
use super::limits::MAX_QUEUED;
use std::collections::BTreeMap;

/// The buffered changes, by the version that they follow: at most [`MAX_QUEUED`].
#[derive(Clone, Debug, Default)]
pub(super) struct EarlyChanges {
    by_previous: BTreeMap<u64, Change>,
}

impl EarlyChanges {
    /// Buffers a change until the table has the version that it follows. If the buffer is full, the latest change is
    /// dropped.
    pub(super) fn insert(&mut self, change: Change) {
        self.by_previous.insert(change.previous, change);
        if self.by_previous.len() > MAX_QUEUED {
            self.by_previous.pop_last();
        }
    }

    /// Removes and returns the change that follows this version.
    pub(super) fn remove(&mut self, previous: u64) -> Option<Change> {
        self.by_previous.remove(&previous)
    }

    /// Drops the changes that follow a version before `version`.
    pub(super) fn drop_before(&mut self, version: u64) {
        self.by_previous = self.by_previous.split_off(&version);
    }
}
