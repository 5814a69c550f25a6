//! Why the adapter ends before its input does.

use std::io;

/// A failure of the process, with the line that it happened at.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("line {number}: {source}")]
    Read {
        /// The line's number, from 1.
        number: u64,
        /// The cause.
        source: io::Error,
    },
    /// The line is no message that can be handled.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// The cause.
        source: MessageError,
    },
    /// The reply could not be written.
    #[error("reply after line {number}: {source}")]
    Write {
        /// The number of the line that it answers.
        number: u64,
        /// The cause.
        source: io::Error,
    },
}

/// Why a line cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is no JSON.
    #[error("expected a JSON array: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but no array.
    #[error("expected a JSON array")]
    NoArray,
    /// The array does not begin with a text.
    #[error("expected a message name first")]
    NoName,
    /// The simulator's wire has no message of that name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The message has more or fewer values than it should.
    #[error("{message}: expected {expected} values, got {found}")]
    ValueCount {
        /// The message's name.
        message: &'static str,
        /// How many it should have.
        expected: usize,
        /// How many it has.
        found: usize,
    },
    /// A message of a batch came before the clock.
    #[error("{message}: expected TICK first")]
    NoClock {
        /// The message's name.
        message: &'static str,
    },
    /// A value is not what it should be.
    #[error("{message}: value {index}: expected {expected}, got {found}")]
    Value {
        /// The message's name.
        message: &'static str,
        /// Which value, from 0.
        index: usize,
        /// What it should be.
        expected: &'static str,
        /// What it is, as JSON.
        found: String,
    },
    /// An entry of an endpoint list is not what it should be.
    #[error("list entry {entry}: expected {expected}")]
    EndpointListEntry {
        /// The entry as JSON.
        entry: String,
        /// What was expected of it.
        expected: &'static str,
    },
}
