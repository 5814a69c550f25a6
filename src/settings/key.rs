//! One value inside the settings at a time, under the path that led to it.

use crate::interface::Micros;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// What reading came upon.
#[derive(Default)]
pub(super) struct Notes {
    /// Paths that were asked for, where anybody wants to know.
    seen: Option<RefCell<BTreeSet<String>>>,
    wrong: RefCell<Wrong>,
}

/// What was wrong, in the order of reading: one text for a path.
#[derive(Default)]
struct Wrong {
    texts: Vec<String>,
    paths: BTreeSet<String>,
}

impl Notes {
    /// `strict`: with the paths that were asked for.
    pub fn new(strict: bool) -> Rc<Notes> {
        Rc::new(Notes {
            seen: strict.then(RefCell::default),
            wrong: RefCell::default(),
        })
    }

    pub fn strict(&self) -> bool {
        self.seen.is_some()
    }

    /// Whether the value there, or one inside it, could not be read.
    pub fn misread(&self, path: &str) -> bool {
        let paths = &self.wrong.borrow().paths;
        let inside = |mark| {
            let first = format!("{path}{mark}");
            paths
                .range(first.clone()..)
                .next()
                .is_some_and(|p| p.starts_with(&first))
        };
        paths.contains(path) || inside('.') || inside('[')
    }

    /// What was read, or the first that was wrong.
    pub fn sound<T>(&self, read: T) -> Result<T, String> {
        self.wrong
            .borrow()
            .texts
            .first()
            .map_or(Ok(read), |text| Err(text.clone()))
    }

    /// All that was wrong.
    pub fn texts(&self) -> Vec<String> {
        self.wrong.borrow().texts.clone()
    }

    /// Adds what was noted elsewhere.
    pub fn join(&self, others: &Notes) {
        let (mut all, others) = (self.wrong.borrow_mut(), others.wrong.borrow());
        all.texts.extend(others.texts.iter().cloned());
        all.paths.extend(others.paths.iter().cloned());
    }

    /// Of these paths those that nobody asked for and that were not misread.
    pub fn unread(&self, mut paths: Vec<String>) -> Vec<String> {
        let seen = self.seen.as_ref().map(RefCell::borrow);
        let asked = |path: &String| seen.as_ref().is_some_and(|seen| seen.contains(path));
        paths.retain(|path| !asked(path) && !self.misread(path));
        paths
    }

    /// Forgets which paths were asked for.
    pub fn forget_seen(&self) {
        self.seen.iter().for_each(|seen| seen.borrow_mut().clear());
    }
}

/// A value inside the settings, with the path that led to it. One that is wrong is noted, and a stand-in that breaks
/// no rule takes its place, so that reading goes on to what else is wrong.
pub(super) struct Key<'a> {
    path: String,
    pub value: Option<&'a Value>,
    pub notes: Rc<Notes>,
}

impl<'a> Key<'a> {
    pub fn root(settings: &'a Value, notes: Rc<Notes>) -> Key<'a> {
        Key::at(String::new(), settings, notes)
    }
    pub fn at(path: String, value: &'a Value, notes: Rc<Notes>) -> Key<'a> {
        Key {
            path,
            value: Some(value),
            notes,
        }
    }
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        };
        if let Some(seen) = &self.notes.seen {
            seen.borrow_mut().insert(path.clone());
        }
        Key {
            path,
            value: self.value.and_then(|v| v.get(name)),
            notes: self.notes.clone(),
        }
    }
    pub fn wrong(&self, text: String) {
        let mut wrong = self.notes.wrong.borrow_mut();
        if wrong.paths.insert(self.path.clone()) {
            wrong.texts.push(format!("{}: {text}", self.path));
        }
    }
    pub fn want<T>(&self, got: Option<T>, what: &str, stand_in: T) -> T {
        got.unwrap_or_else(|| {
            self.wrong(match self.value {
                Some(v) => format!("expected {what}, got {v}"),
                None => format!("missing, expected {what}"),
            });
            stand_in
        })
    }
    pub fn text(&self) -> &'a str {
        self.want(self.value.and_then(Value::as_str), "text", "")
    }
    pub fn flag(&self) -> bool {
        self.want(self.value.and_then(Value::as_bool), "true or false", false)
    }
    pub fn real(&self) -> f64 {
        self.want(self.value.and_then(Value::as_f64), "a number", 1.0)
    }
    pub fn whole(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }
    pub fn micros(&self) -> Micros {
        Micros(self.want(self.whole(), "whole microseconds", 1))
    }
    pub fn count(&self, stand_in: u32) -> u32 {
        self.want(
            self.whole().and_then(|n| u32::try_from(n).ok()),
            "a whole number",
            stand_in,
        )
    }
    pub fn list(&self) -> Vec<Key<'a>> {
        let items = self.want(
            self.value.and_then(Value::as_array).map(Vec::as_slice),
            "an array",
            &[],
        );
        let item = |(i, v)| Key::at(format!("{}[{i}]", self.path), v, self.notes.clone());
        items.iter().enumerate().map(item).collect()
    }
}
