//! The disruption budget: the share of each kind's and each zone's capacity that windows have to leave.

use super::spec::Targets;
use super::window::Window;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Sums of floating-point shares are not exact: a shortfall within this part of the listed capacity is none.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// One listed backend, as the lease holder knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendCapacity {
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
    pub readiness: f64,
    /// Whether operators disabled it by hand.
    pub disabled: bool,
    /// Its capacity against other backends'; 1 where all are alike.
    pub capacity: f64,
}

/// The listed backends by name.
pub type ListedBackends = BTreeMap<String, BackendCapacity>;

/// The share of the listed capacity that windows leave available, 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisruptionBudget {
    /// Of each kind.
    pub kind_floor: f64,
    /// Of each zone.
    pub zone_floor: f64,
}

impl DisruptionBudget {
    fn floor(&self, group: &Group) -> f64 {
        match group {
            Group::Kind(_) => self.kind_floor,
            Group::Zone(_) => self.zone_floor,
        }
    }
}

impl BackendCapacity {
    fn listed_capacity(&self) -> f64 {
        if self.capacity.is_finite() {
            self.capacity.max(0.0)
        } else {
            0.0
        }
    }

    /// What it can take now, windows left out of account.
    fn available_capacity(&self) -> f64 {
        if self.serving && !self.disabled && self.readiness.is_finite() {
            self.listed_capacity() * self.readiness.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// The groups that have a floor each.
    fn groups(&self) -> [Group<'_>; 2] {
        [Group::Kind(&self.kind), Group::Zone(&self.zone)]
    }
}

impl Window {
    /// The names of the backends that it targets; some of them may not be listed.
    pub(super) fn targeted_backends<'a>(&'a self, fleet: &'a ListedBackends) -> BTreeSet<&'a str> {
        let listed = |is_target: &dyn Fn(&BackendCapacity) -> bool| {
            fleet
                .iter()
                .filter(|(_, backend)| is_target(backend))
                .map(|(name, _)| name.as_str())
                .collect()
        };
        match &self.spec.value.targets {
            Targets::Ids(ids) => ids.iter().map(String::as_str).collect(),
            Targets::Zone(zone) => listed(&|backend| backend.zone == *zone),
            Targets::Kind(kind) => listed(&|backend| backend.kind == *kind),
            Targets::Cell(cell) => listed(&|backend| backend.cell == *cell),
        }
    }
}

/// Backends that have a floor of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group<'a> {
    Kind(&'a str),
    Zone(&'a str),
}

impl fmt::Display for Group<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Group::Kind(name) => write!(f, "kind {name}"),
            Group::Zone(name) => write!(f, "zone {name}"),
        }
    }
}

/// Why a window has to wait; the list of windows shows the text.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum BudgetExceeded<'a> {
    /// Another window waits for the same group.
    #[error("{group}: behind {first}")]
    Queued { group: Group<'a>, first: &'a str },
    /// The group would be left with less than its floor.
    #[error("{group}: {left:.2} of {listed:.2} left, floor {floor:.2}")]
    BelowFloor {
        group: Group<'a>,
        left: f64,
        listed: f64,
        floor: f64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct GroupCapacity {
    listed: f64,
    available: f64,
}

/// The capacity that remains while windows take effect one after the other.
pub(super) struct RemainingCapacity<'a> {
    fleet: &'a ListedBackends,
    budget: DisruptionBudget,
    in_maintenance: BTreeSet<&'a str>,
    capacities: BTreeMap<Group<'a>, GroupCapacity>,
    /// The groups that a window waits for; none behind it may take of them.
    awaited: BTreeMap<Group<'a>, &'a str>,
}

impl<'a> RemainingCapacity<'a> {
    /// The listed backends without those that are in maintenance already.
    pub(super) fn new(
        fleet: &'a ListedBackends,
        budget: DisruptionBudget,
        in_maintenance: BTreeSet<&'a str>,
    ) -> RemainingCapacity<'a> {
        let mut remaining = RemainingCapacity {
            fleet,
            budget,
            in_maintenance,
            capacities: BTreeMap::new(),
            awaited: BTreeMap::new(),
        };
        for (name, backend) in fleet {
            let available = remaining.available(name, backend);
            for group in backend.groups() {
                let capacity = remaining.capacities.entry(group).or_default();
                capacity.listed += backend.listed_capacity();
                capacity.available += available;
            }
        }
        remaining
    }

    /// Takes a window's backends, where the budget allows. Windows come in their order.
    ///
    /// # Errors
    /// What the window waits for.
    pub(super) fn take(
        &mut self,
        window: &'a str,
        backends: BTreeSet<&'a str>,
    ) -> Result<(), BudgetExceeded<'a>> {
        let taken = self.taken_by(&backends);
        for (group, taken) in &taken {
            if let Some(first) = self.awaited.get(group) {
                return Err(BudgetExceeded::Queued {
                    group: *group,
                    first,
                });
            }
            let GroupCapacity { listed, available } = self.capacities[group];
            let floor = listed * self.budget.floor(group);
            let left = available - taken;
            if left < floor - ROUNDING_TOLERANCE * listed {
                self.awaited.insert(*group, window);
                return Err(BudgetExceeded::BelowFloor {
                    group: *group,
                    left,
                    listed,
                    floor,
                });
            }
        }
        for (group, taken) in taken {
            self.capacities.entry(group).or_default().available -= taken;
        }
        self.in_maintenance.extend(backends);
        Ok(())
    }

    /// The capacity that backends would take from each of their groups. Groups from which nothing is taken now, as the
    /// backends are in maintenance or dead, are among them: the window has to wait where too little is left, as these
    /// backends could return while it is open.
    fn taken_by(&self, backends: &BTreeSet<&'a str>) -> BTreeMap<Group<'a>, f64> {
        let mut taken: BTreeMap<Group, f64> = BTreeMap::new();
        for name in backends {
            let Some(backend) = self.fleet.get(*name) else {
                continue;
            };
            let available = self.available(name, backend);
            for group in backend.groups() {
                *taken.entry(group).or_default() += available;
            }
        }
        taken
    }

    fn available(&self, name: &str, backend: &BackendCapacity) -> f64 {
        if self.in_maintenance.contains(name) {
            0.0
        } else {
            backend.available_capacity()
        }
    }
}
