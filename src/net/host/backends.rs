//! The backends as the list, operators and earlier processes name them.

use super::super::list::List;
use super::super::snapshot::Saved;
use super::state::{Known, State};
use super::Host;
use shaletide::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, info};

impl Host {
    /// News of the list.
    pub fn members(self: &Rc<Self>, update: ListUpdate, list: &List) {
        let entries = list.entries();
        let mut backends = Vec::with_capacity(entries.len());
        {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
                s.backends.iter_mut().for_each(|b| b.state = BackendState::Gone);
            }
            for e in entries {
                let next = BackendId(s.backends.len() as u32);
                let id = *s.numbers.entry(e.name.clone()).or_insert(next);
                match s.backends.get_mut(id.0 as usize) {
                    Some(b) => (b.address, b.state) = (e.address, e.state),
                    None => {
                        // The module's lines speak of numbers.
                        info!("backend {} is {} at {}", id.0, e.name, e.address);
                        let (name, address, state) = (e.name, e.address, e.state);
                        s.backends.push(Known { name, address, state, withdrawn: false });
                    }
                }
                if update != ListUpdate::Cached {
                    debug!("backend {} is {:?} at {}", id.0, e.state, e.address);
                }
                backends.push(s.names.entry(&e.row, id));
            }
            self.shut(s);
        }
        self.tell(Event::Members { update, backends });
        if matches!(update, ListUpdate::Full | ListUpdate::Changes) {
            self.listed.send_replace(true);
        }
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

    /// Whether the backend is out by hand.
    pub fn withdrawn(&self, name: &str) -> bool {
        let s = self.state.borrow();
        s.numbers.get(name).and_then(|id| s.backends.get(id.0 as usize)).is_some_and(|b| b.withdrawn)
    }

    /// Takes the backend out of use; false where none of that name was ever listed.
    pub fn withdraw(self: &Rc<Self>, name: &str) -> bool {
        let known = self.listed_once(name);
        if known {
            self.withdraw_unheard(name);
        }
        known
    }

    /// The same for one that the list may name only later.
    pub fn withdraw_unheard(self: &Rc<Self>, name: &str) {
        let backend = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let next = BackendId(s.backends.len() as u32);
            let id = *s.numbers.entry(name.into()).or_insert(next);
            if id == next {
                info!("backend {} is {name}, not listed yet", id.0);
                let address = SocketAddr::from(([0, 0, 0, 0], 0));
                s.backends.push(Known {
                    name: name.into(),
                    address,
                    state: BackendState::Gone,
                    withdrawn: true,
                });
            }
            s.backends.get_mut(id.0 as usize).into_iter().for_each(|b| b.withdrawn = true);
            self.shut(s);
            id
        };
        self.tell(Event::Withdraw { backend });
    }

    /// Uses it again, as one that may have started as late as `since`.
    pub fn restore(self: &Rc<Self>, name: &str, since: Time) {
        let backend = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let Some(&id) = s.numbers.get(name) else { return };
            s.backends.get_mut(id.0 as usize).into_iter().for_each(|b| b.withdrawn = false);
            self.shut(s);
            id
        };
        self.tell(Event::Restore { backend, since });
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
            withdrawn: s.backends.iter().filter(|b| b.withdrawn).map(|b| b.name.clone()).collect(),
        }
    }

    /// Takes what an earlier process kept, `age` old: bans at once, the rest as the module sees fit. Names
    /// that this process does not know are left out.
    pub fn recall(self: &Rc<Self>, saved: Saved, age: Micros) {
        saved
            .withdrawn
            .iter()
            .filter(|name| !self.withdrawn(name))
            .for_each(|name| self.withdraw_unheard(name));
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
