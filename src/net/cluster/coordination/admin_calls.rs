//! Operators' calls on duties, maintenance windows and the configuration, which the timer worker handles with
//! [`handle_call`]. Calls that change the configuration are parsed in `config_change`.

use super::call::{json_line, Call, CallResponse};
use super::clocks::wall_now;
use super::shared_state::SharedState;
use hyper::StatusCode;
use meadowproxy::fleet::calendar::{
    parse_instant, CallError, CallOutcome, InvalidField, Spec, Version, WallTime,
};
use serde::Deserialize;
use serde_json::json;

/// The body of a call that extends a window.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Extension {
    until: String,
}

/// Handles a call and returns the response.
pub fn handle_call(shared: &SharedState, call: &Call) -> CallResponse {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    match (call.method.as_str(), path.as_slice()) {
        ("GET", ["config"]) => ok(&shared.config_status()),
        ("GET", ["config", kind, name]) => shared.config_entry(kind, name),
        ("GET", ["duties"]) => ok(&duties_status(shared)),
        ("GET", ["windows"]) => {
            let windows = shared.maintenance.lock().calendar.list(wall_now());
            ok(&json!({ "windows": windows }))
        }
        (method, ["windows", id, action @ ..]) => {
            match change_window(shared, method, id, action, call) {
                Some(changed) => respond_to_change(shared, changed),
                None => no_such_call(),
            }
        }
        _ => no_such_call(),
    }
}

/// Handles a call that changes a window. Returns `None` if there is no such call.
fn change_window(
    shared: &SharedState,
    method: &str,
    id: &str,
    action: &[&str],
    call: &Call,
) -> Option<Result<CallOutcome, CallError>> {
    let now = wall_now();
    let version = Version {
        called_at: now,
        incarnation: shared.incarnation,
    };
    let changed = match (method, action) {
        ("PUT", []) => Spec::from_json(&call.body)
            .map_err(CallError::Invalid)
            .and_then(|spec| {
                shared
                    .maintenance
                    .lock()
                    .calendar
                    .put(id, spec, version, now)
            }),
        ("DELETE", []) => shared.maintenance.lock().calendar.cancel(id, version, now),
        ("POST", ["extend"]) => parse_extension_end(&call.body)
            .map_err(CallError::Invalid)
            .and_then(|until| {
                let calendar = &mut shared.maintenance.lock().calendar;
                calendar.extend(id, until, version, now)
            }),
        ("POST", ["begin"]) => shared
            .maintenance
            .lock()
            .calendar
            .start_now(id, version, now),
        _ => return None,
    };
    Some(changed)
}

/// Announces the changed windows and formats the response, or formats the error.
fn respond_to_change(
    shared: &SharedState,
    changed: Result<CallOutcome, CallError>,
) -> CallResponse {
    match changed {
        Ok(outcome) => {
            let windows = shared.maintenance.lock().calendar.take_changed();
            shared.announce_windows(&windows, None);
            shared.update_maintenance();
            ok(&json!({ "changed": outcome == CallOutcome::Changed }))
        }
        Err(error) => {
            let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
            (status, json_line(&json!(error.invalid_field())))
        }
    }
}

fn ok(value: &serde_json::Value) -> CallResponse {
    (StatusCode::OK, json_line(value))
}

fn no_such_call() -> CallResponse {
    let body = json!({ "field": "path", "why": "no such call" });
    (StatusCode::NOT_FOUND, json_line(&body))
}

/// Parses the end of a window from the body of a call that extends it.
fn parse_extension_end(body: &[u8]) -> Result<WallTime, InvalidField> {
    let body: Extension = serde_json::from_slice(body).map_err(|error| InvalidField {
        field: "until".into(),
        reason: error.to_string(),
    })?;
    parse_instant("until", &body.until)
}

/// Returns the status of the calendar duty. The JSON keys are part of the admin interface.
fn duties_status(shared: &SharedState) -> serde_json::Value {
    let mut status = shared.calendar_lease.lock().status();
    let (windows, in_maintenance, ready) = {
        let maintenance = shared.maintenance.lock();
        (
            maintenance.calendar.list(wall_now()).len(),
            maintenance.in_maintenance.clone(),
            maintenance.has_caught_up(),
        )
    };
    let members = shared.fleet_view.lock().members().len();
    let effect_queue = shared.effect_queue.lock();
    let details = json!({
        "windows": windows, "out": in_maintenance, "ready": ready, "members": members, "sent": effect_queue.sent,
        "received": effect_queue.received, "refused": effect_queue.rejected,
    });
    if let (Some(status), serde_json::Value::Object(details)) = (status.as_object_mut(), details) {
        status.extend(details);
    }
    status
}

#[cfg(test)]
mod stored_formats;
