//! The backends as the list, operators and earlier processes name them.

use super::super::list::{Endpoint, Line, List};
use super::super::snapshot::Saved;
use super::state::{Known, State, Why};
use super::Host;
use shaletide::*;
use std::collections::{BTreeMap, BTreeSet};
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
    /// Takes a line of the list.
    fn listed(&mut self, line: Endpoint) -> Backend {
        let next = BackendId(self.backends.len() as u32);
        let id = *self.numbers.entry(line.name.clone()).or_insert(next);
        let entry = self.names.entry(&line.row, id);
        match self.backends.get_mut(id.0 as usize) {
            Some(b) => (b.address, b.entry) = (line.address, Some(entry.clone())),
            None => {
                // The module's lines speak of numbers.
                info!("backend {} is {} at {}", id.0, line.name, line.address);
                let (name, address, reasons) = (line.name, line.address, BTreeSet::new());
                self.backends.push(Known { name, address, entry: Some(entry.clone()), reasons });
            }
        }
        entry
    }

    /// Takes one that does not make sense, where its backend is known.
    fn unclear(&mut self, name: &str) -> Option<Backend> {
        let id = self.numbers.get(name)?;
        let entry = self.backends.get_mut(id.0 as usize)?.entry.as_mut()?;
        entry.state = BackendState::Draining;
        Some(entry.clone())
    }
}

impl Host {
    /// News of the list. Of several lines on one backend the last counts. One that is known and whose line does not
    /// make sense gets nothing new: whatever the line means, it does not say that the backend serves.
    pub fn members(self: &Rc<Self>, update: ListUpdate, list: &List) {
        let lines = list.lines();
        let mut backends = BTreeMap::new();
        {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
                let entries = s.backends.iter_mut().filter_map(|b| b.entry.as_mut());
                entries.for_each(|e| e.state = BackendState::Gone);
            }
            for line in lines {
                let entry = match line {
                    Line::Entry(e) => Some(s.listed(e)),
                    Line::Unclear(name) => s.unclear(&name),
                };
                if let Some(entry) = entry {
                    if update != ListUpdate::Cached {
                        debug!("backend {} is {:?}", entry.id.0, entry.state);
                    }
                    backends.insert(entry.id, entry);
                }
            }
            self.shut(s);
        }
        let backends = backends.into_values().collect();
        self.tell(Event::Members { update, backends });
        if matches!(update, ListUpdate::Full | ListUpdate::Changes) {
            self.listed.send_replace(true);
        }
    }

    /// A call to discovery failed. What the module said before, of when to call again, was of earlier ones.
    pub fn lost(self: &Rc<Self>) {
        std::pin::pin!(self.follow.notified()).as_mut().enable();
        self.members(ListUpdate::Lost, &List::default());
    }

    /// No connection is kept to a backend that is to get nothing new.
    fn shut(&self, s: &State) {
        let shut = s.backends.iter().enumerate().filter(|(_, b)| !b.open());
        self.pool.shut(shut.map(|(n, _)| BackendId(n as u32)).collect());
    }

    /// Whether the list ever held a backend of that name.
    pub fn listed_once(&self, name: &str) -> bool {
        self.state.borrow().numbers.contains_key(name)
    }

    /// Whether the backend is kept out for that reason, another or not.
    pub fn withdrawn(&self, name: &str, why: Why) -> bool {
        let s = self.state.borrow();
        s.numbers
            .get(name)
            .and_then(|id| s.backends.get(id.0 as usize))
            .is_some_and(|b| b.reasons.contains(&why))
    }

    /// Takes the backend out of use; false where none of that name was ever listed.
    pub fn withdraw(self: &Rc<Self>, name: &str, why: Why) -> bool {
        let known = self.listed_once(name);
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
            let next = BackendId(s.backends.len() as u32);
            let id = *s.numbers.entry(name.into()).or_insert(next);
            if id == next {
                info!("backend {} is {name}, not listed yet", id.0);
                let address = SocketAddr::from(([0, 0, 0, 0], 0));
                s.backends.push(Known { name: name.into(), address, entry: None, reasons: BTreeSet::new() });
            }
            let Some(known) = s.backends.get_mut(id.0 as usize) else { return };
            let first = known.reasons.is_empty();
            known.reasons.insert(why);
            if !first {
                return; // it is out already
            }
            self.shut(s);
            id
        };
        self.tell(Event::Withdraw { backend });
    }

    /// That reason is over. With the last one the backend is used again, as one that may have started as late as
    /// `since`. False, and nothing changes, where the reason did not hold.
    pub fn restore(self: &Rc<Self>, name: &str, why: Why, since: Time) -> bool {
        let held = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let known = s.numbers.get(name).and_then(|id| s.backends.get_mut(id.0 as usize));
            known.is_some_and(|b| b.reasons.remove(&why))
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
            let s = self.state.borrow();
            let Some(&id) = s.numbers.get(name) else { return };
            let reasons = s.backends.get(id.0 as usize).map(|b| b.reasons.clone()).unwrap_or_default();
            if !reasons.is_empty() {
                info!("{name} stays out: {reasons:?}");
                return;
            }
            self.shut(&s);
            id
        };
        self.tell(Event::Restore { backend, since });
    }

    /// Every backend that a list held, by what this proxy knows of it.
    pub fn roster(&self) -> Vec<RosterRow> {
        let s = self.state.borrow();
        let mut open: BTreeMap<BackendId, u32> = BTreeMap::new();
        s.attempts.values().for_each(|flight| *open.entry(flight.backend).or_default() += 1);
        let ready: BTreeMap<BackendId, f64> = s.balancer.readiness(self.clock.now()).collect();
        let row = |known: &Known| {
            let entry = known.entry.as_ref()?;
            Some(RosterRow {
                name: known.name.clone(),
                zone: s.names.zone_name(entry.zone).unwrap_or_default().into(),
                kind: s.names.kind_name(entry.kind).unwrap_or_default().into(),
                cell: entry.cell.0,
                listed: entry.state != BackendState::Gone,
                serving: entry.state == BackendState::Ready,
                ready: ready.get(&entry.id).copied().unwrap_or(0.0),
                by_hand: known.reasons.contains(&Why::Hand),
                open: open.get(&entry.id).copied().unwrap_or(0),
            })
        };
        s.backends.iter().filter_map(row).collect()
    }

    /// Until discovery has answered for the first time.
    pub async fn listed(&self) {
        let _ = self.listed.subscribe().wait_for(|heard| *heard).await;
    }

    /// What is worth keeping over a crash, under the names of kinds, classes and backends.
    pub fn recollect(&self) -> Saved {
        let s = self.state.borrow();
        let memory = s.balancer.recollect(self.clock.now());
        let backend = |id: BackendId| s.backends.get(id.0 as usize).map(|b| b.name.clone());
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
            overall: memory.overall,
            backends: memory.backends.iter().filter_map(|(b, m)| Some((backend(*b)?, *m))).collect(),
            withdrawn: s
                .backends
                .iter()
                .filter(|b| b.reasons.contains(&Why::Hand))
                .map(|b| b.name.clone())
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
            Memory {
                kinds: saved.kinds.iter().filter_map(|(n, m)| Some((s.names.kind(n)?, *m))).collect(),
                classes: saved.classes.iter().filter_map(|(n, m)| Some((s.names.class(n)?, *m))).collect(),
                overall: saved.overall,
                backends: saved.backends.iter().filter_map(|(n, m)| Some((*s.numbers.get(n)?, *m))).collect(),
            }
        };
        self.tell(Event::Recall { memory: Box::new(memory), age });
    }

    /// A shared verdict; one on a backend that no list named here is nothing to this proxy.
    pub fn heard(self: &Rc<Self>, name: &str, word: Heard) {
        let backend = self.state.borrow().numbers.get(name).copied();
        if let Some(backend) = backend {
            self.tell(Event::Heard(Heard { backend, ..word }));
        }
    }
}

#[cfg(test)]
mod tests;
