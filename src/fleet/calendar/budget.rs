//! What windows have to leave: a share of each kind's and each zone's capacity.

use super::spec::Targets;
use std::collections::{BTreeMap, BTreeSet};

/// One listed backend, as the holder knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell (the list's group).
    pub cell: u64,
    /// Whether the list says that it serves (and not that it drains).
    pub serving: bool,
    /// The share of its capacity that it could take, were no window: 0 when ejected, less than 1 in slow start.
    pub ready: f64,
    /// Whether operators banned it by hand.
    pub out_by_hand: bool,
    /// Its capacity against other backends'; 1 where all are alike.
    pub capacity: f64,
}

/// The listed backends by name.
pub type Fleet = BTreeMap<String, Backend>;

/// The share of the listed capacity that windows leave ready, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Of each kind.
    pub kind: f64,
    /// Of each zone.
    pub zone: f64,
}
