//! A consistency check for debug builds: whether the derived values of the table agree with its records.

use super::{EndpointGroup, EndpointTable};
use std::collections::BTreeSet;

impl EndpointTable {
    /// Returns whether loads, groups, sets and sums agree with the records, except for outdated endpoints.
    pub fn is_consistent(&self) -> bool {
        let outdated: BTreeSet<u32> = self.outdated.iter().copied().collect();
        let are_endpoints_consistent = (0..self.len()).all(|index| {
            let is_current = self.is_load_current(index) && self.is_weight_current(index);
            let is_outdated = outdated.contains(&(index as u32));
            self.is_indexed_correctly(index)
                && self.has_correct_set_membership(index)
                && (is_current || is_outdated)
        });
        are_endpoints_consistent && self.are_sums_consistent() && self.is_sorted_by_address_hash()
    }

    fn is_indexed_correctly(&self, index: usize) -> bool {
        let entry = &self.records[index].entry;
        let load = &self.loads[index];
        let group = &self.groups[load.group_index as usize];
        entry.id == self.ids[index]
            && entry.hardware_class == load.hardware_class
            && entry.zone == load.zone
            && entry.address_hash == self.address_hashes[index]
            && group.hardware_class == load.hardware_class
            && self.zones[load.zone_index as usize] == load.zone
            && group.members[load.weight_index as usize] == index as u32
    }

    fn is_load_current(&self, index: usize) -> bool {
        let record = &self.records[index];
        let load = &self.loads[index];
        record.in_flight == load.in_flight
            && record.silent == load.silent
            && record.is_ejected() == load.ejected
            && self.is_available(record) == load.available
            && 1.0 - record.error_share == load.success_share
    }

    fn is_weight_current(&self, index: usize) -> bool {
        let load = &self.loads[index];
        let weight = self.groups[load.group_index as usize].weights[load.weight_index as usize];
        load.counted_in_flight == load.contending_in_flight() && weight == self.stored_weight(index)
    }

    fn has_correct_set_membership(&self, index: usize) -> bool {
        let load = &self.loads[index];
        let index = index as u32;
        self.with_in_flight.contains(&index) == (load.in_flight > 0)
            && self.ejected.contains(&index) == load.ejected
            && self.restricted.contains(&index) == load.restricted
    }

    fn are_sums_consistent(&self) -> bool {
        let counted = self
            .loads
            .iter()
            .map(|load| u64::from(load.counted_in_flight));
        let selectable = |group: &EndpointGroup| {
            let with_weight = group.weights.iter().filter(|weight| **weight > 0.0);
            group.selectable == with_weight.count()
        };
        counted.sum::<u64>() == self.in_flight && self.groups.iter().all(selectable)
    }

    fn is_sorted_by_address_hash(&self) -> bool {
        self.by_address_hash
            .iter()
            .map(|index| (self.address_hashes[*index as usize], *index))
            .is_sorted()
    }
}
