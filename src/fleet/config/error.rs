//! Why data or a message of another proxy is rejected.

use super::entry::InvalidEntry;
use thiserror::Error;

/// Why changes or entries do not go into a table, which stays as it was.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A version that is not above the one it follows, or that no clock gives.
    #[error("invalid version {0} of the configuration")]
    InvalidVersion(u64),
    /// An entry is out of its bounds.
    #[error("invalid entry of the configuration: {0}")]
    InvalidEntry(#[source] InvalidEntry),
    /// The table is full.
    #[error("the configuration's table is full")]
    Full,
    /// The entries do not have the digest that came with them.
    #[error("the entries do not match their digest")]
    DigestMismatch,
}

/// Why a replica rejects a message. It changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Its changes or entries do not go into the table.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A voter's reply from a proxy that is no voter.
    #[error("a voter's reply from a proxy that is no voter")]
    SenderNotVoter,
    /// A message to a voter, which this proxy is not.
    #[error("a message to a voter, and this proxy is none")]
    NotVoter,
    /// A part of the table that was not requested, or not so.
    #[error("an unsolicited part of the configuration")]
    Unsolicited,
}

impl MessageError {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            // A version that does not follow the one before it, or is too high for any clock: see the sender's clock.
            MessageError::Table(TableError::InvalidVersion(_)) => "number",
            MessageError::Table(TableError::InvalidEntry(_)) => "entry",
            MessageError::Table(TableError::Full) => "full",
            // Entries that this proxy did not request, or that do not match their digest.
            MessageError::Table(TableError::DigestMismatch) | MessageError::Unsolicited => {
                "unasked"
            }
            // A voter's reply from a proxy that is no voter by this proxy's settings: the settings differ.
            MessageError::SenderNotVoter => "stranger",
            MessageError::NotVoter => "no_voter",
        }
    }
}
