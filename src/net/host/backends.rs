//! The backends as the list, operators and earlier processes name them.

use super::known::{Known, Why};
use super::state::State;
use super::Host;
use crate::net::discovery::endpoint_list::{Endpoint, Line, List, Pieces};
use crate::net::state::snapshot::Saved;
use meadowproxy::{
    Backend, BackendId, BackendState, EndpointUpdate, Event, LearnedState, Micros, PeerVerdict,
    Time,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info};

/// One backend that a list held, as this proxy sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterRow {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// The list in force holds it, whatever its state.
    pub listed: bool,
    /// It says that it serves, and not that it drains.
    pub serving: bool,
    /// The part of its capacity that is in use or could be: 0 for one that drains, is ejected or out, less than
    /// 1 for a cold one.
    pub ready: f64,
    pub by_hand: bool,
    /// Attempts of this proxy that are out there.
    pub open: u32,
}

impl State {
    /// The number that goes with the name, a new one where it has none.
    fn number(&mut self, name: &str, address: SocketAddr) -> BackendId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let id = BackendId(self.next);
        self.next += 1;
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), id);
        self.backends.push(Known::new(id, name, address));
        self.unlisted.insert(id);
        id
    }

    /// Takes a line of the list; whose line is another than before is `changed`.
    fn listed(&mut self, line: &Endpoint, changed: &mut Vec<BackendId>) -> Backend {
        let next = self.next;
        let id = self.number(&line.name, line.address);
        if id.0 == next {
            // The module's lines speak of numbers.
            info!("backend {} is {} at {}", id.0, line.name, line.address);
        }
        let entry = self.names.entry(&line.row, id);
        if let Some(known) = self.backends.get_mut(&id) {
            known.address = line.address;
            if known.entry.as_ref() != Some(&entry) {
                known.entry = Some(entry.clone());
                changed.push(id);
            }
        }
        entry
    }

    /// Takes one that does not make sense, where its backend is known.
    fn unclear(&mut self, name: &str, changed: &mut Vec<BackendId>) -> Option<Backend> {
        let id = self.numbers.get(name)?;
        changed.push(*id);
        let entry = self.backends.get_mut(id)?.entry.as_mut()?;
        entry.state = BackendState::Draining;
        Some(entry.clone())
    }

    /// What a whole list does not hold is gone. `held` is in the order of numbers.
    fn drop_absent(&mut self, held: &[Backend], changed: &mut Vec<BackendId>) {
        let mut held = held.iter().map(|b| b.id).peekable();
        for (id, known) in self.backends.iter_mut() {
            while held.next_if(|h| *h < id).is_some() {}
            let entry = known
                .entry
                .as_mut()
                .filter(|e| e.state != BackendState::Removed);
            if let Some(entry) = entry.filter(|_| held.peek() != Some(&id)) {
                entry.state = BackendState::Removed;
                changed.push(id);
            }
        }
    }
}

/// The entries in the order of numbers; of several on one backend the last.
fn last_of_each(mut entries: Vec<Backend>) -> Vec<Backend> {
    entries.reverse();
    entries.sort_by_key(|e| e.id);
    entries.dedup_by_key(|e| e.id);
    entries
}

impl Host {
    /// News of the list. Of several lines on one backend the last counts. One that is known and whose line does not
    /// make sense gets nothing new: whatever the line means, it does not say that the backend serves.
    pub fn members(self: &Rc<Self>, update: EndpointUpdate, list: &List) {
        self.take(update, &list.lines());
    }

    /// The same with the lines read before.
    pub fn take(self: &Rc<Self>, update: EndpointUpdate, lines: &Pieces) {
        let backends = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let mut changed = Vec::new();
            s.backends
                .reserve(lines.len().saturating_sub(s.backends.len()));
            let entry = |line: &Line| match line {
                Line::Entry(e) => Some(s.listed(e, &mut changed)),
                Line::Unclear(name) => s.unclear(name, &mut changed),
            };
            let backends = last_of_each(lines.iter().filter_map(entry).collect());
            if update != EndpointUpdate::Cached {
                backends
                    .iter()
                    .for_each(|b| debug!("backend {} is {:?}", b.id.0, b.state));
            }
            if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached) {
                s.drop_absent(&backends, &mut changed);
            }
            changed.into_iter().for_each(|id| self.shut(s, id));
            backends
        };
        self.tell(Event::EndpointsUpdated { update, backends });
        self.forget();
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Incremental) {
            self.listed.send_replace(true);
        }
    }

    /// A call to discovery failed. What the module said before, of when to call again, was of earlier ones.
    pub fn lost(self: &Rc<Self>) {
        std::pin::pin!(self.follow.notified()).as_mut().enable();
        self.members(EndpointUpdate::Failed, &List::default());
    }

    /// No connection is kept to a backend that is to get nothing new. Called after each change of its line or reasons.
    fn shut(&self, s: &mut State, id: BackendId) {
        let Some(known) = s.backends.get_mut(&id) else {
            return;
        };
        match (known.open(), known.shut) {
            (false, false) => self.pool.shut(id),
            (true, true) => self.pool.reopen(id),
            _ => {}
        }
        known.shut = !known.open();
        match known.state() {
            BackendState::Removed => s.unlisted.insert(id),
            _ => s.unlisted.remove(&id),
        };
    }

    /// Forgets what left the list, once no reason keeps it out, nothing is open there and the module remembers nothing
    /// of it. A name that comes back gets a new number.
    fn forget(&self) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        if s.unlisted.is_empty() {
            return;
        }
        let open: HashSet<BackendId> = s.attempts.values().map(|flight| flight.backend).collect();
        let (balancer, backends) = (&s.balancer, &mut s.backends);
        let over = |id: &BackendId| {
            let free = backends
                .get(id)
                .is_none_or(|known| known.reasons.is_empty());
            free && !open.contains(id) && !balancer.contains_backend(*id)
        };
        let over: Vec<BackendId> = s.unlisted.iter().copied().filter(over).collect();
        for id in &over {
            s.unlisted.remove(id);
            self.pool.forget(*id);
            debug!("backend {} is forgotten", id.0);
        }
        for known in s.backends.remove(&over) {
            s.numbers.remove(&known.name);
        }
    }

    /// Whether the list holds a backend of that name, or held one that is not forgotten.
    pub fn knows(&self, name: &str) -> bool {
        self.state.borrow().numbers.contains_key(name)
    }

    /// Whether the backend is kept out for that reason, another or not.
    pub fn withdrawn(&self, name: &str, why: Why) -> bool {
        let s = self.state.borrow();
        s.numbers
            .get(name)
            .and_then(|id| s.backends.get(id))
            .is_some_and(|b| b.reasons.contains(why))
    }

    /// Takes the backend out of use; false where none of that name is known.
    pub fn withdraw(self: &Rc<Self>, name: &str, why: Why) -> bool {
        let known = self.knows(name);
        if known {
            self.withdraw_unheard(name, why);
        }
        known
    }

    /// The same for one that the list may name only later.
    pub fn withdraw_unheard(self: &Rc<Self>, name: &str, why: Why) {
        let backend = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let next = s.next;
            let id = s.number(name, SocketAddr::from(([0, 0, 0, 0], 0)));
            if id.0 == next {
                info!("backend {} is {name}, not listed yet", id.0);
            }
            let Some(known) = s.backends.get_mut(&id) else {
                return;
            };
            let first = known.reasons.is_empty();
            known.reasons.insert(why);
            if !first {
                return; // it is out already
            }
            self.shut(s, id);
            id
        };
        self.tell(Event::BackendDisabled { backend });
    }

    /// That reason is over. With the last one the backend is used again, as one that may have started as late as
    /// `since`. False, and nothing changes, where the reason did not hold.
    pub fn restore(self: &Rc<Self>, name: &str, why: Why, since: Time) -> bool {
        let held = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let known = s.numbers.get(name).and_then(|id| s.backends.get_mut(id));
            known.is_some_and(|b| b.reasons.remove(why))
        };
        if held {
            self.returned(name, since);
        }
        held
    }

    /// It came back at `since` at the latest, here or from another process's ban: unless a reason holds, it is used
    /// as one that started then.
    pub fn returned(self: &Rc<Self>, name: &str, since: Time) {
        let backend = {
            let mut s = self.state.borrow_mut();
            let Some(&id) = s.numbers.get(name) else {
                return;
            };
            let reasons = s.backends.get(&id).map(|b| b.reasons).unwrap_or_default();
            if !reasons.is_empty() {
                info!("{name} stays out: {reasons:?}");
                return;
            }
            self.shut(&mut s, id);
            id
        };
        self.tell(Event::BackendEnabled { backend, since });
    }

    /// Every backend that a list held, by what this proxy knows of it.
    pub fn roster(&self) -> Vec<RosterRow> {
        let s = self.state.borrow();
        let mut open: BTreeMap<BackendId, u32> = BTreeMap::new();
        s.attempts
            .values()
            .for_each(|flight| *open.entry(flight.backend).or_default() += 1);
        let mut ready = s.balancer.readiness(self.clock.now()).peekable(); // in the order of numbers as well
        let row = |(id, known): (&BackendId, &Known)| {
            while ready.next_if(|r| r.0 < *id).is_some() {}
            let part = ready.next_if(|r| r.0 == *id).map_or(0.0, |r| r.1);
            let entry = known.entry.as_ref()?;
            Some(RosterRow {
                name: known.name.to_string(),
                zone: s.names.zone_name(entry.zone).unwrap_or_default().into(),
                kind: s.names.kind_name(entry.kind).unwrap_or_default().into(),
                cell: entry.cell.0,
                listed: entry.state != BackendState::Removed,
                serving: entry.state == BackendState::Ready,
                ready: part,
                by_hand: known.reasons.contains(Why::Hand),
                open: open.get(&entry.id).copied().unwrap_or(0),
            })
        };
        s.backends.iter().filter_map(row).collect()
    }

    /// Attempts of this proxy that are out at those of these that a list held.
    pub fn open_at(&self, names: &BTreeSet<String>) -> BTreeMap<String, u32> {
        if names.is_empty() {
            return BTreeMap::new();
        }
        let s = self.state.borrow();
        let mut open: BTreeMap<BackendId, u32> = BTreeMap::new();
        s.attempts
            .values()
            .for_each(|flight| *open.entry(flight.backend).or_default() += 1);
        let at = |name: &String| {
            let id = s.numbers.get(name.as_str())?;
            s.backends.get(id)?.entry.as_ref()?;
            Some((name.clone(), open.get(id).copied().unwrap_or(0)))
        };
        names.iter().filter_map(at).collect()
    }

    /// Until discovery has answered for the first time.
    pub async fn listed(&self) {
        let _ = self.listed.subscribe().wait_for(|heard| *heard).await;
    }

    /// What is worth keeping over a crash, under the names of kinds, classes and backends.
    pub fn learned_state(&self) -> Saved {
        let s = self.state.borrow();
        let memory = s.balancer.learned_state(self.clock.now());
        let backend = |id: BackendId| s.backends.get(&id).map(|b| b.name.to_string());
        Saved {
            kinds: memory
                .kinds
                .iter()
                .filter_map(|(k, m)| Some((s.names.kind_name(*k)?.into(), *m)))
                .collect(),
            classes: memory
                .classes
                .iter()
                .filter_map(|(c, m)| Some((s.names.class_name(*c)?.into(), *m)))
                .collect(),
            overall: memory.overall_latency,
            backends: memory
                .backends
                .iter()
                .filter_map(|(b, m)| Some((backend(*b)?, *m)))
                .collect(),
            withdrawn: s
                .backends
                .values()
                .filter(|b| b.reasons.contains(Why::Hand))
                .map(|b| b.name.to_string())
                .collect(),
        }
    }

    /// Takes what an earlier process kept, `age` old: bans at once, the rest as the module sees fit. Names
    /// that this process does not know are left out.
    pub fn recall(self: &Rc<Self>, saved: Saved, age: Micros) {
        saved
            .withdrawn
            .iter()
            .filter(|name| !self.withdrawn(name, Why::Hand))
            .for_each(|name| self.withdraw_unheard(name, Why::Hand));
        let memory = {
            let s = self.state.borrow();
            LearnedState {
                kinds: saved
                    .kinds
                    .iter()
                    .filter_map(|(n, m)| Some((s.names.kind(n)?, *m)))
                    .collect(),
                classes: saved
                    .classes
                    .iter()
                    .filter_map(|(n, m)| Some((s.names.class(n)?, *m)))
                    .collect(),
                overall_latency: saved.overall,
                backends: saved
                    .backends
                    .iter()
                    .filter_map(|(n, m)| Some((*s.numbers.get(n.as_str())?, *m)))
                    .collect(),
            }
        };
        self.tell(Event::StateRestored {
            state: Box::new(memory),
            age,
        });
    }

    /// A shared verdict; one on a backend that no list named here is nothing to this proxy.
    pub fn heard(self: &Rc<Self>, name: &str, word: PeerVerdict) {
        let backend = self.state.borrow().numbers.get(name).copied();
        if let Some(backend) = backend {
            self.tell(Event::VerdictReceived(PeerVerdict { backend, ..word }));
        }
    }
}

#[cfg(test)]
mod tests;
