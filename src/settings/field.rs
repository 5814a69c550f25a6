//! Reads settings value by value: each value with the path that led to it, and every error on the way noted.

use super::error::SettingsError;
use crate::interface::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// What reading came upon: errors, and which paths were read.
#[derive(Default)]
pub(super) struct Diagnostics {
    /// Paths that were read; `None` where reads are not tracked.
    read_paths: Option<RefCell<BTreeSet<String>>>,
    errors: RefCell<Errors>,
}

/// Errors in the order of reading: one for a path.
#[derive(Default)]
struct Errors {
    in_order: Vec<SettingsError>,
    paths: BTreeSet<String>,
}

impl Diagnostics {
    /// `track_reads`: whether the paths that are read are remembered, see [`Diagnostics::retain_unread`].
    pub fn new(track_reads: bool) -> Rc<Diagnostics> {
        Rc::new(Diagnostics {
            read_paths: track_reads.then(RefCell::default),
            errors: RefCell::default(),
        })
    }

    pub fn tracks_reads(&self) -> bool {
        self.read_paths.is_some()
    }

    /// Whether the value at `path`, or one inside it, has an error.
    pub fn has_error_within(&self, path: &str) -> bool {
        let paths = &self.errors.borrow().paths;
        let has_inner = |separator: char| {
            let prefix = format!("{path}{separator}");
            let first = paths.range(prefix.clone()..).next();
            first.is_some_and(|inner| inner.starts_with(&prefix))
        };
        paths.contains(path) || has_inner('.') || has_inner('[')
    }

    /// `value`, or the first error.
    pub fn check<T>(&self, value: T) -> Result<T, SettingsError> {
        match self.errors.borrow().in_order.first() {
            Some(error) => Err(error.clone()),
            None => Ok(value),
        }
    }

    /// All errors.
    pub fn errors(&self) -> Vec<SettingsError> {
        self.errors.borrow().in_order.clone()
    }

    /// Adds the errors of another reader.
    pub fn append(&self, others: &Diagnostics) {
        let others = others.errors.borrow();
        let mut errors = self.errors.borrow_mut();
        errors.in_order.extend(others.in_order.iter().cloned());
        errors.paths.extend(others.paths.iter().cloned());
    }

    /// Of these paths those that nothing read and that have no error.
    pub fn retain_unread(&self, mut paths: Vec<String>) -> Vec<String> {
        let read_paths = self.read_paths.as_ref().map(RefCell::borrow);
        let was_read = |path: &String| read_paths.as_ref().is_some_and(|all| all.contains(path));
        paths.retain(|path| !was_read(path) && !self.has_error_within(path));
        paths
    }

    /// Forgets which paths were read.
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
/// A value that cannot be used is noted in the diagnostics, and a valid stand-in takes its place, so that one pass finds
/// every error.
pub(super) struct Field<'a> {
    path: String,
    pub value: Option<&'a Value>,
    pub diagnostics: Rc<Diagnostics>,
}

impl<'a> Field<'a> {
    /// The settings as a whole.
    pub fn root(settings: &'a Value, diagnostics: Rc<Diagnostics>) -> Field<'a> {
        Field::at(String::new(), settings, diagnostics)
    }

    /// A value under a path of the caller's.
    pub fn at(path: String, value: &'a Value, diagnostics: Rc<Diagnostics>) -> Field<'a> {
        Field {
            path,
            value: Some(value),
            diagnostics,
        }
    }

    /// The value of a key inside this one.
    pub fn get(&self, key: &str) -> Field<'a> {
        let path = join(&self.path, key);
        self.diagnostics.note_read(&path);
        Field {
            path,
            value: self.value.and_then(|value| value.get(key)),
            diagnostics: self.diagnostics.clone(),
        }
    }

    /// Notes that the value cannot stand here.
    pub fn reject(&self, problem: impl Into<String>) {
        let error = SettingsError::Invalid {
            path: self.path.clone(),
            problem: problem.into(),
        };
        self.diagnostics.note_error(&self.path, error);
    }

    /// The value as `read`, or `stand_in` and an error where that is `None`.
    pub fn or_stand_in<T>(&self, read: Option<T>, expected: &'static str, stand_in: T) -> T {
        let Some(read) = read else {
            self.diagnostics
                .note_error(&self.path, self.unexpected(expected));
            return stand_in;
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
        self.or_stand_in(self.value.and_then(Value::as_str), "text", "")
    }

    pub fn flag(&self) -> bool {
        self.or_stand_in(self.value.and_then(Value::as_bool), "true or false", false)
    }

    pub fn number(&self) -> f64 {
        self.or_stand_in(self.value.and_then(Value::as_f64), "a number", 1.0)
    }

    /// The value as a whole number, if it is one; nothing is noted.
    pub fn integer(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }

    pub fn micros(&self) -> Micros {
        Micros(self.or_stand_in(self.integer(), "whole microseconds", 1))
    }

    pub fn count(&self, stand_in: u32) -> u32 {
        let count = self.integer().and_then(|number| u32::try_from(number).ok());
        self.or_stand_in(count, "a whole number", stand_in)
    }

    /// The items of a list.
    pub fn list(&self) -> Vec<Field<'a>> {
        let items = self.value.and_then(Value::as_array).map(Vec::as_slice);
        let items = self.or_stand_in(items, "an array", &[]);
        let item = |(index, value)| {
            let path = format!("{}[{index}]", self.path);
            Field::at(path, value, self.diagnostics.clone())
        };
        items.iter().enumerate().map(item).collect()
    }
}

/// Adds the paths of all values inside `value` that hold no further ones; a list of plain values counts as one.
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

/// The path of a key inside the value at `path`.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.into()
    } else {
        format!("{path}.{key}")
    }
}
