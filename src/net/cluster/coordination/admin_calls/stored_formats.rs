//! Tests that the responses to operators' calls on duties and windows keep their status and JSON.

use super::super::duty_lease::DutyMessages;
use super::*;
use crate::fixtures::assert_lines;
use bytes::Bytes;
use meadowproxy::fleet::lease::Ballot;
use std::net::SocketAddr;

fn call(shared: &SharedState, call: &str, body: &str) -> String {
    let (method, path) = call.split_once(" /").unwrap();
    let path = path.split('/').map(String::from).collect();
    let method = method.parse().unwrap();
    let (status, text) = handle_call(
        shared,
        &Call {
            method,
            path,
            body: Bytes::from(body.to_string()),
        },
    );
    format!("{} {text}", status.as_u16())
}

const WINDOW: &str =
    r#"{"ids":["a"],"begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"ops"}"#;
const OTHER_WINDOW: &str =
    r#"{"zone":"e","begin":"2099-01-01T00:00:00Z","end":"2099-01-01T01:00:00Z","by":"ops"}"#;

#[test]
fn calls_on_windows_keep_their_responses() {
    let (shared, _effects) = SharedState::example();
    let calls = [
        ("none yet", "GET /windows", ""),
        ("put", "PUT /windows/w", WINDOW),
        ("put again", "PUT /windows/w", WINDOW),
        ("put another", "PUT /windows/w", OTHER_WINDOW),
        ("put garbage", "PUT /windows/x", "{"),
        ("listed", "GET /windows", ""),
        (
            "extend",
            "POST /windows/w/extend",
            r#"{"until":"2099-01-01T02:00:00Z"}"#,
        ),
        (
            "extend to before its end",
            "POST /windows/w/extend",
            r#"{"until":"2099-01-01T01:30:00Z"}"#,
        ),
        ("extend without until", "POST /windows/w/extend", "{}"),
        (
            "extend to no time",
            "POST /windows/w/extend",
            r#"{"until":"soon"}"#,
        ),
        ("extended", "GET /windows", ""),
        ("cancel", "DELETE /windows/w", ""),
        ("cancel again", "DELETE /windows/w", ""),
        ("begin what is cancelled", "POST /windows/w/begin", ""),
        ("cancel an unknown one", "DELETE /windows/y", ""),
        ("cancelled", "GET /windows", ""),
        ("no such call", "GET /nothing", ""),
    ];
    let responses = calls.map(|(name, request, body)| (name, call(&shared, request, body)));
    assert_lines("window-calls.txt", &responses);
}

/// The response to `GET /duties` with fixed values for the fields that depend on the clock.
fn duties_without_clock(shared: &SharedState) -> String {
    let mut status = duties_status(shared);
    if status["heard_ms"].is_u64() {
        status["heard_ms"] = 0.into();
    }
    assert!(status["silent"].is_boolean());
    status["silent"] = true.into();
    status.to_string()
}

#[test]
fn the_status_of_duties_keeps_its_json() {
    let (shared, _effects) = SharedState::example();
    let before = duties_without_clock(&shared);
    assert!(call(&shared, "GET /duties", "").starts_with("200 {"));
    call(&shared, "PUT /windows/w", WINDOW);
    shared.maintenance.lock().in_maintenance.insert("a".into());
    let from = SocketAddr::from(([127, 0, 0, 1], 10));
    let token = Ballot {
        number: 1_764_748_800_000,
        incarnation: 0x55aa,
    };
    shared
        .calendar_lease
        .lock()
        .admit_effect(from, token, true, &mut DutyMessages::new())
        .unwrap();
    shared.effect_queue.lock().rejected.insert("token", 3);
    let responses = [
        ("at the start", before),
        ("with a holder", duties_without_clock(&shared)),
    ];
    assert_lines("duties-status.txt", &responses);
}
