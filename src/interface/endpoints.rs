//! The endpoint list as the decisions see it.

use super::ids::{BackendId, CellId, HardwareClassId, ZoneId};
use super::time::Time;

/// A backend process, as the endpoint list describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// A hash of its address, the same at every proxy.
    pub address_hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its hardware class.
    pub hardware_class: HardwareClassId,
    /// What it may be sent.
    pub state: BackendState,
    /// When the process last started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Requests.
    Ready,
    /// Nothing new: it finishes what is in flight.
    Draining,
    /// Nothing: it is no longer listed.
    #[default]
    Removed,
}

/// How far an update of the endpoint list reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Incremental,
    /// The complete list: what it does not name is removed.
    Full,
    /// The complete list from before a restart, perhaps out of date.
    Cached,
    /// The poll or the watch failed; the present list stays.
    Failed,
}
