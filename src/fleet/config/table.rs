//! A replica's table: the entries, the Merkle tree over them, and the log of the last changes.

use super::change::Change;
use super::entry::{Edit, Entry, Key, Value};
use super::error::TableError;
use super::limits::{MAX_ENTRIES, MAX_LOG_BYTES, MAX_LOG_CHANGES, MAX_TABLE_BYTES, VERSION_LIMIT};
use super::merkle::{Digest, MerkleTree, Node, PositionRange};
use std::collections::{BTreeMap, VecDeque};

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is applied.
    Applied,
    /// The table had this version or a later one.
    AlreadyApplied,
    /// It does not follow the table's version: changes in between are missing.
    Gap,
}

/// One replica's table. It goes from version to version, each change completely, and only upwards.
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
    /// The table of a snapshot: these entries at that version and with that root, without a log.
    ///
    /// # Errors
    /// The entries are invalid or do not have that digest.
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

    /// Version and root.
    pub fn digest(&self) -> Digest {
        Digest {
            version: self.version,
            root: self.tree.root(),
        }
    }

    /// The version of the last change, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes up to this version are only in the platform's files, 0 where all are here.
    pub fn compacted_version(&self) -> u64 {
        self.get(Key::compaction().position())
            .and_then(|entry| entry.edit.compacted_version())
            .unwrap_or_default()
    }

    /// The entry at a position.
    pub fn get(&self, position: u64) -> Option<&Entry> {
        self.entries.get(&position)
    }

    /// The entries of a range, by position; none where the range is invalid.
    pub fn range(&self, range: PositionRange) -> impl Iterator<Item = (u64, &Entry)> {
        range
            .is_valid()
            .then(|| self.entries.range(range.first..=range.last))
            .into_iter()
            .flatten()
            .map(|(position, entry)| (*position, entry))
    }

    /// The changes after a version, in order; `None` where the log does not reach back so far, or never had that version.
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

    /// Checks that these entries can be set without exceeding the bounds.
    ///
    /// # Errors
    /// [`TableError::Full`].
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

    /// Applies a committed change, if it is the next.
    ///
    /// # Errors
    /// Its versions or entries are out of bounds; the table stays as it was.
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

    /// The hashes of a valid node's children.
    pub fn child_hashes(&self, node: Node) -> Vec<u64> {
        node.children().map(|child| self.tree.hash(child)).collect()
    }

    pub(super) fn tree(&self) -> &MerkleTree {
        &self.tree
    }

    /// Goes to a later version in one step, by the entries at the positions that may differ; `None` for no entry. Returns
    /// the entries that did.
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
        // A removed entry was compacted into the files; a later one is of a chain that the fleet lost.
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

    /// Drops the entries that all files contain.
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
