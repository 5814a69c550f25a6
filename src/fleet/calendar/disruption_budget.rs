//! The disruption budget: the share of the capacity of each kind and each zone of backends that windows have to leave
//! available.

use super::spec::Targets;
use super::window::Window;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The share of the listed capacity by which a group may fall short of its floor, as sums of floating-point numbers are
/// not exact.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A backend in discovery's list, with the capacity that it contributes.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendCapacity {
    /// The backend's zone.
    pub zone: String,
    /// The backend's kind.
    pub kind: String,
    /// The backend's cell (the list's group).
    pub cell: u64,
    /// Whether the list shows the backend as serving (and not as draining).
    pub serving: bool,
    /// The share of its capacity that is usable, apart from windows: 0 when ejected, less than 1 in slow start. Values
    /// outside of 0 to 1 are clamped.
    pub readiness: f64,
    /// Whether operators disabled the backend.
    pub disabled: bool,
    /// The backend's capacity relative to other backends; 1 if all are equal.
    pub capacity: f64,
}

/// The backends in discovery's list, by name.
pub type ListedBackends = BTreeMap<String, BackendCapacity>;

/// The shares of the listed capacity that windows have to leave available, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DisruptionBudget {
    /// The share for each kind.
    pub kind_floor: f64,
    /// The share for each zone.
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

    /// The capacity that is available now, apart from windows.
    fn available_capacity(&self) -> f64 {
        if self.serving && !self.disabled && self.readiness.is_finite() {
            self.listed_capacity() * self.readiness.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// The groups that the backend belongs to.
    fn groups(&self) -> [Group<'_>; 2] {
        [Group::Kind(&self.kind), Group::Zone(&self.zone)]
    }
}

impl Window {
    /// The names of the backends that the window targets; some of them may not be listed.
    pub(super) fn targeted_backends<'a>(&'a self, listed: &'a ListedBackends) -> BTreeSet<&'a str> {
        let names_where = |is_target: &dyn Fn(&BackendCapacity) -> bool| {
            listed
                .iter()
                .filter(|(_, backend)| is_target(backend))
                .map(|(name, _)| name.as_str())
                .collect()
        };
        match &self.spec.value.targets {
            Targets::Ids(ids) => ids.iter().map(String::as_str).collect(),
            Targets::Zone(zone) => names_where(&|backend| backend.zone == *zone),
            Targets::Kind(kind) => names_where(&|backend| backend.kind == *kind),
            Targets::Cell(cell) => names_where(&|backend| backend.cell == *cell),
        }
    }
}

/// A group of backends with a common floor.
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

/// The reason why a window has to wait. The list of windows shows the text.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum BudgetExceeded<'a> {
    /// An earlier window, `first`, already waits for capacity of the group.
    #[error("{group}: behind {first}")]
    Queued { group: Group<'a>, first: &'a str },
    /// The capacity left in the group would be below its floor.
    #[error("{group}: {left:.2} of {listed:.2} left, floor {floor:.2}")]
    BelowFloor {
        group: Group<'a>,
        left: f64,
        listed: f64,
        floor: f64,
    },
}

/// The capacity of a group: of all listed backends, and of those that are available.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCapacity {
    listed: f64,
    available: f64,
}

/// The capacity that remains available in each group while windows take effect one after the other.
pub(super) struct RemainingCapacity<'a> {
    listed: &'a ListedBackends,
    budget: DisruptionBudget,
    in_maintenance: BTreeSet<&'a str>,
    capacities: BTreeMap<Group<'a>, GroupCapacity>,
    /// The groups that a window waits for, with its id. Later windows may not take capacity of them, so that the window
    /// cannot be starved by smaller ones.
    awaited: BTreeMap<Group<'a>, &'a str>,
}

impl<'a> RemainingCapacity<'a> {
    /// Creates the state in which only the backends `in_maintenance` are unavailable because of windows.
    pub(super) fn new(
        listed: &'a ListedBackends,
        budget: DisruptionBudget,
        in_maintenance: BTreeSet<&'a str>,
    ) -> RemainingCapacity<'a> {
        let mut remaining = RemainingCapacity {
            listed,
            budget,
            in_maintenance,
            capacities: BTreeMap::new(),
            awaited: BTreeMap::new(),
        };
        for (name, backend) in listed {
            let available = remaining.available(name, backend);
            for group in backend.groups() {
                let capacity = remaining.capacities.entry(group).or_default();
                capacity.listed += backend.listed_capacity();
                capacity.available += available;
            }
        }
        remaining
    }

    /// Takes a window's backends out of the available capacity if the budget allows it. To be called for one window
    /// after the other, in their order of precedence.
    ///
    /// # Errors
    /// The group whose capacity the window has to wait for.
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

    /// The available capacity that `backends` take from each of their groups. This includes groups from which they take
    /// nothing now because they are in maintenance or not available: these backends could return while the window is
    /// open, so the window has to wait for these groups as well.
    fn taken_by(&self, backends: &BTreeSet<&'a str>) -> BTreeMap<Group<'a>, f64> {
        let mut taken: BTreeMap<Group, f64> = BTreeMap::new();
        for name in backends {
            let Some(backend) = self.listed.get(*name) else {
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
