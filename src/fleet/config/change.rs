//! Changes: the log entries of the replicated configuration. Each change names the version that it follows, so committed
//! changes form one chain, and a version identifies one state of the table.

use super::entry::{Edit, Entry, InvalidEntry};
use super::error::TableError;
use super::limits::{MAX_CHANGE_BYTES, MAX_EDITS_PER_CHANGE, VERSION_LIMIT};
use serde::{Deserialize, Serialize};

/// The approximate size of a change in a datagram without its edits, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 28;

/// A set of edits that are committed and applied together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The version of the table after this change.
    pub version: u64,
    /// The version of the table before this change. Only one change is committed after each version.
    pub previous: u64,
    /// The id of the submission, drawn at random by the proxy that received the operator's call.
    pub id: u64,
    /// The entries that the change sets.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Returns the approximate size in a datagram, in bytes.
    pub fn size(&self) -> usize {
        self.edits.iter().map(Edit::size).sum::<usize>() + CHANGE_OVERHEAD_BYTES
    }

    /// Returns the table entries that result from this change.
    pub fn entries(&self) -> Vec<Entry> {
        self.edits
            .iter()
            .map(|edit| Entry {
                edit: edit.clone(),
                version: self.version,
            })
            .collect()
    }

    /// Checks a change from another proxy.
    ///
    /// # Errors
    /// The versions are out of order, or an edit is out of its bounds.
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
/// There are no edits or more than [`MAX_EDITS_PER_CHANGE`], they exceed `MAX_CHANGE_BYTES` together, or one of them is
/// out of its bounds or sets the same entry as another.
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
            "{size} bytes, over the limit of {MAX_CHANGE_BYTES} bytes per change"
        )));
    }
    for (index, edit) in edits.iter().enumerate() {
        if edits[..index].iter().any(|other| other.key == edit.key) {
            return Err(edit
                .key
                .invalid("the change sets this entry more than once"));
        }
    }
    Ok(())
}
