//! The calendar of maintenance windows, during which backends get no new requests: a state machine without clock,
//! network or threads.
//!
//! Every proxy has a replica of the [`Calendar`]. Operators change it by calls to any proxy. The lease holder
//! [advances](Calendar::advance) the windows through their [phases](Phase) within the [disruption
//! budget](DisruptionBudget). Proxies exchange changed [windows](Window) and [merge](Window::merge) them. Each proxy
//! [derives](Calendar::backends_in_maintenance) from its replica which backends get no new requests. All times are
//! passed in as [`WallTime`].
//!
//! | module | mechanism |
//! | --- | --- |
//! | `spec` | the content of a window, and the decoding of a call's body |
//! | `window` | one window with its progress, and the merge of two replicas of it |
//! | `admin_calls` | the operators' calls, and the list of windows |
//! | `disruption_budget` | the capacity that windows have to leave available |
//! | `due_window` | the order in which due windows start |
//! | `phases` | the lease holder's transitions |
//! | `isolation` | the decisions of a proxy that hears of no lease holder |
//! | `backend_demand` | when the list of backends is needed |
//! | `anti_entropy` | digests, and the repair of replicas |

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

/// The maximum number of windows up to which operators may add one, tombstones included.
pub const MAX_WINDOWS: usize = 256;
/// The maximum number of windows after merging windows of other proxies: both sides of a partition may have been full.
pub const MAX_MERGED_WINDOWS: usize = 2 * MAX_WINDOWS;
/// The maximum size of an encoded window, in bytes.
pub const MAX_WINDOW_BYTES: usize = 1200;
/// The time for which a window that is over or cancelled is kept as a tombstone.
pub const TOMBSTONE_LIFETIME: Micros = Micros(3600 * 1_000_000);

/// The limits that the calendar has to comply with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// The share of the capacity that windows have to leave available.
    pub budget: DisruptionBudget,
    /// The duration of the slow start of a backend after a window.
    pub slow_start: Micros,
    /// The time after which a proxy that hears of no lease holder is isolated and decides by itself.
    pub isolation_timeout: Micros,
}

/// One proxy's replica of the windows.
#[derive(Clone, Debug)]
pub struct Calendar {
    /// The limits in force; they may be changed at any time.
    pub rules: Rules,
    windows: BTreeMap<String, Window>,
    /// The ids of the windows that calls or transitions at this proxy changed since the last
    /// [`take_changed`](Calendar::take_changed).
    changed: BTreeSet<String>,
    /// The decisions that this proxy made while it was isolated, by window id.
    isolated_decisions: BTreeMap<String, isolation::IsolatedDecision>,
}

impl Calendar {
    /// Creates an empty calendar.
    pub fn new(rules: Rules) -> Calendar {
        Calendar {
            rules,
            windows: BTreeMap::new(),
            changed: BTreeSet::new(),
            isolated_decisions: BTreeMap::new(),
        }
    }

    /// The window with the given id.
    pub fn get(&self, id: &str) -> Option<&Window> {
        self.windows.get(id)
    }

    /// The highest token in any window; a new lease holder's token has to be higher.
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
