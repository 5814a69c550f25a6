//! Where the configuration comes from: a file, and values that are put into it from the command line.

use super::error::OverrideError;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// A configuration file and the values put into it after reading.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// The file.
    pub file: Option<PathBuf>,
    /// Values that replace those of the file, in this order.
    pub overrides: Vec<Override>,
}

impl Source {
    /// Whether keys that nothing reads are errors: in what operators write themselves. The platform's file holds more
    /// than a proxy needs.
    pub fn is_strict(&self) -> bool {
        let is_toml = self.file.as_deref().is_some_and(is_toml);
        is_toml || !self.overrides.is_empty()
    }
}

/// Whether the file is TOML, by its name; else it is JSON.
pub fn is_toml(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "toml")
}

/// A value for one path, such as `settings.profiles[0].aim_us=400000`.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// The dotted path.
    pub path: String,
    value: Value,
}

impl FromStr for Override {
    type Err = OverrideError;

    /// Reads `PATH=VALUE`. The value is JSON if it can be read as that, else text.
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
    /// Puts the value in its place. Tables on the way are made; items of lists are not.
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

fn segments(path: &str) -> impl Iterator<Item = &str> {
    path.split(['.', '['])
}

/// The value under a key, which is made if it is missing, or the item of a list, written `INDEX]`.
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
