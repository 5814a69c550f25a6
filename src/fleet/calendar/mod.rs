//! The calendar of maintenance windows: a state machine without clock, network or threads.
//!
//! Every proxy keeps a [`Calendar`]. Operators' calls change it at any proxy; the proxy that holds the duty
//! [steps](Calendar::step) it; [entries](Entry) travel between proxies and [merge](Entry::merge). What a proxy
//! keeps [out](Calendar::out) is derived. Time comes in as [`Wall`] and is never read here.

mod alone;
mod budget;
mod calls;
mod entry;
mod need;
mod phases;
mod replicate;
mod spec;

pub use budget::{Backend, Budget, Fleet};
pub use calls::{Put, Rejected, View};
pub use entry::{Change, Entry, Garbled, Mark, Stamp, Stamped, Step};
pub use phases::{Report, Reports, Transition, TOLD};
pub use replicate::{Digest, Lacking, MOST_ROWS, MOST_SENT};
pub use spec::*;

use crate::fleet::lease::Token;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most windows that operators may put, tombstones included.
pub const MOST_WINDOWS: usize = 256;
/// The most windows that merging may bring: two sides of a partition may each be full.
pub const MOST_MERGED: usize = 2 * MOST_WINDOWS;
/// The most bytes of an encoded entry.
pub const MOST_ENTRY: usize = 1200;
/// How long a window that is over or cancelled is remembered, in microseconds.
pub const TOMBSTONE: Micros = Micros(3600 * 1_000_000);

/// A wall-clock time, in microseconds since 1970.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Wall(pub u64);

impl Wall {
    /// The calendar's time of it; none beyond the year 9999.
    pub(crate) fn timestamp(self) -> Option<jiff::Timestamp> {
        jiff::Timestamp::from_microsecond(i64::try_from(self.0).ok()?).ok()
    }
}

impl std::fmt::Display for Wall {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.timestamp() {
            Some(at) => write!(f, "{at}"),
            None => write!(f, "{} us after 1970", self.0),
        }
    }
}

impl std::ops::Add<Micros> for Wall {
    type Output = Wall;
    fn add(self, span: Micros) -> Wall {
        Wall(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub<Micros> for Wall {
    type Output = Wall;
    fn sub(self, span: Micros) -> Wall {
        Wall(self.0.saturating_sub(span.0))
    }
}

impl std::ops::Sub for Wall {
    type Output = Micros;
    /// The span since `earlier`; zero where that lies ahead.
    fn sub(self, earlier: Wall) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// What the calendar has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// What windows have to leave.
    pub budget: Budget,
    /// How long a backend that is back is in slow start.
    pub ramp: Micros,
    /// For how long a proxy goes by the holder's word without hearing from it.
    pub max_age: Micros,
}

/// The windows, as one proxy knows them.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// What it keeps to; may be changed at any time.
    pub rules: Rules,
    entries: BTreeMap<String, Entry>,
    /// The windows that calls or steps here changed since they were last taken.
    changed: BTreeSet<String>,
    /// What this proxy decided by itself while it was cut off.
    alone: BTreeMap<String, alone::Alone>,
}

impl Calendar {
    /// An empty one.
    pub fn new(rules: Rules) -> Calendar {
        let (entries, changed, alone) = Default::default();
        Calendar {
            rules,
            entries,
            changed,
            alone,
        }
    }

    /// The window with that id.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The highest token in any window, for the candidate that has to go above it.
    pub fn highest(&self) -> Token {
        self.entries
            .values()
            .filter_map(|e| e.mark.as_ref())
            .map(|m| m.token)
            .max()
            .unwrap_or_default()
    }

    /// Forgets the windows whose tombstones' life is over.
    pub fn purge(&mut self, now: Wall) {
        self.entries
            .retain(|_, entry| entry.expires().is_none_or(|at| at > now));
        let entries = &self.entries;
        self.changed.retain(|id| entries.contains_key(id));
        self.alone.retain(|id, _| entries.contains_key(id));
    }
}
