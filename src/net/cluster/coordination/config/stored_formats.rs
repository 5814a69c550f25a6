//! Tests that the responses to operators' calls on the configuration keep their status and JSON.

use super::*;
use crate::fixtures::assert_lines;
use meadowproxy::fleet::config::{Change, Edit, InvalidEntry, Kind, SubmitError};
use meadowproxy::fleet::lease;

fn format_response((status, body): CallResponse) -> String {
    format!("{} {body}", status.as_u16())
}

/// Returns the name of a result in the fixture. A new error has to be named here and added to the test below.
fn name(result: &Result<u64, SubmitError>) -> &'static str {
    match result {
        Ok(_) => "taken",
        Err(SubmitError::Conflict { .. }) => "conflict",
        Err(SubmitError::Invalid(_)) => "invalid",
        Err(SubmitError::Full) => "full",
        Err(SubmitError::Busy) => "busy",
        Err(SubmitError::NoLeader) => "no holder",
        Err(SubmitError::Unknown) => "unknown",
    }
}

#[test]
fn outcomes_of_changes_keep_their_status_and_json() {
    let (shared, _effects) = SharedState::example();
    let key = "tenants.acme".to_string();
    let results = [
        Ok(1_764_748_800_124),
        Err(SubmitError::Conflict {
            key: key.clone(),
            version: 8,
        }),
        Err(SubmitError::Invalid(InvalidEntry {
            key,
            reason: "expected an object".into(),
        })),
        Err(SubmitError::Full),
        Err(SubmitError::Busy),
        Err(SubmitError::NoLeader),
        Err(SubmitError::Unknown),
    ];
    let config = shared.config.lock();
    let responses = results.map(|result| {
        (
            name(&result),
            format_response(config.outcome_response(result)),
        )
    });
    assert_lines("config-outcomes.txt", &responses);
}

fn edit(kind: Kind, name: &str, value: Value) -> Edit {
    Edit {
        key: Key {
            kind,
            name: name.into(),
        },
        value,
    }
}

fn change() -> Change {
    let route = br#"{"name":"/read/*","class":"read"}"#;
    let edits = vec![
        edit(Kind::RequestClass, "/read/*", Value::Set(route.to_vec())),
        edit(Kind::Tenant, "acme", Value::Removed),
        edit(Kind::Tenant, "größer", Value::AsFile),
    ];
    Change {
        version: 1_764_748_800_123,
        previous: 0,
        id: 1,
        edits,
    }
}

#[test]
fn entries_of_the_configuration_keep_their_json() {
    let (shared, _effects) = SharedState::example();
    let changes = Message::Changes {
        changes: vec![change()],
        version: change().version,
        push: true,
    };
    shared
        .handle_config_message(SocketAddr::from(([127, 0, 0, 1], 10)), changes)
        .unwrap();
    let responses = [
        (
            "set",
            format_response(shared.config_entry("routes", "/read/*")),
        ),
        (
            "removed",
            format_response(shared.config_entry("tenants", "acme")),
        ),
        (
            "taken back",
            format_response(shared.config_entry("tenants", "größer")),
        ),
        (
            "never changed",
            format_response(shared.config_entry("tenants", "other")),
        ),
        (
            "unknown kind",
            format_response(shared.config_entry("classes", "acme")),
        ),
    ];
    assert_lines("config-entries.txt", &responses);
}

#[test]
fn the_status_of_the_configuration_keeps_its_json() {
    let (shared, _effects) = SharedState::example();
    let mut before = shared.config_status();
    assert!(before["silent"].is_boolean());
    before["silent"] = true.into(); // depends on the clock, as below
    let from = SocketAddr::from(([127, 0, 0, 1], 10));
    let changes = Message::Changes {
        changes: vec![change()],
        version: change().version,
        push: true,
    };
    shared.handle_config_message(from, changes).unwrap();
    let token = lease::Ballot {
        number: 1_764_748_800_000,
        incarnation: 0x55aa,
    };
    shared
        .config
        .lock()
        .lease
        .admit_effect(from, token, true, &mut DutyMessages::new())
        .unwrap();
    let mut after = shared.config_status();
    assert!(after["heard_ms"].is_u64());
    after["heard_ms"] = 0.into();
    after["silent"] = true.into();
    let responses = [
        ("empty", before.to_string()),
        ("with a holder", after.to_string()),
    ];
    assert_lines("config-status.txt", &responses);
}
