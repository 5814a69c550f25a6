//! The table of a replica: its entries, the Merkle tree over them, and the log of the last changes.

use super::change::Change;
use super::entry::{Edit, Entry, Key, Value};
use super::error::TableError;
use super::limits::{MAX_ENTRIES, MAX_LOG_BYTES, MAX_LOG_CHANGES, MAX_TABLE_BYTES, VERSION_LIMIT};
use super::merkle::{Digest, MerkleTree, Node, PositionRange};
use std::collections::{BTreeMap, VecDeque};

/// The outcome of applying a change to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was applied.
    Applied,
    /// The table already has the change's version or a later one.
    AlreadyApplied,
    /// The change does not follow the table's version, so changes in between are missing.
    Gap,
}

/// One replica's table. Changes are applied completely or not at all, and the version only increases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Table {
    version: u64,
    entries: BTreeMap<u64, Entry>,
    bytes: usize,
    tree: MerkleTree,
    log: VecDeque<Change>,
    log_bytes: usize,
}

impl Table {
    /// Creates a table with the entries of a snapshot, the digest's version and an empty log.
    ///
    /// # Errors
    /// The entries are invalid or do not match the digest.
    pub fn restore(digest: Digest, entries: Vec<Entry>) -> Result<Table, TableError> {
        if digest.version >= VERSION_LIMIT {
            return Err(TableError::InvalidVersion(digest.version));
        }
        let mut table = Table {
            version: digest.version,
            ..Table::default()
        };
        for entry in entries {
            entry.edit.check().map_err(TableError::InvalidEntry)?;
            let position = entry.edit.key.position();
            let valid = entry.version > 0
                && entry.version <= digest.version
                && !table.entries.contains_key(&position);
            if !valid {
                return Err(TableError::InvalidVersion(entry.version));
            }
            table.check_capacity(std::slice::from_ref(&entry.edit))?;
            table.put(position, Some(entry));
        }
        if table.digest() == digest {
            Ok(table)
        } else {
            Err(TableError::DigestMismatch)
        }
    }

    /// Returns the table's version and root hash.
    pub fn digest(&self) -> Digest {
        Digest {
            version: self.version,
            root: self.tree.root(),
        }
    }

    /// Returns the version of the last change, 0 if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of entries, including tombstones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the version up to which changes are only in the platform's files, 0 if the table was never compacted.
    pub fn compacted_version(&self) -> u64 {
        self.get(Key::compaction().position())
            .and_then(|entry| entry.edit.compacted_version())
            .unwrap_or_default()
    }

    /// Returns the entry at a position.
    pub fn get(&self, position: u64) -> Option<&Entry> {
        self.entries.get(&position)
    }

    /// Iterates over the entries of a range in the order of their positions. An invalid range has no entries.
    pub fn range(&self, range: PositionRange) -> impl Iterator<Item = (u64, &Entry)> {
        range
            .is_valid()
            .then(|| self.entries.range(range.first..=range.last))
            .into_iter()
            .flatten()
            .map(|(position, entry)| (*position, entry))
    }

    /// Returns the changes after a version, in order; `None` if the log does not reach back so far or never had that
    /// version.
    pub fn changes_since(&self, version: u64) -> Option<impl Iterator<Item = &Change>> {
        if version == self.version {
            return Some(self.log.range(self.log.len()..));
        }
        let start = self
            .log
            .binary_search_by_key(&version, |change| change.previous)
            .ok()?;
        Some(self.log.range(start..))
    }

    /// Checks that the edits can be applied within the table's limits.
    ///
    /// # Errors
    /// Returns [`TableError::Full`] if they cannot.
    pub fn check_capacity(&self, edits: &[Edit]) -> Result<(), TableError> {
        let new = edits
            .iter()
            .filter(|edit| !self.entries.contains_key(&edit.key.position()))
            .count();
        let bytes: usize = edits.iter().map(Edit::size).sum();
        if self.entries.len() + new > MAX_ENTRIES || self.bytes + bytes > MAX_TABLE_BYTES {
            Err(TableError::Full)
        } else {
            Ok(())
        }
    }

    /// Applies a committed change, if it is the next one.
    ///
    /// # Errors
    /// The versions or entries of the change are out of bounds. The table is unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<ApplyOutcome, TableError> {
        change.check()?;
        if change.version <= self.version {
            return Ok(ApplyOutcome::AlreadyApplied);
        }
        if change.previous != self.version {
            return Ok(ApplyOutcome::Gap);
        }
        for entry in change.entries() {
            self.put(entry.edit.key.position(), Some(entry));
        }
        if let Some(compacted) = change.edits.iter().find_map(Edit::compacted_version) {
            self.compact(compacted);
        }
        self.version = change.version;
        self.append_to_log(change.clone());
        Ok(ApplyOutcome::Applied)
    }

    /// Returns the hashes of the children of a [valid](Node::is_valid) node.
    pub fn child_hashes(&self, node: Node) -> Vec<u64> {
        node.children().map(|child| self.tree.hash(child)).collect()
    }

    pub(super) fn tree(&self) -> &MerkleTree {
        &self.tree
    }

    /// Goes to a later version in one step. `staged` has the entries at the positions that may differ, or `None` where
    /// there is none. Returns the entries that differed.
    pub(super) fn advance_to(
        &mut self,
        version: u64,
        staged: BTreeMap<u64, Option<Entry>>,
    ) -> Vec<Entry> {
        let mut differing = Vec::new();
        let mut removed = Vec::new();
        for (position, entry) in staged {
            let old = self.get(position);
            if old == entry.as_ref() {
                continue;
            }
            match (&entry, old) {
                (Some(entry), _) => differing.push(entry.clone()),
                (None, Some(old)) => removed.push(old.clone()),
                (None, None) => {}
            }
            self.put(position, entry);
        }
        // Removed entries up to the compacted version are in the files. Later ones belong to a chain that the fleet lost.
        let compacted = self.compacted_version();
        let lost = removed.into_iter().filter(|old| old.version > compacted);
        differing.extend(lost.map(|old| Entry {
            edit: Edit {
                key: old.edit.key,
                value: Value::AsFile,
            },
            version,
        }));
        self.version = version;
        self.log.clear();
        self.log_bytes = 0;
        differing
    }

    /// Drops the entries up to the compacted version.
    fn compact(&mut self, compacted: u64) {
        let dropped: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.version <= compacted)
            .map(|(position, _)| *position)
            .collect();
        for position in dropped {
            self.put(position, None);
        }
    }

    fn append_to_log(&mut self, change: Change) {
        self.log_bytes += change.size();
        self.log.push_back(change);
        while self.log.len() > MAX_LOG_CHANGES || self.log_bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.log.pop_front() else {
                break;
            };
            self.log_bytes -= oldest.size();
        }
    }

    fn put(&mut self, position: u64, entry: Option<Entry>) {
        let new_hash = entry.as_ref().map_or(0, Entry::hash);
        self.bytes += entry.as_ref().map_or(0, |entry| entry.edit.size());
        let old = match entry {
            Some(entry) => self.entries.insert(position, entry),
            None => self.entries.remove(&position),
        };
        self.bytes -= old.as_ref().map_or(0, |old| old.edit.size());
        let old_hash = old.as_ref().map_or(0, Entry::hash);
        self.tree.replace(position, old_hash, new_hash);
    }
}
