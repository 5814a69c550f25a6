//! Applies updates of the endpoint list, and reports the status of each backend in it.

use super::backend_directory::{BackendRecord, DisableReason};
use super::listed_names::NameHash;
use super::state::State;
use super::Host;
use crate::net::discovery::endpoint_list::{Endpoint, EntryChunks, List, ListEntry};
use meadowproxy::{Backend, BackendId, BackendState, EndpointUpdate, Event};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info};

/// The status of a backend that was in an endpoint list, as seen by this proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// Whether it is in the list in force, serving or draining.
    pub listed: bool,
    /// Whether the list says that it is serving rather than draining.
    pub serving: bool,
    /// The available part of its capacity, from 0 to 1: 0 while it drains or is ejected or disabled, less than 1 while
    /// it warms up.
    pub readiness: f64,
    /// Whether an operator disabled it.
    pub disabled_by_operator: bool,
    /// The number of attempts of this proxy in flight.
    pub in_flight: u32,
}

impl State {
    /// Returns the id of that name, or assigns a new one and adds a record with the address.
    pub(super) fn get_or_create_id(&mut self, name: &str, address: SocketAddr) -> BackendId {
        if let Some(id) = self.ids_by_name.get(name) {
            return *id;
        }
        let id = BackendId(self.next_backend_id);
        self.next_backend_id += 1;
        let name: Rc<str> = name.into();
        self.ids_by_name.insert(name.clone(), id);
        self.backends.push(BackendRecord::new(id, name, address));
        self.unlisted.insert(id);
        id
    }

    /// Applies an entry of the list. Adds its backend to `changed` if the entry differs from the previous one.
    fn apply_endpoint(&mut self, endpoint: &Endpoint, changed: &mut Vec<BackendId>) -> Backend {
        let next_id = self.next_backend_id;
        let id = self.get_or_create_id(&endpoint.name, endpoint.address);
        if id.0 == next_id {
            // The balancer's log lines contain ids only.
            info!(
                "backend {} is {} at {}",
                id.0, endpoint.name, endpoint.address
            );
        }
        let entry = self.names.backend_for(&endpoint.row, id);
        if let Some(record) = self.backends.get_mut(&id) {
            record.address = endpoint.address;
            if record.entry.is_none() {
                self.listed_names.add(NameHash::of(&endpoint.name));
            }
            if record.entry.as_ref() != Some(&entry) {
                record.entry = Some(entry.clone());
                changed.push(id);
            }
        }
        entry
    }

    /// Applies a malformed entry of which only the name could be read. A known backend is treated as draining, as the
    /// entry does not say that it is serving.
    fn apply_unreadable(&mut self, name: &str, changed: &mut Vec<BackendId>) -> Option<Backend> {
        let id = self.ids_by_name.get(name)?;
        changed.push(*id);
        let entry = self.backends.get_mut(id)?.entry.as_mut()?;
        entry.state = BackendState::Draining;
        Some(entry.clone())
    }

    /// Marks backends that a full list does not contain as removed. `listed` must be in the order of ids.
    fn remove_absent(&mut self, listed: &[Backend], changed: &mut Vec<BackendId>) {
        let mut listed = listed.iter().map(|backend| backend.id).peekable();
        for (id, record) in self.backends.iter_mut() {
            while listed.next_if(|listed_id| *listed_id < id).is_some() {}
            if listed.peek() == Some(&id) {
                continue;
            }
            let Some(entry) = record.entry.as_mut() else {
                continue;
            };
            if entry.state != BackendState::Removed {
                entry.state = BackendState::Removed;
                changed.push(id);
            }
        }
    }

    /// Returns the backends that are no longer listed, are not disabled, have no attempt in flight, and of which the
    /// balancer holds no state.
    fn unused_backends(&self) -> Vec<BackendId> {
        let in_use: HashSet<BackendId> = self
            .attempts
            .values()
            .map(|attempt| attempt.backend)
            .collect();
        let is_forgettable = |id: &BackendId| {
            let is_disabled = self
                .backends
                .get(id)
                .is_some_and(|record| !record.reasons.is_empty());
            !is_disabled && !in_use.contains(id) && !self.balancer.contains_backend(*id)
        };
        let unlisted = self.unlisted.iter().copied();
        unlisted.filter(is_forgettable).collect()
    }
}

/// Sorts entries by id. Of several entries for one backend only the last is kept.
fn last_entry_per_backend(mut entries: Vec<Backend>) -> Vec<Backend> {
    entries.reverse();
    entries.sort_by_key(|entry| entry.id);
    entries.dedup_by_key(|entry| entry.id);
    entries
}

impl Host {
    /// Parses and applies an update of the endpoint list, see [`Host::apply_endpoints`].
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointUpdate, list: &List) {
        self.apply_endpoints(update, &list.entries());
    }

    /// Applies an update of the endpoint list. Of several entries for one backend the last counts. A known backend
    /// whose entry is malformed gets no new requests.
    pub fn apply_endpoints(self: &Rc<Self>, update: EndpointUpdate, entries: &EntryChunks) {
        let backends = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let mut changed = Vec::new();
            let backends = apply_entries(s, entries, &mut changed);
            if update != EndpointUpdate::Cached {
                for backend in &backends {
                    debug!("backend {} is {:?}", backend.id.0, backend.state);
                }
            }
            if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached) {
                s.remove_absent(&backends, &mut changed);
            }
            for id in changed {
                self.backend_changed(s, id);
            }
            backends
        };
        self.handle_event(Event::EndpointsUpdated { update, backends });
        self.remove_unused_backends();
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Incremental) {
            self.list_received.send_replace(true);
        }
    }

    /// Tells the balancer that a call to discovery failed. A pending poll request is discarded, as it was made before
    /// this call failed.
    pub fn discovery_failed(self: &Rc<Self>) {
        std::pin::pin!(self.poll_request.notified())
            .as_mut()
            .enable();
        self.update_endpoints(EndpointUpdate::Failed, &List::default());
    }

    /// Waits until discovery has answered for the first time.
    pub async fn wait_for_discovery(&self) {
        let mut received = self.list_received.subscribe();
        let _ = received.wait_for(|received| *received).await;
    }

    /// Updates the pool and the set of unlisted backends after a change of the backend's entry or disable reasons: no
    /// idle connections are kept to a backend that gets no new requests.
    pub(super) fn backend_changed(&self, s: &mut State, id: BackendId) {
        let Some(record) = s.backends.get_mut(&id) else {
            return;
        };
        let is_usable = record.is_usable();
        if !is_usable && !record.is_pool_closed {
            self.pool.close_backend(id);
        }
        if is_usable && record.is_pool_closed {
            self.pool.reopen_backend(id);
        }
        record.is_pool_closed = !is_usable;
        if record.state() == BackendState::Removed {
            s.unlisted.insert(id);
        } else {
            s.unlisted.remove(&id);
        }
    }

    /// Removes the records of backends that are no longer needed. If such a name is listed again it gets a new id.
    /// [`Host::was_listed`] still knows the name.
    fn remove_unused_backends(&self) {
        let mut s = self.state.borrow_mut();
        if s.unlisted.is_empty() {
            return;
        }
        let forgettable = s.unused_backends();
        for id in &forgettable {
            s.unlisted.remove(id);
            self.pool.remove_backend(*id);
            debug!(
                "backend {} is removed, as it is no longer listed or in use",
                id.0
            );
        }
        for record in s.backends.remove(&forgettable) {
            s.ids_by_name.remove(&record.name);
            if record.entry.is_some() {
                s.listed_names.add(NameHash::of(&record.name)); // it may have been forgotten as one of the oldest
            }
        }
    }

    /// Returns whether an endpoint list contains the backend or contained it once, in this process or an earlier one.
    pub fn was_listed(&self, name: &str) -> bool {
        self.state.borrow().was_listed(name)
    }

    /// Remembers names that an earlier process had in its list.
    pub fn restore_listed_names(&self, names: &[NameHash]) {
        self.state.borrow_mut().listed_names.restore(names);
    }

    /// Returns the names that were listed for the first time since the last call.
    pub fn take_new_listed_names(&self) -> Vec<NameHash> {
        self.state.borrow_mut().listed_names.take_new()
    }

    /// Returns the status of every known backend that was in an endpoint list.
    pub fn backend_statuses(&self) -> Vec<BackendStatus> {
        let s = self.state.borrow();
        let in_flight = s.in_flight_by_backend();
        let mut readiness = s.balancer.slow_start_readiness(self.clock.now()).peekable(); // also in the order of ids
        let mut statuses = Vec::new();
        for (id, record) in s.backends.iter() {
            while readiness.next_if(|(ready_id, _)| ready_id < id).is_some() {}
            let ready = readiness.next_if(|(ready_id, _)| ready_id == id);
            let Some(entry) = &record.entry else {
                continue;
            };
            statuses.push(BackendStatus {
                name: record.name.to_string(),
                zone: s.names.zone_name(entry.zone).unwrap_or_default().into(),
                kind: s
                    .names
                    .kind_name(entry.hardware_class)
                    .unwrap_or_default()
                    .into(),
                cell: entry.cell.0,
                listed: entry.state != BackendState::Removed,
                serving: entry.state == BackendState::Ready,
                readiness: ready.map_or(0.0, |(_, part)| part),
                disabled_by_operator: record.reasons.contains(DisableReason::Operator),
                in_flight: in_flight.get(id).copied().unwrap_or(0),
            });
        }
        statuses
    }

    /// Returns the number of attempts of this proxy in flight at each of these backends, without those that were never
    /// in an endpoint list.
    pub fn in_flight_counts(&self, names: &BTreeSet<String>) -> BTreeMap<String, u32> {
        if names.is_empty() {
            return BTreeMap::new();
        }
        let s = self.state.borrow();
        let in_flight = s.in_flight_by_backend();
        let count_of = |name: &String| {
            let id = s.ids_by_name.get(name.as_str())?;
            s.backends.get(id)?.entry.as_ref()?;
            Some((name.clone(), in_flight.get(id).copied().unwrap_or(0)))
        };
        names.iter().filter_map(count_of).collect()
    }
}

/// Applies the entries of a list, and returns one per backend in the order of ids.
fn apply_entries(
    s: &mut State,
    entries: &EntryChunks,
    changed: &mut Vec<BackendId>,
) -> Vec<Backend> {
    let missing = entries.len().saturating_sub(s.backends.len());
    s.backends.reserve(missing);
    let take = |entry: &ListEntry| match entry {
        ListEntry::Endpoint(endpoint) => Some(s.apply_endpoint(endpoint, changed)),
        ListEntry::Unreadable(name) => s.apply_unreadable(name, changed),
    };
    last_entry_per_backend(entries.iter().filter_map(take).collect())
}

#[cfg(test)]
mod tests;
