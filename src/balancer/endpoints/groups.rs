//! Groups of endpoints by hardware class, with the weights for a random selection among them.

use super::{EndpointTable, RandomSource};
use crate::interface::HardwareClassId;

/// The endpoints of one hardware class.
pub struct EndpointGroup {
    pub hardware_class: HardwareClassId,
    /// Table indices of the endpoints, in ascending order.
    pub(super) members: Vec<u32>,
    /// The selection weight of each member; 0 if it may not be selected.
    pub(super) weights: Vec<f64>,
    /// Number of members with a weight above 0.
    pub(super) selectable: usize,
}

impl EndpointGroup {
    fn new(hardware_class: HardwareClassId) -> EndpointGroup {
        EndpointGroup {
            hardware_class,
            members: Vec::new(),
            weights: Vec::new(),
            selectable: 0,
        }
    }

    /// Adds an endpoint with weight 0 and returns its index in `weights`.
    fn push(&mut self, member: u32) -> u32 {
        self.members.push(member);
        self.weights.push(0.0);
        self.weights.len() as u32 - 1
    }

    pub(super) fn set_weight(&mut self, place: u32, weight: f64) {
        let old = &mut self.weights[place as usize];
        self.selectable = self.selectable + usize::from(weight > 0.0) - usize::from(*old > 0.0);
        *old = weight;
    }

    /// Selects a member at random by weight and returns its table index.
    pub(super) fn select_member(&self, random: &mut RandomSource) -> Option<u32> {
        let place = random.choose_index(&self.weights)?;
        Some(self.members[place])
    }
}

impl EndpointTable {
    /// Rebuilds the groups, the zones and the order by address hash after endpoints were added, removed or moved.
    pub(super) fn regroup(&mut self) {
        self.sort_by_address_hash();
        self.groups = distinct(self.loads.iter().map(|load| load.hardware_class))
            .into_iter()
            .map(EndpointGroup::new)
            .collect();
        self.zones = distinct(self.loads.iter().map(|load| load.zone));
        self.assign_members();
        self.in_flight = 0;
        self.with_in_flight.clear();
        self.ejected.clear();
        self.restricted.clear();
        self.mark_all_outdated();
    }

    fn sort_by_address_hash(&mut self) {
        let hashes = &self.address_hashes;
        let ids = &self.ids;
        self.by_address_hash
            .sort_by_key(|index| (hashes[*index as usize], ids[*index as usize]));
    }

    fn assign_members(&mut self) {
        let mut group = 0;
        let mut zone = 0;
        for (index, load) in self.loads.iter_mut().enumerate() {
            if self.groups[group].hardware_class != load.hardware_class {
                group = self
                    .groups
                    .partition_point(|g| g.hardware_class < load.hardware_class);
            }
            if self.zones[zone] != load.zone {
                zone = self.zones.partition_point(|z| *z < load.zone);
            }
            load.group_index = group as u32;
            load.zone_index = zone as u32;
            load.weight_index = self.groups[group].push(index as u32);
            // The endpoint is not yet counted in the table's sums and sets, which are rebuilt.
            load.counted_in_flight = 0;
            load.in_flight = 0;
            load.ejected = false;
            load.restricted = false;
        }
    }
}

/// Returns the distinct values in ascending order.
fn distinct<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut distinct: Vec<T> = values.collect();
    distinct.sort_unstable();
    distinct.dedup();
    distinct
}
