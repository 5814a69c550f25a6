//! Directory of every backend that an endpoint list, an operator or another process has named, by id. It is one sorted
//! vector, as there may be tens of thousands.

use meadowproxy::{Backend, BackendId, BackendState};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a backend is disabled, regardless of its state in the endpoint list. Reasons begin and end independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisableReason {
    /// An operator disabled it at this proxy.
    Operator,
    /// A maintenance window of the fleet's calendar covers it.
    MaintenanceWindow,
}

impl DisableReason {
    const ALL: [DisableReason; 2] = [DisableReason::Operator, DisableReason::MaintenanceWindow];

    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// A set of reasons, as a bit mask.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct DisableReasonSet(u8);

impl DisableReasonSet {
    /// Returns whether the set is empty, so that the backend is enabled.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether the reason is in the set.
    pub fn contains(self, reason: DisableReason) -> bool {
        self.0 & reason.bit() != 0
    }

    /// Adds a reason.
    pub fn insert(&mut self, reason: DisableReason) {
        self.0 |= reason.bit();
    }

    /// Removes a reason, and returns whether it was in the set.
    pub fn remove(&mut self, reason: DisableReason) -> bool {
        let was_there = self.contains(reason);
        self.0 &= !reason.bit();
        was_there
    }
}

impl fmt::Debug for DisableReasonSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let present = DisableReason::ALL
            .into_iter()
            .filter(|reason| self.contains(*reason));
        f.debug_set().entries(present).finish()
    }
}

/// What the proxy knows of one backend.
pub struct BackendRecord {
    /// Its name in the endpoint list. The text is shared with the map of ids.
    pub name: Rc<str>,
    pub address: SocketAddr,
    /// Its last entry in an endpoint list; `None` if no list has contained it yet.
    pub entry: Option<Backend>,
    pub reasons: DisableReasonSet,
    /// Whether the pool keeps no idle connections to it.
    pub is_pool_closed: bool,
    id: BackendId,
}

impl BackendRecord {
    /// Creates a record without an entry of the endpoint list.
    pub fn new(id: BackendId, name: Rc<str>, address: SocketAddr) -> BackendRecord {
        BackendRecord {
            name,
            address,
            entry: None,
            reasons: DisableReasonSet::default(),
            is_pool_closed: false,
            id,
        }
    }

    /// Returns its state in the endpoint list; removed if it was never listed.
    pub fn state(&self) -> BackendState {
        self.entry
            .as_ref()
            .map_or(BackendState::Removed, |entry| entry.state)
    }

    /// Returns whether it may get new requests.
    pub fn is_usable(&self) -> bool {
        self.state() == BackendState::Ready && self.reasons.is_empty()
    }
}

/// All backends, in the order of their ids.
#[derive(Default)]
pub struct BackendDirectory(Vec<BackendRecord>);

impl BackendDirectory {
    fn position(&self, id: BackendId) -> Option<usize> {
        self.0.binary_search_by_key(&id, |record| record.id).ok()
    }

    /// Returns the record of that backend.
    pub fn get(&self, id: &BackendId) -> Option<&BackendRecord> {
        self.position(*id).map(|at| &self.0[at])
    }

    /// Returns the mutable record of that backend.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut BackendRecord> {
        self.position(*id).map(|at| &mut self.0[at])
    }

    /// Adds a record, whose id must be greater than all others.
    pub fn push(&mut self, record: BackendRecord) {
        debug_assert!(
            self.0.last().is_none_or(|last| last.id < record.id),
            "a new record's id must be greater than all others"
        );
        self.0.push(record);
    }

    /// Reserves space for `additional` records. Growth by `push` alone would double the allocation.
    pub fn reserve(&mut self, additional: usize) {
        self.0.reserve(additional);
    }

    /// Removes and returns the records of these backends; `ids` must be sorted.
    pub fn remove(&mut self, ids: &[BackendId]) -> Vec<BackendRecord> {
        self.0
            .extract_if(.., |record| ids.binary_search(&record.id).is_ok())
            .collect()
    }

    /// Iterates over all records in the order of ids.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &BackendRecord)> {
        self.0.iter().map(|record| (&record.id, record))
    }

    /// Iterates over all records mutably, in the order of ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendId, &mut BackendRecord)> {
        self.0.iter_mut().map(|record| (record.id, record))
    }

    /// Iterates over all records without ids, in the order of ids.
    pub fn values(&self) -> impl Iterator<Item = &BackendRecord> {
        self.0.iter()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    #[cfg(test)]
    pub fn contains_key(&self, id: &BackendId) -> bool {
        self.position(*id).is_some()
    }
}
