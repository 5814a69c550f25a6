//! Tests that the bodies of operators' calls on the configuration are parsed as before, and that invalid ones get the
//! same responses.

use super::*;
use crate::fixtures::assert_lines;
use crate::net::cluster::coordination::admin_calls;
use crate::net::cluster::coordination::shared_state::SharedState;
use bytes::Bytes;

fn format_response((status, body): CallResponse) -> String {
    format!("{} {body}", status.as_u16())
}

/// Formats a parsed change, or the response to an invalid one.
fn format_parsed(parsed: Result<ConfigChange, CallError>) -> String {
    match parsed {
        Ok(change) => {
            let edits: Vec<String> = change.edits.iter().map(format_edit).collect();
            format!("{} {}", change.base, edits.join(" "))
        }
        Err(error) => format_response(error.response()),
    }
}

/// Formats an edit as its key in the operators' notation and the stored bytes of its value.
fn format_edit(edit: &Edit) -> String {
    let value = match &edit.value {
        Value::Set(bytes) => format!("set {}", String::from_utf8_lossy(bytes)),
        Value::Removed => "removed".into(),
        Value::AsFile => "as the file".into(),
    };
    format!("[{}: {value}]", edit.key)
}

#[test]
fn bodies_of_changes_are_parsed_as_before() {
    let several = r#"{"version":7,"entries":[{"kind":"routes","name":"/a","value":{"name":"/a","z":1,"b":2}},
        {"kind":"tenants","name":"t"},{"kind":"tenants","name":"u","as_file":true}]}"#;
    let invalid = r#"{"version":7,"entries":[{"kind":"classes","name":"a"},{"kind":"tenants","name":""},
        {"kind":"tenants","name":"t","as_file":true,"value":{}},{"kind":"routes","name":"r","value":3},
        {"kind":"routes","name":"r","value":{"name":"s"}}]}"#;
    let one = br#"{"version":7,"value":{"name":"t","quota_per_s":5.5}}"#;
    let results = [
        ("several", format_parsed(parse_entries(several.as_bytes()))),
        (
            "several wrong ones",
            format_parsed(parse_entries(invalid.as_bytes())),
        ),
        ("one", format_parsed(parse_set(one, "tenants", "t"))),
        (
            "one without value",
            format_parsed(parse_set(br#"{"version":7}"#, "tenants", "t")),
        ),
        (
            "removed",
            format_parsed(parse_remove(br#"{"version":7}"#, "tenants", "t")),
        ),
        (
            "removed with a value",
            format_parsed(parse_remove(one, "tenants", "t")),
        ),
        (
            "taken back",
            format_parsed(parse_revert(br#"{"version":7}"#, "routes", "/a")),
        ),
        (
            "unknown key",
            format_parsed(parse_revert(br#"{"version":7,"value":1}"#, "routes", "/a")),
        ),
        ("no JSON", format_parsed(parse_entries(b"no"))),
        (
            "two texts",
            format_parsed(parse_entries(br#"{"version":7,"entries":[]} 1"#)),
        ),
        (
            "no entries",
            format_parsed(parse_entries(br#"{"version":7,"entries":[]}"#)),
        ),
    ];
    assert_lines("config-bodies.txt", &results);
}

/// The body of the call that declares which changes the configuration files contain, and the call that reads one entry.
#[test]
fn the_body_on_a_files_version_is_parsed_as_before() {
    let parse = |body: &str| {
        serde_json::from_str::<CompactBody>(body)
            .map(|body| (body.version, body.contains))
            .ok()
    };
    assert_eq!(parse(r#"{"version":9,"contains":5}"#), Some((9, 5)));
    assert_eq!(parse(r#"{"version":9}"#), None);
    let call = |path: &[&str]| Call {
        method: Method::GET,
        path: path.iter().map(ToString::to_string).collect(),
        body: Bytes::new(),
    };
    let (shared, _effects) = SharedState::example();
    let response = admin_calls::handle_call(&shared, &call(&["config", "tenants", "x"]));
    assert_eq!(response, shared.config_entry("tenants", "x"));
}
