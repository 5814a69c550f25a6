//! Errors that end the adapter before its input ends: [`AdapterError`] locates the failure by its line,
//! [`MessageError`] says what is wrong with a message.

use std::io;

/// A failure that ends the process, with the number of the input line at which it occurred.
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
    /// The line is not a message that can be handled.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// The cause.
        source: MessageError,
    },
    /// The reply to a batch could not be written.
    #[error("cannot write the reply after line {number}: {source}")]
    Write {
        /// The number of the batch's last line, from 1.
        number: u64,
        /// The cause.
        source: io::Error,
    },
}

/// Why a line cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("expected a JSON array: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is JSON, but not an array.
    #[error("expected a JSON array, got another JSON value")]
    NoArray,
    /// The array's first value is not a string.
    #[error("expected a message name as the array's first value")]
    NoName,
    /// The simulator's protocol has no message of that name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// The message has more or fewer values than its kind requires.
    #[error("{message}: expected {expected} values, got {found}")]
    ValueCount {
        /// The message's name.
        message: &'static str,
        /// The required number of values.
        expected: usize,
        /// The actual number of values.
        found: usize,
    },
    /// The message came outside a batch, which a `TICK` starts.
    #[error("{message}: expected TICK first")]
    NoClock {
        /// The message's name.
        message: &'static str,
    },
    /// A value of a message is invalid.
    #[error("{message}: value {index}: expected {expected}, got {found}")]
    Value {
        /// The message's name.
        message: &'static str,
        /// The value's index, from 0 for the value after the name.
        index: usize,
        /// Description of a valid value.
        expected: &'static str,
        /// The actual value as JSON.
        found: String,
    },
    /// An entry of an endpoint list is invalid.
    #[error("list entry {entry}: expected {expected}")]
    EndpointListEntry {
        /// The entry as JSON.
        entry: String,
        /// Description of the expected value.
        expected: &'static str,
    },
}
