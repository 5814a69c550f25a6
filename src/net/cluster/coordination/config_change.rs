//! Reads an operator's call that changes the configuration, and checks it against the settings in force here. The texts of
//! its errors are the operator's answer.

use super::call::{json_line, Call, CallResponse};
use crate::net::config::fleet_overrides::{AmendError, FleetOverrides};
use hyper::{Method, StatusCode};
use meadowproxy::fleet::config::{check_edits, Edit, InvalidEntry, Key, Kind, Value};
use serde::Deserialize;
use serde_json::json;
use thiserror::Error;

/// The change that a call wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The version that it was made from.
    pub base: u64,
    pub edits: Vec<Edit>,
}

/// What is wrong with one field of a call.
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

    /// Of a text that may name the field before a colon.
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

/// Why a call is rejected: all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call or its entries are invalid.
    #[error("invalid: {0:?}")]
    Invalid(Vec<FieldError>),
    /// It reverts entries that were never changed.
    #[error("not found: {0:?}")]
    NotFound(Vec<FieldError>),
}

impl From<AmendError> for CallError {
    fn from(error: AmendError) -> CallError {
        let texts = error.0.iter().map(ToString::to_string);
        CallError::Invalid(texts.map(|text| FieldError::from_text(&text)).collect())
    }
}

impl CallError {
    fn one(field: &str, reason: impl Into<String>) -> CallError {
        CallError::Invalid(vec![FieldError::new(field, reason)])
    }

    /// The answer: the first error's field and reason, and all errors.
    pub fn answer(&self) -> CallResponse {
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
    /// The version that it was made from.
    version: u64,
    entries: Vec<EntryBody>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EntryBody {
    kind: String,
    name: String,
    #[serde(default)]
    value: Option<serde_json::Value>,
    /// The change is reverted: what the file says counts again.
    #[serde(default)]
    as_file: bool,
}

/// The body of a change of one entry, whose path names it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SingleEntryBody {
    version: u64,
    #[serde(default)]
    value: Option<serde_json::Value>,
}

/// The body of a call that reverts a change, whose path names the entry.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RevertBody {
    version: u64,
}

/// The body of the change that says which changes are in the platform's files.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CompactBody {
    version: u64,
    contains: u64,
}

/// The change that a call wants, or all that is wrong with it by itself and for the settings in force; `None` where it wants
/// none.
pub fn parse_change(
    call: &Call,
    overrides: &FleetOverrides,
) -> Option<Result<ConfigChange, CallError>> {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    let parsed = match (&call.method, path.as_slice()) {
        (&Method::PUT, ["config"]) => parse_several(&call.body),
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

/// Only what was changed, and not since by a file, can be reverted.
fn check_reverts(edits: &[Edit], overrides: &FleetOverrides) -> Result<(), CallError> {
    let reverted: Vec<&Key> = edits
        .iter()
        .filter(|edit| edit.value == Value::AsFile)
        .map(|edit| &edit.key)
        .collect();
    let errors = |reason: &str, is_wrong: &dyn Fn(&Key) -> bool| -> Vec<FieldError> {
        reverted
            .iter()
            .filter(|key| is_wrong(key))
            .map(|key| FieldError::new(key.to_string(), reason))
            .collect()
    };
    let unchanged = errors("never changed since the file", &|key| {
        !overrides.is_changed(key)
    });
    if !unchanged.is_empty() {
        return Err(CallError::NotFound(unchanged));
    }
    let in_file = errors("the file contains that change", &|key| {
        !overrides.overrides_file(key)
    });
    if !in_file.is_empty() {
        return Err(CallError::Invalid(in_file));
    }
    Ok(())
}

/// The kind of a path's segment. The platform's files are changed by a call of their own.
pub fn kind_by_name(name: &str) -> Option<Kind> {
    [Kind::RequestClass, Kind::Tenant]
        .into_iter()
        .find(|kind| kind.name() == name)
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| CallError::one(&e.path().to_string(), e.inner().to_string()))?;
    reader
        .end()
        .map_err(|e| CallError::one("body", e.to_string()))?;
    Ok(parsed)
}

fn parse_several(body: &[u8]) -> Result<ConfigChange, CallError> {
    let ChangeBody { version, entries } = parse_body(body)?;
    let mut edits = Vec::new();
    let mut errors = Vec::new();
    for (index, entry) in entries.into_iter().enumerate() {
        match edit_of(entry) {
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
    checked(version, edits)
}

fn parse_compaction(body: &[u8], overrides: &FleetOverrides) -> Result<ConfigChange, CallError> {
    let CompactBody { version, contains } = parse_body(body)?;
    // Whoever sends this has rolled the file out: here it is in force, too.
    let most = overrides.file_version().min(version);
    if contains > most {
        return Err(CallError::one(
            "contains",
            format!("expected at most {most}, the version of the file in force here"),
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
        return Err(CallError::one("value", "missing"));
    }
    single(version, kind, name, value, false)
}

fn parse_remove(body: &[u8], kind: &str, name: &str) -> Result<ConfigChange, CallError> {
    let SingleEntryBody { version, value } = parse_body(body)?;
    if value.is_some() {
        return Err(CallError::one("value", "not where the entry is removed"));
    }
    single(version, kind, name, None, false)
}

fn parse_revert(body: &[u8], kind: &str, name: &str) -> Result<ConfigChange, CallError> {
    let RevertBody { version } = parse_body(body)?;
    single(version, kind, name, None, true)
}

fn single(
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
    let edit = edit_of(entry).map_err(|error| CallError::Invalid(vec![error]))?;
    checked(version, vec![edit])
}

fn checked(base: u64, edits: Vec<Edit>) -> Result<ConfigChange, CallError> {
    check_edits(&edits).map_err(|error| CallError::Invalid(vec![error.into()]))?;
    Ok(ConfigChange { base, edits })
}

fn edit_of(entry: EntryBody) -> Result<Edit, FieldError> {
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
