//! An operator's call and the answer to it.

use bytes::Bytes;
use hyper::{Method, StatusCode};

/// A call as it arrived.
pub struct Call {
    pub method: Method,
    /// The path's segments.
    pub path: Vec<String>,
    pub body: Bytes,
}

/// The status and the body of an answer, JSON or a line of text.
pub type CallResponse = (StatusCode, String);

/// A JSON value as the body of an answer.
pub fn json_line(value: &serde_json::Value) -> String {
    format!("{value}\n")
}
