//! Changes: the log entries of the replicated configuration. Each follows one earlier version, so the committed ones form
//! one chain and a version names a state of the table.

use super::entry::{Edit, Entry, InvalidEntry};
use super::error::TableError;
use super::limits::{MAX_CHANGE_BYTES, MAX_EDITS_PER_CHANGE, VERSION_LIMIT};
use serde::{Deserialize, Serialize};

/// Bytes that a change takes in a datagram besides its edits.
const CHANGE_OVERHEAD_BYTES: usize = 28;

/// A change: one link of the chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The version of the table that it makes.
    pub version: u64,
    /// The version that it follows. One change is committed for each.
    pub previous: u64,
    /// Drawn at random by the proxy that received the operator's call.
    pub id: u64,
    /// What it sets.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The approximate size in a datagram, in bytes.
    pub fn size(&self) -> usize {
        self.edits.iter().map(Edit::size).sum::<usize>() + CHANGE_OVERHEAD_BYTES
    }

    /// The entries that it makes.
    pub fn entries(&self) -> Vec<Entry> {
        self.edits
            .iter()
            .map(|edit| Entry {
                edit: edit.clone(),
                version: self.version,
            })
            .collect()
    }

    /// Checks a change that came from another proxy.
    ///
    /// # Errors
    /// Its versions are out of order, or an edit is out of its bounds.
    pub fn check(&self) -> Result<(), TableError> {
        if self.version <= self.previous || self.version >= VERSION_LIMIT {
            return Err(TableError::InvalidVersion(self.version));
        }
        let ahead = self
            .edits
            .iter()
            .filter_map(Edit::compacted_version)
            .find(|compacted| *compacted > self.previous);
        if let Some(compacted) = ahead {
            return Err(TableError::InvalidVersion(compacted));
        }
        check_edits(&self.edits).map_err(TableError::InvalidEntry)
    }
}

/// Checks the edits of a change before it is submitted.
///
/// # Errors
/// The first edit that is out of its bounds or sets an entry twice, or too many of them.
pub fn check_edits(edits: &[Edit]) -> Result<(), InvalidEntry> {
    let invalid = |reason: String| InvalidEntry {
        key: "entries".into(),
        reason,
    };
    if edits.is_empty() || edits.len() > MAX_EDITS_PER_CHANGE {
        return Err(invalid(format!(
            "a change names 1 to {MAX_EDITS_PER_CHANGE}, not {}",
            edits.len()
        )));
    }
    edits.iter().try_for_each(Edit::check)?;
    let size: usize = edits.iter().map(Edit::size).sum();
    if size > MAX_CHANGE_BYTES {
        return Err(invalid(format!(
            "{size} bytes, over the {MAX_CHANGE_BYTES} of one change"
        )));
    }
    for (index, edit) in edits.iter().enumerate() {
        if edits[..index].iter().any(|other| other.key == edit.key) {
            return Err(edit.key.invalid("it is named twice"));
        }
    }
    Ok(())
}
