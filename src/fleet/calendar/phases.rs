//! The steps of the holder.

use super::budget::Fleet;
use super::entry::Step;
use super::{Calendar, Wall};
use crate::fleet::lease::Ballot;
use crate::Micros;
use std::collections::BTreeMap;

/// What a live proxy said of the requests it has open.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// How long ago it said so.
    pub age: Micros,
    /// Open requests by backend; a backend that is not named has none.
    pub open: BTreeMap<String, u32>,
}

/// The last report of each live proxy, by any key of the host's; the holder's own is among them.
pub type Reports = BTreeMap<u64, Report>;

/// One step of one window, for the log and the effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The window.
    pub window: String,
    /// Where it stood.
    pub from: Step,
    /// Where it stands.
    pub to: Step,
    /// Since when.
    pub at: Wall,
    /// Why.
    pub reason: String,
    /// The holder's.
    pub token: Ballot,
}

impl Calendar {
    /// Takes each step whose time has come. Only for the proxy that holds the duty now, a few times a
    /// second; with a token below the highest that was heard of nothing happens. What changed is in
    /// [`changed`](Calendar::changed) afterwards.
    pub fn step(&mut self, now: Wall, token: Ballot, fleet: &Fleet, reports: &Reports) -> Vec<Transition> {
        let _ = (now, token, fleet, reports);
        todo!()
    }
}
