//! The operators' calls on duties and windows, answered by the clock's worker.

use super::tables::Tables;
use super::wall;
use super::wire::spread_edits;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use meadowproxy::fleet::calendar::{
    parse_instant, CallError, CallOutcome, InvalidField, Spec, Version, WallTime,
};
use serde::Deserialize;
use serde_json::json;

/// A call as it came.
pub struct Call {
    pub method: Method,
    /// Its segments.
    pub path: Vec<String>,
    pub body: Bytes,
}

/// Its status and its body, JSON.
pub type Answer = (StatusCode, String);

/// The body of an extension.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Extend {
    until: String,
}

/// Carries a call out.
pub fn answer(tables: &Tables, call: &Call) -> Answer {
    let now = wall();
    let stamp = Version {
        called_at: now,
        incarnation: tables.incarnation,
    };
    let parts: Vec<&str> = call.path.iter().map(String::as_str).collect();
    let edited = match (call.method.as_str(), parts.as_slice()) {
        ("GET", ["config"]) => return (StatusCode::OK, line(&tables.config_status())),
        ("GET", ["config", kind, name]) => return tables.config_entry(kind, name),
        ("GET", ["duties"]) => return (StatusCode::OK, line(&duties(tables))),
        ("GET", ["windows"]) => {
            let windows = tables.calendar.lock().calendar.list(now);
            return (StatusCode::OK, line(&json!({ "windows": windows })));
        }
        ("PUT", ["windows", id]) => Spec::from_json(&call.body)
            .map_err(CallError::Invalid)
            .and_then(|spec| tables.calendar.lock().calendar.put(id, spec, stamp, now)),
        ("DELETE", ["windows", id]) => tables.calendar.lock().calendar.cancel(id, stamp, now),
        ("POST", ["windows", id, "extend"]) => until(&call.body)
            .map_err(CallError::Invalid)
            .and_then(|until| {
                tables
                    .calendar
                    .lock()
                    .calendar
                    .extend(id, until, stamp, now)
            }),
        ("POST", ["windows", id, "begin"]) => {
            tables.calendar.lock().calendar.start_now(id, stamp, now)
        }
        _ => {
            return (
                StatusCode::NOT_FOUND,
                line(&json!({ "field": "path", "why": "no such call" })),
            )
        }
    };
    match edited {
        Ok(put) => {
            let changed = tables.calendar.lock().calendar.take_changed();
            spread_edits(tables, changed);
            tables.derive();
            (
                StatusCode::OK,
                line(&json!({ "changed": put == CallOutcome::Changed })),
            )
        }
        Err(why) => {
            let status = StatusCode::from_u16(why.status()).unwrap_or(StatusCode::BAD_REQUEST);
            (status, line(&json!(why.invalid_field())))
        }
    }
}

fn until(body: &[u8]) -> Result<WallTime, InvalidField> {
    let read: Extend = serde_json::from_slice(body).map_err(|e| InvalidField {
        field: "until".into(),
        reason: e.to_string(),
    })?;
    parse_instant("until", &read.until)
}

fn duties(tables: &Tables) -> serde_json::Value {
    let mut status = tables.leases.lock().status();
    let (windows, out, ready) = {
        let windows = tables.calendar.lock();
        (
            windows.calendar.list(wall()).len(),
            windows.out.clone(),
            windows.covered.is_none(),
        )
    };
    let members = tables.roster.lock().members().len();
    let outbox = tables.outbox.lock();
    let more = json!({
        "windows": windows, "out": out, "ready": ready, "members": members, "sent": outbox.sent,
        "received": outbox.received, "refused": outbox.refused,
    });
    if let (Some(status), serde_json::Value::Object(more)) = (status.as_object_mut(), more) {
        status.extend(more);
    }
    status
}

pub fn line(value: &serde_json::Value) -> String {
    format!("{value}\n")
}

#[cfg(test)]
mod stored_formats;
