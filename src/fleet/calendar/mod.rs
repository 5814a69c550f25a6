//! The calendar of maintenance windows: a state machine without clock, network or threads.
//!
//! Every proxy keeps a [`Calendar`]. Operators' calls change it at any proxy; the proxy that holds the duty
//! [steps](Calendar::step) it; [entries](Entry) travel between proxies and [merge](Entry::merge). What a proxy
//! keeps [out](Calendar::out) is derived. Time comes in as [`Wall`] and is never read here.

mod alone;
mod budget;
mod entry;
mod phases;
mod replicate;
mod spec;

pub use budget::{Backend, Budget, Fleet};
pub use entry::{Change, Entry, Garbled, Mark, Stamp, Stamped, Step};
pub use phases::{Report, Reports, Transition};
pub use replicate::{Digest, Lacking, MOST_ROWS};
pub use spec::*;

use crate::fleet::lease::Ballot;
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
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

/// What a call of an operator changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is taken.
    New,
    /// It was so already.
    Same,
}

/// Why a call of an operator is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// A field makes no sense: status 422.
    Invalid(Invalid),
    /// It contradicts what is there: status 409.
    Conflict(Invalid),
    /// No window has that id: status 404.
    Unknown,
    /// There are [`MOST_WINDOWS`]: status 507.
    Full,
}

impl Rejected {
    /// The HTTP status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Rejected::Invalid(_) => 422,
            Rejected::Conflict(_) => 409,
            Rejected::Unknown => 404,
            Rejected::Full => 507,
        }
    }

    /// The field at fault and what is wrong with it.
    pub fn why(&self) -> Invalid {
        match self {
            Rejected::Invalid(why) | Rejected::Conflict(why) => why.clone(),
            Rejected::Unknown => Invalid::new("id", "no such window"),
            Rejected::Full => Invalid::new(
                "id",
                format!("there are {MOST_WINDOWS} windows, those over for less than an hour included"),
            ),
        }
    }
}

impl From<Invalid> for Rejected {
    fn from(why: Invalid) -> Rejected {
        Rejected::Invalid(why)
    }
}

/// One window in the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// The window's id.
    pub id: String,
    /// What it takes out.
    #[serde(flatten)]
    pub targets: Targets,
    /// Who asked.
    pub by: String,
    /// Where it stands.
    pub phase: Step,
    /// The begin of the occurrence under way or next, RFC 3339.
    pub begin: Option<String>,
    /// Its end.
    pub end: Option<String>,
    /// What it waits for.
    pub waiting: Option<String>,
    /// Why it stands where it does.
    pub reason: Option<String>,
    /// Since when.
    pub since: Option<String>,
    /// The holder's that said so.
    pub token: Option<Ballot>,
    /// The days, where it recurs.
    pub days: Option<Vec<&'static str>>,
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
        Calendar { rules, entries, changed, alone }
    }
}

impl Calendar {
    /// Takes a window. The same id with the same content is a yes, with other content a conflict.
    pub fn put(&mut self, id: &str, spec: Spec, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let _ = (id, spec, stamp, now);
        todo!()
    }
    /// Calls a window off, with all its occurrences.
    pub fn cancel(&mut self, id: &str, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let _ = (id, stamp, now);
        todo!()
    }
    /// Moves the end of the occurrence under way or next to a later time.
    pub fn extend(&mut self, id: &str, until: Wall, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let _ = (id, until, stamp, now);
        todo!()
    }
    /// Begins the next occurrence now.
    pub fn begin_now(&mut self, id: &str, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let _ = (id, stamp, now);
        todo!()
    }
    /// Every window, by id.
    pub fn list(&self, now: Wall) -> Vec<View> {
        let _ = now;
        todo!()
    }
    /// Forgets what is over for longer than [`TOMBSTONE`].
    pub fn purge(&mut self, now: Wall) {
        let _ = now;
        todo!()
    }
}
