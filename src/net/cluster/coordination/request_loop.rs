//! What the workers and the request loop exchange: effects one way, what the loop sees the other.

use crate::net::host::BackendStatus;
use meadowproxy::fleet::config::Entry;
use meadowproxy::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the request loop has to carry out.
pub enum Effect {
    /// No new requests to that backend: a maintenance window is in effect.
    BeginMaintenance(String),
    /// No window is in effect for that backend any more.
    EndMaintenance(String),
    /// These entries of the configuration changed together.
    ChangeConfig {
        /// The configuration's version from now on.
        version: u64,
        entries: Vec<Entry>,
    },
    /// Calendar and configuration have caught up with the fleet: clients may come.
    CaughtUp,
}

/// How much the workers need to see of the listed backends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BackendDemand {
    NotNeeded,
    /// Some are in maintenance: they are shown now and then.
    Occasional,
    /// Decisions depend on them, or this proxy starts: they are shown each time.
    EveryUpdate,
}

/// The backends as the request loop sees them.
pub struct BackendSnapshot {
    pub taken_at: Time,
    pub rows: Vec<BackendStatus>,
}

/// What the request loop sees.
pub struct LoopView {
    /// While they are needed.
    pub backends: Option<Arc<BackendSnapshot>>,
    /// Its open requests at listed backends that are in maintenance.
    pub open: BTreeMap<String, u32>,
    /// Live members but this proxy.
    pub members: Vec<SocketAddr>,
    /// The configuration's version in force.
    pub config_version: u64,
    /// The changes up to this one are contained in the file in force, by its own account.
    pub file_version: u64,
}
