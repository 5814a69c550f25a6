//! An operator's call on the admin interface, and the response to it.

use bytes::Bytes;
use hyper::{Method, StatusCode};

/// A call as received.
pub struct Call {
    pub method: Method,
    /// Segments of the path.
    pub path: Vec<String>,
    pub body: Bytes,
}

/// Status and body of the response to a call; the body is JSON or a line of text.
pub type CallResponse = (StatusCode, String);

/// Formats a JSON value as the body of a response.
pub fn json_line(value: &serde_json::Value) -> String {
    format!("{value}\n")
}
