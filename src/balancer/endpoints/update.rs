//! Applies updates of the endpoint list to the endpoint table.

use super::{EndpointLoad, EndpointRecord, EndpointTable};
use crate::interface::{Backend, BackendId, BackendState};

/// The result of updating the known endpoints from a list.
struct UpdatedEntries {
    /// Entries of endpoints that are not in the table.
    unknown: Vec<Backend>,
    /// Whether the hardware class, zone or address of any endpoint changed.
    moved: bool,
}

impl EndpointTable {
    /// Applies the entries of a list. Endpoints that a `complete` list omits are marked as removed. Then drops removed
    /// endpoints, except for those that `keep` selects.
    pub fn apply_update(
        &mut self,
        complete: bool,
        list: Vec<Backend>,
        keep: impl Fn(&EndpointRecord) -> bool,
    ) {
        if complete {
            self.mark_unlisted_removed(&list);
        }
        let UpdatedEntries { unknown, moved } = self.update_known(list);
        let added = newest_entries(unknown);
        let dropped = self.take_removed(keep);
        if moved || !dropped.is_empty() || !added.is_empty() {
            self.drop_endpoints(&dropped);
            self.add(added);
            self.regroup();
        }
    }

    fn mark_unlisted_removed(&mut self, list: &[Backend]) {
        let mut listed: Vec<BackendId> = list.iter().map(|entry| entry.id).collect();
        listed.sort_unstable();
        let mut listed = listed.into_iter().peekable();
        for index in 0..self.len() {
            let id = self.ids[index];
            while listed.next_if(|next| *next < id).is_some() {}
            let is_listed = listed.peek() == Some(&id);
            if !is_listed && self.records[index].entry.state != BackendState::Removed {
                self.record_at_mut(index).entry.state = BackendState::Removed;
                self.removed.push(id);
            }
        }
    }

    fn update_known(&mut self, list: Vec<Backend>) -> UpdatedEntries {
        let mut updated = UpdatedEntries {
            unknown: Vec::new(),
            moved: false,
        };
        let mut next = 0; // most lists are sorted by id
        for entry in list {
            let index = match self.ids.get(next) {
                Some(id) if *id == entry.id => Some(next),
                _ => self.position(entry.id),
            };
            if let Some(index) = index {
                updated.moved |= self.update_entry(index, entry);
                next = index + 1;
            } else {
                updated.unknown.push(entry);
            }
        }
        updated
    }

    /// Replaces the entry of an endpoint. Returns whether its hardware class, zone or address changed.
    fn update_entry(&mut self, index: usize, entry: Backend) -> bool {
        if self.records[index].entry == entry {
            return false;
        }
        if self.records[index].entry.started_at != entry.started_at {
            // A restarted process shares only its address with the old one.
            self.reset(entry.id);
        }
        if entry.state == BackendState::Removed {
            self.removed.push(entry.id);
        }
        let load = &mut self.loads[index];
        let readdressed = self.address_hashes[index] != entry.address_hash;
        let moved =
            readdressed || load.hardware_class != entry.hardware_class || load.zone != entry.zone;
        if readdressed {
            load.rounding_offset = 0.0;
        }
        load.hardware_class = entry.hardware_class;
        load.zone = entry.zone;
        self.address_hashes[index] = entry.address_hash;
        self.record_at_mut(index).entry = entry;
        moved
    }

    /// Returns the indices of the removed endpoints that need not be kept.
    fn take_removed(&mut self, keep: impl Fn(&EndpointRecord) -> bool) -> Vec<usize> {
        let mut kept = Vec::new();
        let mut dropped = Vec::new();
        for id in std::mem::take(&mut self.removed) {
            let Some(index) = self.position(id) else {
                continue;
            };
            let record = &self.records[index];
            if record.entry.state != BackendState::Removed {
                continue;
            }
            if keep(record) {
                kept.push(id);
            } else {
                dropped.push(index);
            }
        }
        kept.sort_unstable();
        kept.dedup();
        self.removed = kept;
        dropped
    }

    fn drop_endpoints(&mut self, dropped: &[usize]) {
        if dropped.is_empty() {
            return;
        }
        let mut is_kept = vec![true; self.len()];
        for index in dropped {
            is_kept[*index] = false;
        }
        let new_positions = positions_after_removal(&is_kept);
        retain_marked(&mut self.ids, &is_kept);
        retain_marked(&mut self.records, &is_kept);
        retain_marked(&mut self.loads, &is_kept);
        retain_marked(&mut self.own_traffic_share, &is_kept);
        retain_marked(&mut self.subset_share, &is_kept);
        retain_marked(&mut self.address_hashes, &is_kept);
        self.by_address_hash
            .retain(|index| is_kept[*index as usize]);
        for index in &mut self.by_address_hash {
            *index = new_positions[*index as usize];
        }
    }

    fn add(&mut self, added: Vec<Backend>) {
        let last = self.ids.last().copied();
        let appends_in_order = added.first().map(|entry| entry.id) > last;
        self.reserve_exactly_enough(added.len());
        for entry in added {
            self.by_address_hash.push(self.ids.len() as u32);
            self.ids.push(entry.id);
            self.address_hashes.push(entry.address_hash);
            self.loads
                .push(EndpointLoad::new(entry.hardware_class, entry.zone));
            self.own_traffic_share.push(0.0);
            self.subset_share.push(0.0);
            self.records.push(EndpointRecord::new(entry));
        }
        if !appends_in_order {
            self.sort_by_id();
        }
    }

    /// Reserves the memory for all added endpoints at once. Growth by push would take up to twice as much memory when a
    /// whole fleet is added.
    fn reserve_exactly_enough(&mut self, added: usize) {
        self.ids.reserve(added);
        self.records.reserve(added);
        self.loads.reserve(added);
        self.own_traffic_share.reserve(added);
        self.subset_share.reserve(added);
        self.address_hashes.reserve(added);
        self.by_address_hash.reserve(added);
    }

    fn sort_by_id(&mut self) {
        let mut old_positions: Vec<usize> = (0..self.len()).collect();
        old_positions.sort_by_key(|index| self.ids[*index]);
        let mut records: Vec<Option<EndpointRecord>> = std::mem::take(&mut self.records)
            .into_iter()
            .map(Some)
            .collect();
        self.records = old_positions
            .iter()
            .filter_map(|index| records[*index].take())
            .collect();
        reorder(&mut self.ids, &old_positions);
        reorder(&mut self.loads, &old_positions);
        reorder(&mut self.own_traffic_share, &old_positions);
        reorder(&mut self.subset_share, &old_positions);
        reorder(&mut self.address_hashes, &old_positions);
        self.by_address_hash = (0..self.len() as u32).collect();
    }
}

/// Returns the last entry of each endpoint, sorted by id, without removed endpoints.
fn newest_entries(mut entries: Vec<Backend>) -> Vec<Backend> {
    entries.sort_by_key(|entry| entry.id);
    entries.dedup_by(|later, earlier| {
        let same = later.id == earlier.id;
        if same {
            std::mem::swap(later, earlier);
        }
        same
    });
    entries.retain(|entry| entry.state != BackendState::Removed);
    entries
}

/// Returns, for each old position, the new one. For a dropped item that is the position of the next kept one.
fn positions_after_removal(is_kept: &[bool]) -> Vec<u32> {
    let mut next = 0;
    let mut positions = Vec::with_capacity(is_kept.len());
    for is_kept in is_kept {
        positions.push(next);
        next += u32::from(*is_kept);
    }
    positions
}

fn retain_marked<T>(column: &mut Vec<T>, is_kept: &[bool]) {
    let mut is_kept = is_kept.iter();
    column.retain(|_| is_kept.next().is_some_and(|is_kept| *is_kept));
}

fn reorder<T: Copy>(column: &mut Vec<T>, old_positions: &[usize]) {
    *column = old_positions.iter().map(|index| column[*index]).collect();
}
