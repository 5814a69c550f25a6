//! Another replica's table while it is fetched range by range: what differs from this replica's table, which stays in use
//! until the staged one is complete.

use super::change::check_edits;
use super::entry::Entry;
use super::error::TableError;
use super::limits::MAX_ENTRIES;
use super::merkle::{Digest, MerkleTree, Node, PositionRange, CHILDREN};
use super::table::Table;
use std::collections::BTreeMap;

/// The most positions staged: all entries of both tables.
const MAX_STAGED: usize = 2 * MAX_ENTRIES;

/// A table that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagedTable {
    /// The state to reach: its version never decreases.
    pub target: Digest,
    /// The entry at each position that was fetched; `None` for no entry.
    fetched: BTreeMap<u64, Option<Entry>>,
    tree: MerkleTree,
}

impl StagedTable {
    /// Starts from the table as it is.
    pub fn new(table: &Table, target: Digest) -> StagedTable {
        StagedTable {
            target,
            fetched: BTreeMap::new(),
            tree: table.tree().clone(),
        }
    }

    /// The children of a node whose hashes differ from the other replica's, the last first.
    pub fn differing_children(&self, node: Node, their_hashes: &[u64]) -> Vec<Node> {
        let mut nodes: Vec<Node> = node
            .children()
            .zip(their_hashes.iter().take(CHILDREN))
            .filter(|(child, hash)| self.tree.hash(*child) != **hash)
            .map(|(child, _)| child)
            .collect();
        nodes.reverse();
        nodes
    }

    /// Stages all entries that the other replica has in a range.
    ///
    /// # Errors
    /// An entry that is out of bounds or of that range, or too many; none of them is staged.
    pub fn stage(
        &mut self,
        table: &Table,
        range: PositionRange,
        entries: Vec<Entry>,
    ) -> Result<(), TableError> {
        let mut staged = self.checked(range, entries)?;
        if self.fetched.len() + staged.len() > MAX_STAGED {
            return Err(TableError::Full);
        }
        let own = table.range(range).map(|(position, _)| position);
        let earlier = self.fetched.range(range.first..=range.last);
        for position in own.chain(earlier.map(|(position, _)| *position)) {
            staged.entry(position).or_insert(None);
        }
        for (position, entry) in staged {
            let old = match self.fetched.get(&position) {
                Some(earlier) => earlier.as_ref(),
                None => table.get(position),
            };
            let old_hash = old.map_or(0, Entry::hash);
            let new_hash = entry.as_ref().map_or(0, Entry::hash);
            self.tree.replace(position, old_hash, new_hash);
            self.fetched.insert(position, entry);
        }
        Ok(())
    }

    /// Whether it has the target's content.
    pub fn is_complete(&self) -> bool {
        self.tree.root() == self.target.root
    }

    /// Installs it in one step and returns the entries that differ. `None`, and no change, unless it is complete and later
    /// than the table.
    pub fn install(self, table: &mut Table) -> Option<Vec<Entry>> {
        let version = self.target.version;
        if !self.is_complete() || version <= table.version() {
            return None;
        }
        Some(table.advance_to(version, self.fetched))
    }

    fn checked(
        &self,
        range: PositionRange,
        entries: Vec<Entry>,
    ) -> Result<BTreeMap<u64, Option<Entry>>, TableError> {
        let mut checked = BTreeMap::new();
        for entry in entries {
            check_edits(std::slice::from_ref(&entry.edit)).map_err(TableError::InvalidEntry)?;
            let position = entry.edit.key.position();
            if entry.version > self.target.version || !range.contains(position) {
                return Err(TableError::InvalidVersion(entry.version));
            }
            checked.insert(position, Some(entry));
        }
        Ok(checked)
    }
}
