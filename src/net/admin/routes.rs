//! The operators' calls: which paths and methods there are, and how the parts of a target are decoded.

use hyper::Method;
use std::borrow::Cow;
use thiserror::Error;

/// First segments of the calls that a [`FleetAdmin`](super::FleetAdmin) answers.
const FLEET_CALLS: [&str; 3] = ["/windows", "/duties", "/config"];

/// Why the query of a call names no backend.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum QueryError {
    #[error("who is missing")]
    Missing,
    #[error("who stands twice")]
    Repeated,
    #[error("who is empty")]
    Empty,
    #[error("who is badly encoded")]
    Encoding,
}

/// The methods that a path takes; none where there is no such call.
pub fn allowed_methods(path: &str) -> &'static [Method] {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments[..] {
        ["status" | "peers" | "metrics" | "windows" | "duties"] => &[Method::GET],
        ["config"] => &[Method::GET, Method::PUT],
        ["config", "file"] => &[Method::PUT],
        ["config", "routes" | "tenants", name] if !name.is_empty() => {
            &[Method::GET, Method::PUT, Method::DELETE]
        }
        ["config", "routes" | "tenants", name, "override"] if !name.is_empty() => &[Method::DELETE],
        ["maintenance", "enter" | "exit"] => &[Method::PUT],
        ["windows", id] if !id.is_empty() => &[Method::PUT, Method::DELETE],
        ["windows", id, "extend" | "begin"] if !id.is_empty() => &[Method::POST],
        _ => &[],
    }
}

/// Whether a call is about the fleet rather than this process.
pub fn is_fleet_call(path: &str) -> bool {
    FLEET_CALLS.iter().any(|call| path.starts_with(call))
}

/// The decoded segments of a path; `None` where one is badly encoded.
pub fn decode_path(path: &str) -> Option<Vec<String>> {
    path.split('/').skip(1).map(percent_decode).collect()
}

/// The backend's id: the one `who` of a query, decoded.
pub fn backend_id(query: Option<&str>) -> Result<String, QueryError> {
    let pairs = query
        .unwrap_or_default()
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let mut ids = pairs.filter(|(name, _)| *name == "who").map(|(_, id)| id);
    let id = ids.next().ok_or(QueryError::Missing)?;
    if ids.next().is_some() {
        return Err(QueryError::Repeated);
    }
    if id.is_empty() {
        return Err(QueryError::Empty);
    }
    percent_decode(&id.replace('+', " ")).ok_or(QueryError::Encoding)
}

/// Percent-decoding that refuses incomplete escapes: the crate would leave a `%zz` as it stands.
fn percent_decode(text: &str) -> Option<String> {
    let starts_with_hex = |rest: &str| {
        let digits = rest.bytes().take(2).filter(u8::is_ascii_hexdigit);
        digits.count() == 2
    };
    if !text.split('%').skip(1).all(starts_with_hex) {
        return None;
    }
    let decoded = percent_encoding::percent_decode_str(text).decode_utf8();
    decoded.ok().map(Cow::into_owned)
}

#[cfg(test)]
mod tests;
