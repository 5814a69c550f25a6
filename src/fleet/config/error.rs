//! The errors for changes, entries and messages from other proxies that are rejected.

use super::entry::InvalidEntry;
use super::limits::{MAX_ENTRIES, MAX_TABLE_BYTES};
use thiserror::Error;

/// Why a table rejects changes or entries. The table is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The version is not above the one that it follows, or not below [`VERSION_LIMIT`](super::VERSION_LIMIT).
    #[error("invalid configuration version {0}")]
    InvalidVersion(u64),
    /// An entry is out of its bounds.
    #[error("invalid configuration entry {0}")]
    InvalidEntry(#[source] InvalidEntry),
    /// The table has no room for the entries.
    #[error("the configuration table is full: the limits are {MAX_ENTRIES} entries and {MAX_TABLE_BYTES} bytes")]
    Full,
    /// The entries do not match the digest that came with them.
    #[error("the entries do not match their digest")]
    DigestMismatch,
}

/// Why a replica rejects a message. The replica is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The table rejects the changes or entries in the message.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The message is a voter's reply, but its sender is not a voter.
    #[error("a voter's reply from a proxy that is not a voter")]
    SenderNotVoter,
    /// The message is for a voter, but this proxy is not a voter.
    #[error("a message for a voter, but this proxy is not a voter")]
    NotVoter,
    /// The message names an invalid node or range, or is a reply that this replica did not request.
    #[error("invalid or unsolicited message about a part of the configuration table")]
    Unsolicited,
}

impl MessageError {
    /// Returns a stable name of the error for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            // The version is out of order or above the limit: check the sender's clock.
            MessageError::Table(TableError::InvalidVersion(_)) => "number",
            MessageError::Table(TableError::InvalidEntry(_)) => "entry",
            MessageError::Table(TableError::Full) => "full",
            // This proxy did not request the entries, or they do not match their digest.
            MessageError::Table(TableError::DigestMismatch) | MessageError::Unsolicited => {
                "unasked"
            }
            // By this proxy's settings the sender is not a voter: the settings of the two proxies differ.
            MessageError::SenderNotVoter => "stranger",
            MessageError::NotVoter => "no_voter",
        }
    }
}
