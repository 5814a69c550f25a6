//! Submissions of operators' changes to the leader, and the reasons why they are rejected.

use super::entry::{Edit, InvalidEntry};
use super::limits::MAX_QUEUED;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An operator's change, as the proxy that received it sends it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// The submission's id, drawn at random by the proxy that received the operator's call.
    pub id: u64,
    /// The version that the operator's change is based on. A later change of the same entry is a conflict.
    pub base: u64,
    /// The entries to set.
    pub edits: Vec<Edit>,
}

/// Why a submission is rejected. The operator gets the text as the answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum SubmitError {
    /// An entry was changed after the version that the submission is based on.
    #[error("{key}: change {version} came in between")]
    Conflict {
        /// The entry's key.
        key: String,
        /// The version of the entry's last change.
        version: u64,
    },
    /// An entry is out of its bounds.
    #[error("{0}")]
    Invalid(#[source] InvalidEntry),
    /// The table has no room for the entries.
    #[error("the configuration's table is full")]
    Full,
    /// Too many submissions are waiting.
    #[error("{MAX_QUEUED} changes wait already")]
    Busy,
    /// No leader is known.
    #[error("no proxy holds the lease of the configuration: no majority of the voters answers")]
    NoLeader,
    /// The outcome was not known in time. The change may still be committed.
    #[error("no answer in time: the change may come into force yet")]
    Unknown,
}

impl SubmitError {
    /// Returns the HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            SubmitError::Conflict { .. } => 409,
            SubmitError::Invalid(_) => 422,
            SubmitError::Full => 507,
            SubmitError::Busy | SubmitError::NoLeader | SubmitError::Unknown => 503,
        }
    }
}
