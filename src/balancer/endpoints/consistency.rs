//! A check for debug builds: whether the derived parts of the table agree with its records.

use super::{EndpointGroup, EndpointTable};
use std::collections::BTreeSet;

impl EndpointTable {
    /// Whether loads, groups, sets and sums say what the records do, but for records that are to be read again.
    pub fn is_consistent(&self) -> bool {
        let outdated: BTreeSet<u32> = self.outdated.iter().copied().collect();
        let are_endpoints_consistent = (0..self.len()).all(|at| {
            let is_current = self.is_load_current(at) && self.is_weight_current(at);
            let is_outdated = outdated.contains(&(at as u32));
            self.is_placed(at) && self.is_in_its_sets(at) && (is_current || is_outdated)
        });
        are_endpoints_consistent && self.are_sums_consistent() && self.is_sorted_by_address_hash()
    }

    fn is_placed(&self, at: usize) -> bool {
        let entry = &self.records[at].entry;
        let load = &self.loads[at];
        let group = &self.groups[load.group_index as usize];
        entry.id == self.ids[at]
            && entry.kind == load.kind
            && entry.zone == load.zone
            && entry.address_hash == self.address_hashes[at]
            && group.kind == load.kind
            && self.zones[load.zone_index as usize] == load.zone
            && group.members[load.weight_index as usize] == at as u32
    }

    fn is_load_current(&self, at: usize) -> bool {
        let record = &self.records[at];
        let load = &self.loads[at];
        record.in_flight == load.in_flight
            && record.silent == load.silent
            && record.is_ejected() == load.ejected
            && self.is_available(record) == load.available
            && 1.0 - record.error_share == load.success_share
    }

    fn is_weight_current(&self, at: usize) -> bool {
        let load = &self.loads[at];
        let weight = self.groups[load.group_index as usize].weights[load.weight_index as usize];
        load.counted_in_flight == load.contending_in_flight()
            && weight == self.weight_without_time(at)
    }

    fn is_in_its_sets(&self, at: usize) -> bool {
        let load = &self.loads[at];
        let at = at as u32;
        self.with_in_flight.contains(&at) == (load.in_flight > 0)
            && self.ejected.contains(&at) == load.ejected
            && self.restricted.contains(&at) == load.restricted
    }

    fn are_sums_consistent(&self) -> bool {
        let counted = self
            .loads
            .iter()
            .map(|load| u64::from(load.counted_in_flight));
        let drawable = |group: &EndpointGroup| {
            let with_weight = group.weights.iter().filter(|weight| **weight > 0.0);
            group.drawable == with_weight.count()
        };
        counted.sum::<u64>() == self.in_flight && self.groups.iter().all(drawable)
    }

    fn is_sorted_by_address_hash(&self) -> bool {
        self.by_address_hash
            .iter()
            .map(|at| (self.address_hashes[*at as usize], *at))
            .is_sorted()
    }
}
