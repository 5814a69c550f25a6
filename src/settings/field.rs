//! Reads single values of a settings document ([`Field`]), and collects every error with the path of its value
//! ([`Diagnostics`]).

use super::error::SettingsError;
use crate::interface::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The errors found while a document is read, and the paths that were read.
#[derive(Default)]
pub(super) struct Diagnostics {
    /// The paths that were read; `None` if reads are not tracked.
    read_paths: Option<RefCell<BTreeSet<String>>>,
    errors: RefCell<Errors>,
}

/// Errors in the order of reading, at most one per path.
#[derive(Default)]
struct Errors {
    in_order: Vec<SettingsError>,
    paths: BTreeSet<String>,
}

impl Diagnostics {
    /// Creates empty diagnostics. `track_reads` tells whether to record the paths that are read, for
    /// [`Diagnostics::retain_unread`].
    pub fn new(track_reads: bool) -> Rc<Diagnostics> {
        Rc::new(Diagnostics {
            read_paths: track_reads.then(RefCell::default),
            errors: RefCell::default(),
        })
    }

    pub fn tracks_reads(&self) -> bool {
        self.read_paths.is_some()
    }

    /// Returns whether the value at `path`, or one inside it, has an error.
    pub fn has_error_within(&self, path: &str) -> bool {
        let paths = &self.errors.borrow().paths;
        let has_inner = |separator: char| {
            let prefix = format!("{path}{separator}");
            let first = paths.range(prefix.clone()..).next();
            first.is_some_and(|inner| inner.starts_with(&prefix))
        };
        paths.contains(path) || has_inner('.') || has_inner('[')
    }

    /// Returns `value` if there are no errors, else the first error.
    pub fn check<T>(&self, value: T) -> Result<T, SettingsError> {
        match self.errors.borrow().in_order.first() {
            Some(error) => Err(error.clone()),
            None => Ok(value),
        }
    }

    /// Returns all errors.
    pub fn errors(&self) -> Vec<SettingsError> {
        self.errors.borrow().in_order.clone()
    }

    /// Adds the errors of `others`.
    pub fn append(&self, others: &Diagnostics) {
        let others = others.errors.borrow();
        let mut errors = self.errors.borrow_mut();
        errors.in_order.extend(others.in_order.iter().cloned());
        errors.paths.extend(others.paths.iter().cloned());
    }

    /// Returns those of `paths` that were not read and have no error.
    pub fn retain_unread(&self, mut paths: Vec<String>) -> Vec<String> {
        let read_paths = self.read_paths.as_ref().map(RefCell::borrow);
        let was_read = |path: &String| read_paths.as_ref().is_some_and(|all| all.contains(path));
        paths.retain(|path| !was_read(path) && !self.has_error_within(path));
        paths
    }

    /// Clears the record of the paths that were read.
    pub fn clear_read_paths(&self) {
        if let Some(read_paths) = &self.read_paths {
            read_paths.borrow_mut().clear();
        }
    }

    fn note_read(&self, path: &str) {
        if let Some(read_paths) = &self.read_paths {
            read_paths.borrow_mut().insert(path.into());
        }
    }

    fn note_error(&self, path: &str, error: SettingsError) {
        let mut errors = self.errors.borrow_mut();
        if errors.paths.insert(path.into()) {
            errors.in_order.push(error);
        }
    }
}

/// A value inside the settings, with its path.
///
/// If a value is missing or invalid, a reading method adds an error to the diagnostics and returns a valid default, so
/// that one pass finds every error.
pub(super) struct Field<'a> {
    path: String,
    pub value: Option<&'a Value>,
    pub diagnostics: Rc<Diagnostics>,
}

impl<'a> Field<'a> {
    /// Returns the field of the whole document.
    pub fn root(settings: &'a Value, diagnostics: Rc<Diagnostics>) -> Field<'a> {
        Field::at(String::new(), settings, diagnostics)
    }

    /// Returns a field with a path that the caller chooses.
    pub fn at(path: String, value: &'a Value, diagnostics: Rc<Diagnostics>) -> Field<'a> {
        Field {
            path,
            value: Some(value),
            diagnostics,
        }
    }

    /// Returns the field of a key inside this one.
    pub fn get(&self, key: &str) -> Field<'a> {
        let path = join(&self.path, key);
        self.diagnostics.note_read(&path);
        Field {
            path,
            value: self.value.and_then(|value| value.get(key)),
            diagnostics: self.diagnostics.clone(),
        }
    }

    /// Adds the error that the value is not allowed here.
    pub fn reject(&self, problem: impl Into<String>) {
        let error = SettingsError::Invalid {
            path: self.path.clone(),
            problem: problem.into(),
        };
        self.diagnostics.note_error(&self.path, error);
    }

    /// Returns the value in `read`. If that is `None`, adds an error and returns `default`.
    pub fn or_default<T>(&self, read: Option<T>, expected: &'static str, default: T) -> T {
        let Some(read) = read else {
            self.diagnostics
                .note_error(&self.path, self.unexpected(expected));
            return default;
        };
        read
    }

    fn unexpected(&self, expected: &'static str) -> SettingsError {
        let path = self.path.clone();
        match self.value {
            Some(value) => SettingsError::Unexpected {
                path,
                expected,
                found: value.to_string(),
            },
            None => SettingsError::Missing { path, expected },
        }
    }

    pub fn text(&self) -> &'a str {
        self.or_default(self.value.and_then(Value::as_str), "text", "")
    }

    pub fn flag(&self) -> bool {
        self.or_default(self.value.and_then(Value::as_bool), "true or false", false)
    }

    pub fn number(&self) -> f64 {
        self.or_default(self.value.and_then(Value::as_f64), "a number", 1.0)
    }

    /// Returns the value if it is a whole number; adds no error otherwise.
    pub fn integer(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }

    pub fn micros(&self) -> Micros {
        Micros(self.or_default(self.integer(), "whole microseconds", 1))
    }

    pub fn count(&self, default: u32) -> u32 {
        let count = self.integer().and_then(|number| u32::try_from(number).ok());
        self.or_default(count, "a whole number", default)
    }

    /// Returns the items of an array, none if the value is no array.
    pub fn list(&self) -> Vec<Field<'a>> {
        let items = self.value.and_then(Value::as_array).map(Vec::as_slice);
        let items = self.or_default(items, "an array", &[]);
        let item = |(index, value)| {
            let path = format!("{}[{index}]", self.path);
            Field::at(path, value, self.diagnostics.clone())
        };
        items.iter().enumerate().map(item).collect()
    }
}

/// Adds the paths of all leaves of `value`, which has the path `path`. An array without objects counts as one leaf.
pub(super) fn collect_leaf_paths(path: &str, value: &Value, paths: &mut Vec<String>) {
    match value {
        Value::Object(entries) if !entries.is_empty() => {
            for (key, inner) in entries {
                collect_leaf_paths(&format!("{path}.{key}"), inner, paths);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, inner) in items.iter().enumerate() {
                collect_leaf_paths(&format!("{path}[{index}]"), inner, paths);
            }
        }
        _ => paths.push(path.into()),
    }
}

/// Returns the path of `key` inside the value at `path`.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.into()
    } else {
        format!("{path}.{key}")
    }
}
