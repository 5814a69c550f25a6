//! The paths and methods of the admin API's calls, and the decoding of request targets.

use hyper::Method;
use std::borrow::Cow;
use thiserror::Error;

/// Prefixes of the paths whose calls a [`FleetAdmin`](super::FleetAdmin) handles.
const FLEET_CALL_PREFIXES: [&str; 3] = ["/windows", "/duties", "/config"];

/// Reasons for which the query of a call does not name a backend. The key of the query is `who`.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum QueryError {
    #[error("who is missing")]
    Missing,
    #[error("who is given more than once")]
    Repeated,
    #[error("who is empty")]
    Empty,
    #[error("who is not valid percent-encoded UTF-8")]
    Encoding,
}

/// Returns the methods that are allowed on a path, or none if the path does not exist.
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

/// Returns whether a call is about the fleet rather than this process.
pub fn is_fleet_call(path: &str) -> bool {
    FLEET_CALL_PREFIXES
        .iter()
        .any(|prefix| path.starts_with(prefix))
}

/// Returns the decoded segments of a path, or `None` if one is not valid percent-encoded UTF-8.
pub fn decode_path(path: &str) -> Option<Vec<String>> {
    path.split('/').skip(1).map(percent_decode).collect()
}

/// Returns the decoded id of a backend from the query, which must contain the key `who` exactly once.
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

/// Decodes a percent-encoded text. Returns `None` for invalid escapes such as `%zz`, which the crate
/// `percent_encoding` leaves unchanged, and for invalid UTF-8.
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
