//! Messages between the workers and the request loop: the workers send [`Effect`]s, and the request loop publishes its
//! [`LoopView`].

use crate::net::host::BackendStatus;
use meadowproxy::fleet::config::Entry;
use meadowproxy::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A change that the request loop applies.
pub enum Effect {
    /// Stop sending new requests to the named backend: a maintenance window is in effect.
    BeginMaintenance(String),
    /// Use the named backend again: no window is in effect for it any more.
    EndMaintenance(String),
    /// Apply entries of the configuration in one step.
    ChangeConfig {
        /// Version of the configuration after the change.
        version: u64,
        entries: Vec<Entry>,
    },
    /// The calendar and the configuration have caught up with the fleet: this proxy may accept clients.
    CaughtUp,
}

/// How often the workers need a new snapshot of the listed backends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BackendDemand {
    /// Never: no decision depends on them.
    NotNeeded,
    /// About once a second: some are in maintenance.
    Occasional,
    /// With each update of the view: decisions depend on them, or this proxy is starting.
    EveryUpdate,
}

/// The state of all backends in the request loop at one time.
pub struct BackendSnapshot {
    /// Time on the monotonic clock.
    pub taken_at: Time,
    pub rows: Vec<BackendStatus>,
}

/// The request loop's state, as far as the workers need it.
pub struct LoopView {
    /// The backends; `None` while they are not needed.
    pub backends: Option<Arc<BackendSnapshot>>,
    /// Number of this proxy's open requests at each listed backend that is in maintenance.
    pub open: BTreeMap<String, u32>,
    /// The live members other than this proxy.
    pub members: Vec<SocketAddr>,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Version up to which the configuration file in force contains the changes, as stated in the file.
    pub file_version: u64,
}
