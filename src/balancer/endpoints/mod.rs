//! The endpoint table: a record for each endpoint, and columns of derived values for passes over all endpoints.
//!
//! The columns are sorted by id. Sums over endpoints are computed in this order, as floating-point rounding, and thus
//! the balancer's decisions, depend on it. The table contains no load-balancing logic.
//!
//! A change to a record marks its endpoint as outdated; [`EndpointTable::refresh`] updates the derived values.

mod consistency;
mod groups;
mod load;
mod record;
mod update;

pub(super) use groups::EndpointGroup;
pub(super) use load::{EndpointLoad, ProxyPosition};
pub(super) use record::{EndpointRecord, LatestPeerVerdict, PeerEjection};

use super::random::RandomSource;
use crate::interface::{BackendId, BackendState, Config, HardwareClassId, Micros, Time, ZoneId};
use load::selection_weight;
use std::collections::BTreeSet;

/// All known endpoints.
#[derive(Default)]
pub(super) struct EndpointTable {
    ids: Vec<BackendId>,
    records: Vec<EndpointRecord>,
    pub loads: Vec<EndpointLoad>,
    /// Each endpoint's share of this proxy's traffic.
    pub own_traffic_share: Vec<f64>,
    /// Each endpoint's share of this proxy's subset of its hardware class.
    pub subset_share: Vec<f64>,
    address_hashes: Vec<u64>,
    /// Indices of all endpoints sorted by address hash, which is the same order on all proxies.
    pub by_address_hash: Vec<u32>,
    /// The hardware classes that have endpoints, sorted by id.
    pub groups: Vec<EndpointGroup>,
    /// The zones that have endpoints, sorted by id.
    pub zones: Vec<ZoneId>,
    /// Endpoints disabled by operators, regardless of the endpoint list and health checks.
    disabled: BTreeSet<BackendId>,
    /// Endpoints whose record may have changed since their load was derived from it.
    outdated: Vec<u32>,
    /// Endpoints with attempts in flight.
    pub with_in_flight: BTreeSet<u32>,
    pub ejected: BTreeSet<u32>,
    /// Endpoints whose weight may change with time alone, because of slow start or a recent overload.
    pub restricted: BTreeSet<u32>,
    /// Endpoints that were silent at the last check.
    silent: Vec<BackendId>,
    /// Endpoints removed from the list whose records are still needed.
    removed: Vec<BackendId>,
    /// Number of attempts in flight at endpoints in use.
    in_flight: u64,
    /// The proxy position for which rounding offsets were last assigned.
    offsets_assigned_for: ProxyPosition,
}

impl EndpointTable {
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns the table index of the endpoint.
    pub fn position(&self, id: BackendId) -> Option<usize> {
        self.ids.binary_search(&id).ok()
    }

    pub fn id(&self, index: usize) -> BackendId {
        self.ids[index]
    }

    pub fn record_at(&self, index: usize) -> &EndpointRecord {
        &self.records[index]
    }

    pub fn get(&self, id: BackendId) -> Option<&EndpointRecord> {
        self.position(id).map(|index| &self.records[index])
    }

    /// Returns the record for a change and marks the endpoint as outdated.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut EndpointRecord> {
        self.position(id).map(|index| self.record_at_mut(index))
    }

    fn record_at_mut(&mut self, index: usize) -> &mut EndpointRecord {
        self.outdated.push(index as u32);
        &mut self.records[index]
    }

    pub fn records(&self) -> impl Iterator<Item = (BackendId, &EndpointRecord)> {
        self.ids.iter().copied().zip(self.records.iter())
    }

    pub fn loads_and_records(
        &mut self,
    ) -> impl Iterator<Item = (&mut EndpointLoad, &EndpointRecord)> {
        self.loads.iter_mut().zip(self.records.iter())
    }

    /// Returns the index of the hardware class's group, if the class has endpoints.
    pub fn group_index(&self, hardware_class: HardwareClassId) -> Option<usize> {
        self.groups
            .binary_search_by_key(&hardware_class, |group| group.hardware_class)
            .ok()
    }

    /// Returns whether the endpoint is listed as ready and not disabled by operators.
    pub fn is_available(&self, record: &EndpointRecord) -> bool {
        record.entry.state == BackendState::Ready && !self.disabled.contains(&record.entry.id)
    }

    /// Takes an endpoint out of use until the traffic split is next solved.
    pub fn suspend(&mut self, id: BackendId) {
        if let Some(index) = self.position(id) {
            self.loads[index].readiness = 0.0;
            self.outdated.push(index as u32);
        }
    }

    /// Resets an endpoint, except for its list entry, its attempts in flight and its recent work.
    fn reset(&mut self, id: BackendId) {
        if let Some(index) = self.position(id) {
            self.record_at_mut(index).reset();
            self.loads[index].reset_solution();
            self.own_traffic_share[index] = 0.0;
            self.subset_share[index] = 0.0;
        }
    }

    /// Disables the endpoint on behalf of an operator.
    pub fn disable(&mut self, id: BackendId) {
        self.disabled.insert(id);
        self.suspend(id);
    }

    /// Enables the endpoint on behalf of an operator. Its slow start begins at `enabled_at`.
    pub fn enable(&mut self, id: BackendId, enabled_at: Time) {
        self.disabled.remove(&id);
        self.reset(id);
        if let Some(record) = self.get_mut(id) {
            record.faults_mut().enabled_at = Some(enabled_at);
        }
    }

    /// Marks exactly these endpoints as silent.
    pub fn set_silent(&mut self, silent: Vec<BackendId>) {
        for id in std::mem::take(&mut self.silent) {
            self.mark_silent(id, false);
        }
        for id in &silent {
            self.mark_silent(*id, true);
        }
        self.silent = silent;
    }

    fn mark_silent(&mut self, id: BackendId, silent: bool) {
        if let Some(record) = self.get_mut(id) {
            record.silent = silent;
        }
    }

    /// Returns the number of attempts in flight at endpoints in use.
    pub fn in_flight(&mut self, now: Time, config: &Config) -> f64 {
        self.refresh(now, config);
        self.in_flight as f64
    }

    /// Assigns rounding offsets: to all endpoints if the proxy's position changed, otherwise to those without one.
    pub fn assign_rounding_offsets(&mut self, position: ProxyPosition) {
        let has_changed = self.offsets_assigned_for != position;
        self.offsets_assigned_for = position;
        for (load, address_hash) in self.loads.iter_mut().zip(&self.address_hashes) {
            if has_changed || load.rounding_offset == 0.0 {
                load.rounding_offset = position.rounding_offset(*address_hash);
            }
        }
    }

    /// Marks all endpoints as outdated, after a change of the configuration that their loads depend on.
    pub fn mark_all_outdated(&mut self) {
        self.outdated = (0..self.len() as u32).collect();
    }

    /// Updates the loads and weights of outdated endpoints.
    pub fn refresh(&mut self, now: Time, config: &Config) {
        while let Some(index) = self.outdated.pop() {
            self.refresh_load(index as usize, config);
            self.update_weight(index as usize, now);
        }
    }

    /// Updates all weights after the traffic split was solved.
    pub fn update_weights(&mut self, now: Time) {
        for index in 0..self.len() {
            self.update_weight(index, now);
        }
    }

    /// Derives the load of an endpoint from its record.
    fn refresh_load(&mut self, index: usize, config: &Config) {
        let record = &self.records[index];
        let available = self.is_available(record);
        let ejected = record.is_ejected();
        let load = &mut self.loads[index];
        load.success_share = 1.0 - record.error_share;
        load.silent = record.silent;
        load.available = available;
        let began_at = record.slow_start_began_at();
        let duration = Micros(config.slow_start_duration.0.max(1));
        load.slow_start_ends_at = began_at.map_or(Time(0), |began_at| began_at + duration);
        let past_window_at = began_at.map_or(Time(0), |_| {
            load.slow_start_ends_at + config.overload_window
        });
        load.unrestricted_at = record.faults().overloaded_until.max(past_window_at);
        let index = index as u32;
        let is_busy = record.in_flight > 0;
        set_membership(&mut self.with_in_flight, index, load.in_flight > 0, is_busy);
        set_membership(&mut self.ejected, index, load.ejected, ejected);
        load.in_flight = record.in_flight;
        load.ejected = ejected;
    }

    /// Updates the sums, sets and weight that depend on the load of an endpoint.
    fn update_weight(&mut self, index: usize, now: Time) {
        let load = &mut self.loads[index];
        let in_flight = load.contending_in_flight();
        self.in_flight = self.in_flight + u64::from(in_flight) - u64::from(load.counted_in_flight);
        load.counted_in_flight = in_flight;
        let restricted = now < load.unrestricted_at;
        set_membership(
            &mut self.restricted,
            index as u32,
            load.restricted,
            restricted,
        );
        load.restricted = restricted;
        self.set_weight(index, self.stored_weight(index));
    }

    /// Returns the stored weight of an endpoint: 0 if it is full, or if it is restricted, as its weight then depends on
    /// the time of the selection.
    fn stored_weight(&self, index: usize) -> f64 {
        if !self.loads[index].restricted && self.has_capacity(index, false) {
            self.weight(index)
        } else {
            0.0
        }
    }

    /// Returns whether the endpoint has capacity for another attempt, see [`EndpointLoad::has_capacity`].
    pub fn has_capacity(&self, index: usize, half_only: bool) -> bool {
        self.loads[index].has_capacity(half_only)
    }

    /// Returns the weight of a selectable endpoint: its share of the subset, plus a tiny weight as a last resort.
    pub fn weight(&self, index: usize) -> f64 {
        selection_weight(self.subset_share[index], self.own_traffic_share[index])
    }

    fn set_weight(&mut self, index: usize, weight: f64) {
        let load = &self.loads[index];
        self.groups[load.group_index as usize].set_weight(load.weight_index, weight);
    }

    /// Sets the weight of an endpoint for the next selection only.
    pub fn override_weight(&mut self, index: usize, weight: f64) {
        self.set_weight(index, weight);
        self.outdated.push(index as u32);
    }

    /// Returns the index and hardware class of each group with a selectable endpoint.
    pub fn selectable_hardware_classes(
        &self,
    ) -> impl Iterator<Item = (usize, HardwareClassId)> + '_ {
        self.groups
            .iter()
            .enumerate()
            .filter(|(_, group)| group.selectable > 0)
            .map(|(index, group)| (index, group.hardware_class))
    }

    /// Selects an endpoint of the group at random by weight.
    pub fn select_endpoint(&self, group: usize, random: &mut RandomSource) -> Option<BackendId> {
        let index = self.groups[group].select_member(random)?;
        Some(self.ids[index as usize])
    }
}

/// Adds an index to a set or removes it from the set, if its membership changed.
fn set_membership(set: &mut BTreeSet<u32>, index: u32, was_member: bool, is_member: bool) {
    if is_member && !was_member {
        set.insert(index);
    } else if was_member && !is_member {
        set.remove(&index);
    }
}
