//! The bodies of operators' calls on the configuration, and the answers to those that are wrong.

use super::*;
use crate::fixtures::assert_lines;
use crate::net::cluster::coordination::admin_calls;
use crate::net::cluster::coordination::shared_state::SharedState;
use bytes::Bytes;

fn text((status, body): CallResponse) -> String {
    format!("{} {body}", status.as_u16())
}

fn show(parsed: Result<ConfigChange, CallError>) -> String {
    match parsed {
        Ok(change) => {
            let edits: Vec<String> = change.edits.iter().map(shown).collect();
            format!("{} {}", change.base, edits.join(" "))
        }
        Err(error) => text(error.response()),
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
        ("several", show(parse_entries(several.as_bytes()))),
        ("several wrong ones", show(parse_entries(wrong.as_bytes()))),
        ("one", show(parse_set(one, "tenants", "t"))),
        (
            "one without value",
            show(parse_set(br#"{"version":7}"#, "tenants", "t")),
        ),
        (
            "removed",
            show(parse_remove(br#"{"version":7}"#, "tenants", "t")),
        ),
        (
            "removed with a value",
            show(parse_remove(one, "tenants", "t")),
        ),
        (
            "taken back",
            show(parse_revert(br#"{"version":7}"#, "routes", "/a")),
        ),
        (
            "unknown key",
            show(parse_revert(br#"{"version":7,"value":1}"#, "routes", "/a")),
        ),
        ("no JSON", show(parse_entries(b"no"))),
        (
            "two texts",
            show(parse_entries(br#"{"version":7,"entries":[]} 1"#)),
        ),
        (
            "no entries",
            show(parse_entries(br#"{"version":7,"entries":[]}"#)),
        ),
    ];
    assert_lines("config-bodies.txt", &forms);
}

/// How a change says that files contain others, as operators send it.
#[test]
fn the_body_on_a_files_version_is_read_the_same() {
    let of = |body: &str| {
        serde_json::from_str::<CompactBody>(body)
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
    let (shared, _told) = SharedState::example();
    let answer = admin_calls::handle_call(&shared, &call(&["config", "tenants", "x"]));
    assert_eq!(answer, shared.config_entry("tenants", "x"));
}
