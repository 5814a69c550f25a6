//! The calendar of maintenance windows: a state machine without clock, network or threads.
//!
//! Every proxy has a replica of the [`Calendar`]. Operators' calls change it at any proxy; the lease holder
//! [advances](Calendar::advance) the windows through their [phases](Phase), within the [disruption
//! budget](DisruptionBudget); [windows](Window) travel between proxies and [merge](Window::merge). Which backends a
//! proxy keeps free of requests is [derived](Calendar::backends_in_maintenance). Time comes in as [`WallTime`] and is
//! never read here.
//!
//! | file | mechanism |
//! | --- | --- |
//! | `spec` | what an operator asks for, and how a call's body is read |
//! | `window` | one window with its progress, and the rule that merges two replicas of it |
//! | `admin_calls` | the operators' calls and the list of windows |
//! | `disruption_budget` | the capacity that windows have to leave |
//! | `due_window` | the windows to start, in their order |
//! | `phases` | the lease holder's transitions |
//! | `isolation` | what a proxy decides that hears of no lease holder |
//! | `backend_demand` | when the list of backends is needed at all |
//! | `anti_entropy` | digests and the repair of replicas |

mod admin_calls;
mod anti_entropy;
mod backend_demand;
mod disruption_budget;
mod due_window;
mod isolation;
mod phases;
mod spec;
mod wall_time;
mod window;

pub use admin_calls::{CallError, CallOutcome, WindowView};
pub use anti_entropy::{Difference, Digest, DigestRow, MAX_DIGEST_ROWS, MAX_WINDOWS_PER_RESPONSE};
pub use disruption_budget::{BackendCapacity, DisruptionBudget, ListedBackends};
pub use phases::{OpenRequestReport, OpenRequestReports, Transition, MAX_NOTIFICATION_DELAY};
pub use spec::{
    check_id, parse_instant, InvalidField, Schedule, Span, Spec, Targets, DEFAULT_LEAD_S,
    MAX_DURATION_S, MAX_IDS_BYTES, MAX_LEAD_S, MAX_NAME_BYTES, MAX_OVERRUN_S, MAX_RECURRING_S,
};
pub use wall_time::WallTime;
pub use window::{OccurrenceChange, Phase, Progress, Version, Versioned, Window, WindowError};

use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The most windows that operators may put, tombstones included.
pub const MAX_WINDOWS: usize = 256;
/// The most windows that merging may bring: two sides of a partition may each be full.
pub const MAX_MERGED_WINDOWS: usize = 2 * MAX_WINDOWS;
/// The most bytes of an encoded window.
pub const MAX_WINDOW_BYTES: usize = 1200;
/// How long a window that is over or cancelled is remembered.
pub const TOMBSTONE_LIFETIME: Micros = Micros(3600 * 1_000_000);

/// The limits that the calendar has to keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// What windows have to leave.
    pub budget: DisruptionBudget,
    /// How long a backend that returned is in slow start.
    pub slow_start: Micros,
    /// For how long a proxy goes by the lease holder's decisions without hearing of it.
    pub isolation_timeout: Micros,
}

/// One proxy's replica of the windows.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// What it keeps to; may be changed at any time.
    pub rules: Rules,
    windows: BTreeMap<String, Window>,
    /// The ids of windows that calls or transitions here changed since they were last taken.
    changed: BTreeSet<String>,
    /// What this proxy decided by itself while it was isolated, by window.
    isolated_decisions: BTreeMap<String, isolation::IsolatedDecision>,
}

impl Calendar {
    /// An empty calendar.
    pub fn new(rules: Rules) -> Calendar {
        Calendar {
            rules,
            windows: BTreeMap::new(),
            changed: BTreeSet::new(),
            isolated_decisions: BTreeMap::new(),
        }
    }

    /// The window with that id.
    pub fn get(&self, id: &str) -> Option<&Window> {
        self.windows.get(id)
    }

    /// The highest token in any window, for the candidate that has to go above it.
    pub fn highest_token(&self) -> Token {
        self.windows
            .values()
            .filter_map(|window| window.progress.as_ref())
            .map(|progress| progress.token)
            .max()
            .unwrap_or_default()
    }

    /// Removes the windows whose tombstones have expired.
    pub fn remove_expired(&mut self, now: WallTime) {
        self.windows.retain(|_, window| !window.has_expired(now));
        let windows = &self.windows;
        self.changed.retain(|id| windows.contains_key(id));
        self.isolated_decisions
            .retain(|id, _| windows.contains_key(id));
    }
}
