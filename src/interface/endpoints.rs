//! The entries of the endpoint list, and the ways in which it is updated.

use super::ids::{BackendId, CellId, HardwareClassId, ZoneId};
use super::time::Time;

/// A backend process, as described by the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// The backend's id.
    pub id: BackendId,
    /// A hash of the backend's address. It is the same on every proxy.
    pub address_hash: u64,
    /// The backend's zone.
    pub zone: ZoneId,
    /// The backend's cell.
    pub cell: CellId,
    /// The backend's hardware class.
    pub hardware_class: HardwareClassId,
    /// Whether the backend accepts requests.
    pub state: BackendState,
    /// When the process last started; `None` means long ago.
    pub started_at: Option<Time>,
}

/// Whether a backend accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// The backend accepts requests.
    Ready,
    /// The backend finishes the attempts in flight and accepts no new ones.
    Draining,
    /// The backend is no longer listed.
    #[default]
    Removed,
}

/// How an update relates to the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Incremental,
    /// The complete list; backends that it omits are removed.
    Full,
    /// The complete list as saved before a restart, which may be out of date.
    Cached,
    /// The poll or watch failed; the current list is kept.
    Failed,
}
