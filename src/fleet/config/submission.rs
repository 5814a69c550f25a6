//! An operator's change on its way to the leader, and why it may be rejected.

use super::entry::{Edit, InvalidEntry};
use super::limits::MAX_QUEUED;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An operator's change, as a proxy sends it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// Drawn at random by the proxy that received the call.
    pub id: u64,
    /// The version that the operator made the change from: a later change of the same entry is a conflict.
    pub base: u64,
    /// What it sets.
    pub edits: Vec<Edit>,
}

/// Why a submission is rejected. The texts are the operator's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum SubmitError {
    /// An entry was changed after the version that this change was made from.
    #[error("{key}: change {version} came in between")]
    Conflict {
        /// The entry's key.
        key: String,
        /// The version of its last change.
        version: u64,
    },
    /// An entry is out of its bounds.
    #[error("{0}")]
    Invalid(#[source] InvalidEntry),
    /// The table is full.
    #[error("the configuration's table is full")]
    Full,
    /// Too many submissions wait.
    #[error("{MAX_QUEUED} changes wait already")]
    Busy,
    /// No proxy is known to be the leader.
    #[error("no proxy holds the duty: no majority of the voters answers")]
    NoLeader,
    /// No outcome came in time: the change may still be committed.
    #[error("no answer in time: the change may come into force yet")]
    Unknown,
}

impl SubmitError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            SubmitError::Conflict { .. } => 409,
            SubmitError::Invalid(_) => 422,
            SubmitError::Full => 507,
            SubmitError::Busy | SubmitError::NoLeader | SubmitError::Unknown => 503,
        }
    }
}
