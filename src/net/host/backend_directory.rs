//! Every backend that an endpoint list, operators or another process named, by id: in one sorted vector, as there may be
//! tens of thousands.

use meadowproxy::{Backend, BackendId, BackendState};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a backend is kept out of use, whatever the endpoint list says of it. Reasons begin and end independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisableReason {
    /// Operators disabled it at this proxy.
    Operator,
    /// A maintenance window of the fleet's calendar.
    MaintenanceWindow,
}

impl DisableReason {
    const ALL: [DisableReason; 2] = [DisableReason::Operator, DisableReason::MaintenanceWindow];

    fn bit(self) -> u8 {
        1 << self as u8
    }
}

/// A set of reasons.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct DisableReasonSet(u8);

impl DisableReasonSet {
    /// Whether nothing disables the backend.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the reason is in the set.
    pub fn contains(self, reason: DisableReason) -> bool {
        self.0 & reason.bit() != 0
    }

    /// Adds a reason.
    pub fn insert(&mut self, reason: DisableReason) {
        self.0 |= reason.bit();
    }

    /// Removes a reason; whether it was there.
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

/// One backend.
pub struct BackendRecord {
    /// Its name in the endpoint list; the table of ids shares the text.
    pub name: Rc<str>,
    pub address: SocketAddr,
    /// Its entry in the endpoint list; `None` if no list has had one yet.
    pub entry: Option<Backend>,
    pub reasons: DisableReasonSet,
    /// The pool keeps no idle connection to it.
    pub is_pool_closed: bool,
    id: BackendId,
}

impl BackendRecord {
    /// A backend without an entry in the endpoint list.
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

    /// Its state in the endpoint list.
    pub fn state(&self) -> BackendState {
        self.entry
            .as_ref()
            .map_or(BackendState::Removed, |entry| entry.state)
    }

    /// Whether it may get new requests.
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

    /// The record of that backend.
    pub fn get(&self, id: &BackendId) -> Option<&BackendRecord> {
        self.position(*id).map(|at| &self.0[at])
    }

    /// The record of that backend.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut BackendRecord> {
        self.position(*id).map(|at| &mut self.0[at])
    }

    /// Adds a record under an id above all others.
    pub fn push(&mut self, record: BackendRecord) {
        debug_assert!(
            self.0.last().is_none_or(|last| last.id < record.id),
            "ids are given in ascending order"
        );
        self.0.push(record);
    }

    /// Allocates for so many more records, without doubling the allocation.
    pub fn reserve(&mut self, additional: usize) {
        self.0.reserve(additional);
    }

    /// Removes the records of these backends; `ids` are in order.
    pub fn remove(&mut self, ids: &[BackendId]) -> Vec<BackendRecord> {
        self.0
            .extract_if(.., |record| ids.binary_search(&record.id).is_ok())
            .collect()
    }

    /// All records in the order of ids.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &BackendRecord)> {
        self.0.iter().map(|record| (&record.id, record))
    }

    /// All records in the order of ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendId, &mut BackendRecord)> {
        self.0.iter_mut().map(|record| (record.id, record))
    }

    /// All records in the order of ids.
    pub fn values(&self) -> impl Iterator<Item = &BackendRecord> {
        self.0.iter()
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    #[cfg(test)]
    pub fn contains_key(&self, id: &BackendId) -> bool {
        self.position(*id).is_some()
    }
}
