//! Every backend that a list, operators or another process named, by number: held close together, as there may be tens
//! of thousands.

use meadowproxy::{Backend, BackendId, BackendState};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a backend is kept out of use, whatever the list says of it. None ends another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Operators took it out by hand at this proxy.
    Hand,
    /// A maintenance window of the fleet's calendar.
    Window,
}

/// A set of reasons.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct Reasons(u8);

impl Reasons {
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub fn contains(self, why: Why) -> bool {
        self.0 & (1 << why as u8) != 0
    }

    pub fn insert(&mut self, why: Why) {
        self.0 |= 1 << why as u8;
    }

    /// Whether it was there.
    pub fn remove(&mut self, why: Why) -> bool {
        let held = self.contains(why);
        self.0 &= !(1 << why as u8);
        held
    }
}

impl fmt::Debug for Reasons {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = [Why::Hand, Why::Window]
            .into_iter()
            .filter(|why| self.contains(*why));
        f.debug_set().entries(held).finish()
    }
}

/// One backend.
pub struct Known {
    /// As discovery calls it; the table of numbers shares the text.
    pub name: Rc<str>,
    pub address: SocketAddr,
    /// Its line of the list; `None` for one that no list has held yet.
    pub entry: Option<Backend>,
    pub reasons: Reasons,
    /// The pool knows that no connection to it is to be kept.
    pub shut: bool,
    id: BackendId,
}

impl Known {
    pub fn new(id: BackendId, name: Rc<str>, address: SocketAddr) -> Known {
        Known {
            name,
            address,
            entry: None,
            reasons: Reasons::default(),
            shut: false,
            id,
        }
    }

    pub fn state(&self) -> BackendState {
        self.entry
            .as_ref()
            .map_or(BackendState::Removed, |e| e.state)
    }

    pub fn open(&self) -> bool {
        self.state() == BackendState::Ready && self.reasons.is_empty()
    }
}

/// All of them, in the order of their numbers.
#[derive(Default)]
pub struct Directory(Vec<Known>);

impl Directory {
    fn find(&self, id: BackendId) -> Option<usize> {
        self.0.binary_search_by_key(&id, |known| known.id).ok()
    }

    pub fn get(&self, id: &BackendId) -> Option<&Known> {
        self.find(*id).map(|at| &self.0[at])
    }

    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Known> {
        self.find(*id).map(|at| &mut self.0[at])
    }

    /// Adds one under a number higher than all others.
    pub fn push(&mut self, known: Known) {
        debug_assert!(
            self.0.last().is_none_or(|last| last.id < known.id),
            "numbers only rise"
        );
        self.0.push(known);
    }

    /// Room for so many more, and not for twice as many.
    pub fn reserve(&mut self, more: usize) {
        self.0.reserve(more);
    }

    /// Takes those out; `ids` are in order.
    pub fn remove(&mut self, ids: &[BackendId]) -> Vec<Known> {
        self.0
            .extract_if(.., |known| ids.binary_search(&known.id).is_ok())
            .collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &Known)> {
        self.0.iter().map(|known| (&known.id, known))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (BackendId, &mut Known)> {
        self.0.iter_mut().map(|known| (known.id, known))
    }

    pub fn values(&self) -> impl Iterator<Item = &Known> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    #[cfg(test)]
    pub fn contains_key(&self, id: &BackendId) -> bool {
        self.find(*id).is_some()
    }
}
