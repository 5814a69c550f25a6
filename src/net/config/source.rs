//! [`Source`]: the configuration file and the overrides of its values from the command line.

use super::error::OverrideError;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The path of a configuration file, and overrides that are applied to its content.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// Path of the file, `None` if neither the command line nor the environment names one.
    pub file: Option<PathBuf>,
    /// Overrides, in the order in which they are applied.
    pub overrides: Vec<Override>,
}

impl Source {
    /// Returns whether unknown keys are looked for, in what operators write themselves: TOML files and overrides. The
    /// platform's JSON file contains keys that the proxy doesn't use.
    pub fn is_strict(&self) -> bool {
        let is_toml = self.file.as_deref().is_some_and(is_toml);
        is_toml || !self.overrides.is_empty()
    }
}

/// Returns whether the file is TOML according to its extension; any other file is JSON.
pub fn is_toml(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "toml")
}

/// An override of the value at one path, such as `settings.profiles[0].aim_us=400000`.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Dotted path of the value.
    pub path: String,
    value: Value,
}

impl FromStr for Override {
    type Err = OverrideError;

    /// Parses `PATH=VALUE`. A value that is not valid JSON is used as text.
    fn from_str(text: &str) -> Result<Override, OverrideError> {
        let (path, value) = text.split_once('=').ok_or(OverrideError::MissingValue)?;
        if path.is_empty() || segments(path).any(str::is_empty) {
            return Err(OverrideError::EmptyPathSegment);
        }
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.into()));
        Ok(Override {
            path: path.into(),
            value,
        })
    }
}

impl Override {
    /// Sets the value in `document`. Creates missing tables along the path, but no list items.
    pub fn apply(&self, document: &mut Value) -> Result<(), OverrideError> {
        let mut target = document;
        for segment in segments(&self.path) {
            target = child(target, segment).ok_or_else(|| OverrideError::PathNotFound {
                path: self.path.clone(),
                segment: segment.into(),
            })?;
        }
        *target = self.value.clone();
        Ok(())
    }
}

/// Splits a path into keys and list items, the latter written `INDEX]`.
fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '['])
}

/// Returns the value under a key, created if it is missing, or the list item `INDEX]`. Returns `None` if `parent` is no
/// table or list, or lacks the item.
fn child<'a>(parent: &'a mut Value, segment: &str) -> Option<&'a mut Value> {
    let index = segment.strip_suffix(']');
    let index = index.and_then(|digits| digits.parse::<usize>().ok());
    match (index, parent) {
        (Some(index), Value::Array(items)) => items.get_mut(index),
        (None, Value::Object(entries)) => {
            let entry = entries.entry(segment);
            Some(entry.or_insert_with(|| Value::Object(Map::default())))
        }
        _ => None,
    }
}
