//! Stages another replica's table while it is fetched range by range. It holds the fetched positions, as differences from
//! this replica's own table, which stays in use until the staged one is complete.

use super::change::check_edits;
use super::entry::Entry;
use super::error::TableError;
use super::limits::MAX_ENTRIES;
use super::merkle::{Digest, MerkleTree, Node, PositionRange, CHILDREN};
use super::table::Table;
use std::collections::BTreeMap;

/// The maximum number of positions that are staged, enough for all entries of both tables.
const MAX_STAGED: usize = 2 * MAX_ENTRIES;

/// A table that is being fetched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagedTable {
    /// The digest of the table to fetch. Its version never decreases.
    pub target: Digest,
    /// The entry at each fetched position, or `None` if there is none.
    fetched: BTreeMap<u64, Option<Entry>>,
    tree: MerkleTree,
}

impl StagedTable {
    /// Creates a staged table that is equal to `table`, to reach the state `target`.
    pub fn new(table: &Table, target: Digest) -> StagedTable {
        StagedTable {
            target,
            fetched: BTreeMap::new(),
            tree: table.tree().clone(),
        }
    }

    /// Returns the children of a node whose hashes differ from the other replica's, in reverse order.
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
    /// An entry is invalid or outside of the range, or there are too many. None of the entries is staged.
    pub fn stage(
        &mut self,
        table: &Table,
        range: PositionRange,
        entries: Vec<Entry>,
    ) -> Result<(), TableError> {
        let mut staged = self.check_entries(range, entries)?;
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

    /// Returns whether the staged table has the content of the target.
    pub fn is_complete(&self) -> bool {
        self.tree.root() == self.target.root
    }

    /// Installs the staged table in one step and returns the entries that differ. Returns `None`, and changes nothing,
    /// unless the staged table is complete and has a later version than `table`.
    pub fn install(self, table: &mut Table) -> Option<Vec<Entry>> {
        let version = self.target.version;
        if !self.is_complete() || version <= table.version() {
            return None;
        }
        Some(table.advance_to(version, self.fetched))
    }

    fn check_entries(
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
