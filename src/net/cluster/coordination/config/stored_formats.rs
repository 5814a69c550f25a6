//! The answers to operators' calls on the configuration: status and JSON.

use super::*;
use crate::fixtures::assert_lines;
use bytes::Bytes;
use meadowproxy::fleet::config::{Change, Invalid};

fn text((status, body): Answer) -> String {
    format!("{} {body}", status.as_u16())
}

/// A result's name; whoever adds a reason has to name it here and to give one below.
fn name(result: &Result<u64, Rejected>) -> &'static str {
    match result {
        Ok(_) => "taken",
        Err(Rejected::Conflict { .. }) => "conflict",
        Err(Rejected::Invalid(_)) => "invalid",
        Err(Rejected::Full) => "full",
        Err(Rejected::Busy) => "busy",
        Err(Rejected::NoHolder) => "no holder",
        Err(Rejected::Unknown) => "unknown",
    }
}

#[test]
fn outcomes_of_changes_keep_their_status_and_json() {
    let (tables, _told) = Tables::example();
    let key = "tenants.acme".to_string();
    let results = [
        Ok(1_764_748_800_124),
        Err(Rejected::Conflict {
            key: key.clone(),
            number: 8,
        }),
        Err(Rejected::Invalid(Invalid {
            key,
            why: "expected an object".into(),
        })),
        Err(Rejected::Full),
        Err(Rejected::Busy),
        Err(Rejected::NoHolder),
        Err(Rejected::Unknown),
    ];
    let config = tables.config.lock();
    let forms = results.map(|result| (name(&result), text(config.outcome(result))));
    assert_lines("config-outcomes.txt", &forms);
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
        edit(Kind::Route, "/read/*", Value::Set(route.to_vec())),
        edit(Kind::Tenant, "acme", Value::Removed),
        edit(Kind::Tenant, "größer", Value::AsFile),
    ];
    Change {
        number: 1_764_748_800_123,
        after: 0,
        id: 1,
        edits,
    }
}

#[test]
fn entries_of_the_configuration_keep_their_json() {
    let (tables, _told) = Tables::example();
    let changes = Message::Changes {
        changes: vec![change()],
        version: change().number,
        push: true,
    };
    tables
        .configured(SocketAddr::from(([127, 0, 0, 1], 10)), changes)
        .unwrap();
    let forms = [
        ("set", text(tables.config_entry("routes", "/read/*"))),
        ("removed", text(tables.config_entry("tenants", "acme"))),
        ("taken back", text(tables.config_entry("tenants", "größer"))),
        (
            "never changed",
            text(tables.config_entry("tenants", "other")),
        ),
        ("unknown kind", text(tables.config_entry("classes", "acme"))),
    ];
    assert_lines("config-entries.txt", &forms);
}

#[test]
fn the_state_of_the_configuration_keeps_its_json() {
    let (tables, _told) = Tables::example();
    let mut before = tables.config_status();
    assert!(before["silent"].is_boolean());
    before["silent"] = true.into(); // by the clock, as below
    let from = SocketAddr::from(([127, 0, 0, 1], 10));
    let changes = Message::Changes {
        changes: vec![change()],
        version: change().number,
        push: true,
    };
    tables.configured(from, changes).unwrap();
    let token = lease::Ballot {
        number: 1_764_748_800_000,
        incarnation: 0x55aa,
    };
    tables
        .config
        .lock()
        .leases
        .admit_effect(from, token, true, &mut Outgoing::new())
        .unwrap();
    let mut after = tables.config_status();
    assert!(after["heard_ms"].is_u64());
    after["heard_ms"] = 0.into();
    after["silent"] = true.into();
    let forms = [
        ("empty", before.to_string()),
        ("with a holder", after.to_string()),
    ];
    assert_lines("config-status.txt", &forms);
}

fn show(read: Result<(u64, Vec<Edit>), Answer>) -> String {
    match read {
        Ok((base, edits)) => {
            let edits: Vec<String> = edits.iter().map(shown).collect();
            format!("{base} {}", edits.join(" "))
        }
        Err(answer) => text(answer),
    }
}

/// The key as the operators know it, and the value's bytes as they are kept.
fn shown(edit: &Edit) -> String {
    let value = match &edit.value {
        Value::Set(bytes) => format!("set {}", String::from_utf8_lossy(bytes)),
        Value::Removed => "removed".into(),
        Value::AsFile => "as the file".into(),
    };
    format!("[{}: {value}]", edit.key)
}

#[test]
fn bodies_of_changes_are_read_the_same() {
    let several = r#"{"version":7,"entries":[{"kind":"routes","name":"/a","value":{"name":"/a","z":1,"b":2}},
        {"kind":"tenants","name":"t"},{"kind":"tenants","name":"u","as_file":true}]}"#;
    let wrong = r#"{"version":7,"entries":[{"kind":"classes","name":"a"},{"kind":"tenants","name":""},
        {"kind":"tenants","name":"t","as_file":true,"value":{}},{"kind":"routes","name":"r","value":3},
        {"kind":"routes","name":"r","value":{"name":"s"}}]}"#;
    let one = br#"{"version":7,"value":{"name":"t","quota_per_s":5.5}}"#;
    let forms = [
        ("several", show(read(several.as_bytes()))),
        ("several wrong ones", show(read(wrong.as_bytes()))),
        ("one", show(read_one(one, "tenants", "t", false))),
        (
            "one without value",
            show(read_one(br#"{"version":7}"#, "tenants", "t", false)),
        ),
        (
            "removed",
            show(read_one(br#"{"version":7}"#, "tenants", "t", true)),
        ),
        (
            "removed with a value",
            show(read_one(one, "tenants", "t", true)),
        ),
        (
            "taken back",
            show(read_override(br#"{"version":7}"#, "routes", "/a")),
        ),
        (
            "unknown key",
            show(read_override(br#"{"version":7,"value":1}"#, "routes", "/a")),
        ),
        ("no JSON", show(read(b"no"))),
        ("two texts", show(read(br#"{"version":7,"entries":[]} 1"#))),
        ("no entries", show(read(br#"{"version":7,"entries":[]}"#))),
    ];
    assert_lines("config-bodies.txt", &forms);
}

/// How a change says that files contain others, as operators send it.
#[test]
fn the_body_on_a_files_version_is_read_the_same() {
    let of = |body: &str| {
        serde_json::from_str::<Contained>(body)
            .map(|c| (c.version, c.contains))
            .ok()
    };
    assert_eq!(of(r#"{"version":9,"contains":5}"#), Some((9, 5)));
    assert_eq!(of(r#"{"version":9}"#), None);
    let call = |path: &[&str]| Call {
        method: Method::GET,
        path: path.iter().map(ToString::to_string).collect(),
        body: Bytes::new(),
    };
    let (tables, _told) = Tables::example();
    let answer = super::super::admin_calls::answer(&tables, &call(&["config", "tenants", "x"]));
    assert_eq!(answer, tables.config_entry("tenants", "x"));
}
