//! Parses operators' calls that change the configuration with [`parse_change`], and validates them against the settings
//! in force at this proxy. The texts of its errors are returned to the operator.

use super::call::{json_line, Call, CallResponse};
use crate::net::config::fleet_overrides::{FleetOverrides, InvalidEntries};
use hyper::{Method, StatusCode};
use meadowproxy::fleet::config::{check_edits, Edit, InvalidEntry, Key, Kind, Value};
use serde::Deserialize;
use serde_json::json;
use thiserror::Error;

/// A change of the configuration requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Version of the configuration on which the change is based.
    pub base: u64,
    pub edits: Vec<Edit>,
}

/// An error in one field of a call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct FieldError {
    pub field: String,
    pub reason: String,
}

impl FieldError {
    fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError {
            field: field.into(),
            reason: reason.into(),
        }
    }

    /// Splits an error text at the first colon into field and reason. A text without a colon concerns the entries.
    fn from_text(text: &str) -> FieldError {
        match text.split_once(": ") {
            Some((field, reason)) => FieldError::new(field, reason),
            None => FieldError::new("entries", text),
        }
    }

    fn json(&self) -> serde_json::Value {
        json!({ "field": self.field, "why": self.reason })
    }
}

impl From<InvalidEntry> for FieldError {
    fn from(error: InvalidEntry) -> FieldError {
        FieldError::new(error.key, error.reason)
    }
}

/// Reason why a call is rejected, with all errors found in it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call or its entries are invalid.
    #[error("invalid: {0:?}")]
    Invalid(Vec<FieldError>),
    /// The call reverts entries that were never changed.
    #[error("not found: {0:?}")]
    NotFound(Vec<FieldError>),
}

impl From<InvalidEntries> for CallError {
    fn from(error: InvalidEntries) -> CallError {
        let texts = error.0.iter().map(ToString::to_string);
        CallError::Invalid(texts.map(|text| FieldError::from_text(&text)).collect())
    }
}

impl CallError {
    fn invalid_field(field: &str, reason: impl Into<String>) -> CallError {
        CallError::Invalid(vec![FieldError::new(field, reason)])
    }

    /// Returns the response to the operator: the first error's field and reason, and the list of all errors.
    pub fn response(&self) -> CallResponse {
        let (status, errors) = match self {
            CallError::Invalid(errors) => (StatusCode::UNPROCESSABLE_ENTITY, errors),
            CallError::NotFound(errors) => (StatusCode::NOT_FOUND, errors),
        };
        let errors: Vec<_> = errors.iter().map(FieldError::json).collect();
        let mut body = errors.first().cloned().unwrap_or_default();
        body["errors"] = errors.into();
        (status, json_line(&body))
    }
}

/// The body of a change of several entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    /// Version of the configuration on which the change is based.
    version: u64,
    entries: Vec<EntryBody>,
}

/// One entry in the body of a change of several entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryBody {
    kind: String,
    name: String,
    #[serde(default)]
    value: Option<serde_json::Value>,
    /// Reverts the change of the entry, so that the configuration file applies again.
    #[serde(default)]
    as_file: bool,
}

/// The body of a change of one entry, which is named in the path.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SingleEntryBody {
    version: u64,
    #[serde(default)]
    value: Option<serde_json::Value>,
}

/// The body of a call that reverts the change of one entry, which is named in the path.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RevertBody {
    version: u64,
}

/// The body of a call that declares which changes the platform's configuration files contain.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactBody {
    version: u64,
    contains: u64,
}

/// Parses the change that a call requests, or returns all errors in the call itself and with regard to the settings in
/// force. Returns `None` if the call is not a change.
pub fn parse_change(
    call: &Call,
    overrides: &FleetOverrides,
) -> Option<Result<ConfigChange, CallError>> {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    let parsed = match (&call.method, path.as_slice()) {
        (&Method::PUT, ["config"]) => parse_entries(&call.body),
        (&Method::PUT, ["config", "file"]) => parse_compaction(&call.body, overrides),
        (&Method::PUT, ["config", kind, name]) => parse_set(&call.body, kind, name),
        (&Method::DELETE, ["config", kind, name]) => parse_remove(&call.body, kind, name),
        (&Method::DELETE, ["config", kind, name, "override"]) => {
            parse_revert(&call.body, kind, name)
        }
        _ => return None,
    };
    Some(parsed.and_then(|change| {
        check_reverts(&change.edits, overrides)?;
        overrides.check(&change.edits)?;
        Ok(change)
    }))
}

/// Checks that every reverted entry was changed, and that the configuration file does not contain the change yet.
fn check_reverts(edits: &[Edit], overrides: &FleetOverrides) -> Result<(), CallError> {
    let reverted: Vec<&Key> = edits
        .iter()
        .filter(|edit| edit.value == Value::AsFile)
        .map(|edit| &edit.key)
        .collect();
    let errors = |reason: &str, is_invalid: &dyn Fn(&Key) -> bool| -> Vec<FieldError> {
        reverted
            .iter()
            .filter(|key| is_invalid(key))
            .map(|key| FieldError::new(key.to_string(), reason))
            .collect()
    };
    let never_changed = errors("never changed since the file", &|key| {
        !overrides.is_changed(key)
    });
    if !never_changed.is_empty() {
        return Err(CallError::NotFound(never_changed));
    }
    let contained = errors("the file contains that change", &|key| {
        !overrides.overrides_file(key)
    });
    if !contained.is_empty() {
        return Err(CallError::Invalid(contained));
    }
    Ok(())
}

/// Returns the kind of entry that a segment of the path names. The version of the platform's files has a call of its
/// own.
pub fn kind_by_name(name: &str) -> Option<Kind> {
    [Kind::RequestClass, Kind::Tenant]
        .into_iter()
        .find(|kind| kind.name() == name)
}

/// Parses a JSON body, with errors that name the field.
fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| CallError::invalid_field(&e.path().to_string(), e.inner().to_string()))?;
    reader
        .end()
        .map_err(|e| CallError::invalid_field("body", e.to_string()))?;
    Ok(parsed)
}

fn parse_entries(body: &[u8]) -> Result<ConfigChange, CallError> {
    let ChangeBody { version, entries } = parse_body(body)?;
    let mut edits = Vec::new();
    let mut errors = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        match parse_edit(entry) {
            Ok(edit) => edits.push(edit),
            Err(error) => errors.push(FieldError {
                field: format!("entries[{index}].{}", error.field),
                ..error
            }),
        }
    }
    if !errors.is_empty() {
        return Err(CallError::Invalid(errors));
    }
    checked_change(version, edits)
}

fn parse_compaction(body: &[u8], overrides: &FleetOverrides) -> Result<ConfigChange, CallError> {
    let CompactBody { version, contains } = parse_body(body)?;
    // The operator sends this after the file's rollout, so the file is in force at this proxy, too.
    let max_contained = overrides.file_version().min(version);
    if contains > max_contained {
        return Err(CallError::invalid_field(
            "contains",
            format!("expected at most {max_contained}, the version of the file in force here"),
        ));
    }
    Ok(ConfigChange {
        base: version,
        edits: vec![Edit::compact_up_to(contains)],
    })
}

fn parse_set(body: &[u8], kind: &str, name: &str) -> Result<ConfigChange, CallError> {
    let SingleEntryBody { version, value } = parse_body(body)?;
    if value.is_none() {
        return Err(CallError::invalid_field("value", "missing"));
    }
    single_entry_change(version, kind, name, value, false)
}

fn parse_remove(body: &[u8], kind: &str, name: &str) -> Result<ConfigChange, CallError> {
    let SingleEntryBody { version, value } = parse_body(body)?;
    if value.is_some() {
        return Err(CallError::invalid_field(
            "value",
            "not where the entry is removed",
        ));
    }
    single_entry_change(version, kind, name, None, false)
}

fn parse_revert(body: &[u8], kind: &str, name: &str) -> Result<ConfigChange, CallError> {
    let RevertBody { version } = parse_body(body)?;
    single_entry_change(version, kind, name, None, true)
}

/// Makes a change of a single entry.
fn single_entry_change(
    version: u64,
    kind: &str,
    name: &str,
    value: Option<serde_json::Value>,
    as_file: bool,
) -> Result<ConfigChange, CallError> {
    let entry = EntryBody {
        kind: kind.into(),
        name: name.into(),
        value,
        as_file,
    };
    let edit = parse_edit(entry).map_err(|error| CallError::Invalid(vec![error]))?;
    checked_change(version, vec![edit])
}

/// Checks the edits of a change together.
fn checked_change(base: u64, edits: Vec<Edit>) -> Result<ConfigChange, CallError> {
    check_edits(&edits).map_err(|error| CallError::Invalid(vec![error.into()]))?;
    Ok(ConfigChange { base, edits })
}

/// Validates an entry of a change and converts it.
fn parse_edit(entry: EntryBody) -> Result<Edit, FieldError> {
    let kind = kind_by_name(&entry.kind)
        .ok_or_else(|| FieldError::new("kind", "expected routes or tenants"))?;
    let key = Key {
        kind,
        name: entry.name,
    };
    key.check()
        .map_err(|error| FieldError::new("name", error.reason))?;
    let value = match entry.value {
        None if entry.as_file => Value::AsFile,
        None => Value::Removed,
        Some(_) if entry.as_file => {
            let reason = "not where the change is taken back";
            return Err(FieldError::new("value", reason));
        }
        Some(value) if !value.is_object() => {
            return Err(FieldError::new("value", "expected an object"));
        }
        Some(value) if value["name"] != key.name => {
            return Err(FieldError::new("value.name", "expected the entry's name"));
        }
        Some(value) => Value::Set(value.to_string().into_bytes()),
    };
    let edit = Edit { key, value };
    edit.check()
        .map_err(|error| FieldError::new("value", error.reason))?;
    Ok(edit)
}

#[cfg(test)]
mod stored_formats;
