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
    /// The share of its capacity that it could take, were no window: 0 when ejected, less than 1 in slow
    /// start. What lies outside of 0 to 1 counts as the nearer of the two.
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

impl Backend {
    fn listed(&self) -> f64 {
        if self.capacity.is_finite() {
            self.capacity.max(0.0)
        } else {
            0.0
        }
    }

    /// What it can take now, but for windows.
    fn free(&self) -> f64 {
        match self.serving && !self.out_by_hand && self.ready.is_finite() {
            true => self.listed() * self.ready.clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

impl Targets {
    /// The names that it stands for; names may be among them that are not listed.
    pub(super) fn names<'a>(&'a self, fleet: &'a Fleet) -> BTreeSet<&'a str> {
        let of = |meant: &dyn Fn(&Backend) -> bool| {
            fleet
                .iter()
                .filter(|(_, b)| meant(b))
                .map(|(name, _)| name.as_str())
                .collect()
        };
        match self {
            Targets::Ids(ids) => ids.iter().map(String::as_str).collect(),
            Targets::Zone(zone) => of(&|b| b.zone == *zone),
            Targets::Kind(kind) => of(&|b| b.kind == *kind),
            Targets::Cell(cell) => of(&|b| b.cell == *cell),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group<'a> {
    Kind(&'a str),
    Zone(&'a str),
}

impl std::fmt::Display for Group<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Group::Kind(name) => write!(f, "kind {name}"),
            Group::Zone(name) => write!(f, "zone {name}"),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    listed: f64,
    free: f64,
}

/// The capacity that is left while windows are let through one after the other.
pub(super) struct Tally<'a> {
    fleet: &'a Fleet,
    budget: Budget,
    out: BTreeSet<&'a str>,
    sums: BTreeMap<Group<'a>, Sum>,
    /// The groups that a window waits for; none behind it may take of them.
    awaited: BTreeMap<Group<'a>, &'a str>,
}

impl<'a> Tally<'a> {
    /// The listed backends without those that windows have already.
    pub(super) fn new(fleet: &'a Fleet, budget: Budget, out: BTreeSet<&'a str>) -> Tally<'a> {
        let mut sums: BTreeMap<_, Sum> = BTreeMap::new();
        for (name, backend) in fleet {
            let free = if out.contains(name.as_str()) {
                0.0
            } else {
                backend.free()
            };
            for group in groups(backend) {
                let sum = sums.entry(group).or_default();
                sum.listed += backend.listed();
                sum.free += free;
            }
        }
        Tally {
            fleet,
            budget,
            out,
            sums,
            awaited: BTreeMap::new(),
        }
    }

    /// Lets a window through, or says what it waits for. Windows come in their order.
    pub(super) fn take(&mut self, window: &'a str, names: BTreeSet<&'a str>) -> Result<(), String> {
        // Also what takes nothing now (its backends are out or dead) waits where too little is left: they
        // could come back while it has them.
        let mut takes: BTreeMap<Group, f64> = BTreeMap::new();
        for name in &names {
            let Some(backend) = self.fleet.get(*name) else {
                continue;
            };
            let free = if self.out.contains(name) {
                0.0
            } else {
                backend.free()
            };
            for group in groups(backend) {
                *takes.entry(group).or_default() += free;
            }
        }
        for (group, taken) in &takes {
            if let Some(first) = self.awaited.get(group) {
                return Err(format!("{group}: behind {first}"));
            }
            let Sum { listed, free } = self.sums[group];
            let floor = listed * self.budget.share(group);
            let left = free - taken;
            // Sums of shares are not exact.
            if left < floor - 1e-9 * listed {
                self.awaited.insert(*group, window);
                return Err(format!(
                    "{group}: {left:.2} of {listed:.2} left, floor {floor:.2}"
                ));
            }
        }
        for (group, taken) in takes {
            self.sums.entry(group).or_default().free -= taken;
        }
        self.out.extend(names);
        Ok(())
    }
}

impl Budget {
    fn share(&self, group: &Group) -> f64 {
        match group {
            Group::Kind(_) => self.kind,
            Group::Zone(_) => self.zone,
        }
    }
}

fn groups(backend: &Backend) -> [Group<'_>; 2] {
    [Group::Kind(&backend.kind), Group::Zone(&backend.zone)]
}
