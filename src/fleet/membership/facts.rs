//! Facts that proxies share, as foca's custom broadcasts: each is passed on while it is news and within its bound.

use super::member::{Clock, Member};
use super::wire::{fresh, Refused};
use crate::interface::{Micros, Verdict};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes of a backend's name that is passed on at most.
const MOST_NAME: usize = 200;
/// Verdicts remembered: two hundred backends, each found out by dozens.
const MOST: usize = 16_384;

/// One proxy's verdict on one backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// The proxy's advertised address.
    pub origin: SocketAddr,
    /// When it found this, wall time in microseconds since 1970: the fact's version too.
    pub born_us: u64,
    /// The backend's name in discovery's list.
    pub backend: String,
    /// What it found.
    pub verdict: Verdict,
}

impl Fact {
    /// Its bytes as a broadcast; `None` where the name is longer than is passed on.
    pub fn encode(&self) -> Option<Vec<u8>> {
        (self.backend.len() <= MOST_NAME)
            .then(|| postcard::to_stdvec(self).ok())
            .flatten()
    }
}

/// Of two facts on one backend from one proxy the later born one stays, and of all on one backend the newest few.
pub struct Key {
    of: (String, SocketAddr),
    born_us: u64,
    /// The oldest of the newest few on that backend.
    floor_us: u64,
    /// What was born before this is past its bound, on whatever backend.
    stale_us: u64,
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Key) -> bool {
        let later = self.of == other.of && self.born_us >= other.born_us;
        later
            || (self.of.0 == other.of.0 && other.born_us < self.floor_us)
            || other.born_us < self.stale_us
    }
}

/// Verdicts on one backend that are passed on, the newest: a proxy goes by two others' word, and by the newest for its
/// turn. The older ones change nothing for whoever heard these, and at the plan's size they are hundreds.
const PASSED_ON: usize = 3;

/// What was heard, and what of it is news.
#[derive(Default)]
pub struct Board {
    pub newest: HashMap<(String, SocketAddr), u64>,
    /// The newest few on each backend, by birth.
    passed_on: HashMap<String, Vec<(u64, SocketAddr)>>,
    /// Others' facts that have not been taken up yet.
    pub news: Vec<Fact>,
    /// Facts that came past their bound.
    pub stale: u64,
}

impl Board {
    /// Takes up a fact among the newest few on its backend; the birth of the oldest of them, once there are so many.
    fn floor(&mut self, fact: &Fact, stale_us: u64) -> u64 {
        let newest = self.passed_on.entry(fact.backend.clone()).or_default();
        newest.retain(|(born_us, origin)| *origin != fact.origin && *born_us >= stale_us);
        newest.push((fact.born_us, fact.origin));
        newest.sort_unstable_by(|a, b| b.cmp(a));
        newest.truncate(PASSED_ON);
        newest.get(PASSED_ON - 1).map_or(0, |oldest| oldest.0)
    }
}

/// foca's handler of facts.
pub struct Facts {
    pub board: Rc<RefCell<Board>>,
    pub own: SocketAddr,
    pub bound: Micros,
    pub clock: Clock,
}

impl BroadcastHandler<Member> for Facts {
    type Key = Key;
    type Error = Refused;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Member>,
    ) -> Result<Option<Key>, Refused> {
        let fact: Fact = postcard::from_bytes(data).map_err(Refused::Garbled)?;
        if fact.backend.len() > MOST_NAME {
            return Err(Refused::Oversized(fact.backend.len()));
        }
        let now_us = self.clock.wall_us();
        let mut board = self.board.borrow_mut();
        if fresh(fact.born_us, now_us, self.bound).is_err() {
            board.stale += 1;
            return Ok(None); // whoever passed it on had it in time: nothing is wrong with the datagram
        }
        let echo = fact.origin == self.own && sender.is_some();
        let of = (fact.backend.clone(), fact.origin);
        if echo
            || board
                .newest
                .get(&of)
                .is_some_and(|born| *born >= fact.born_us)
        {
            return Ok(None);
        }
        if board.newest.len() >= MOST {
            let bound = self.bound.0;
            board
                .newest
                .retain(|_, born| born.saturating_add(bound) >= now_us);
            board
                .passed_on
                .retain(|_, newest| newest.iter().any(|n| n.0.saturating_add(bound) >= now_us));
            if board.newest.len() >= MOST {
                return Ok(None); // a flood: what is known stays
            }
        }
        board.newest.insert(of.clone(), fact.born_us);
        let stale_us = now_us.saturating_sub(self.bound.0);
        let floor_us = board.floor(&fact, stale_us);
        let (own, born_us) = (sender.is_none(), fact.born_us);
        if !own {
            board.news.push(fact);
        }
        Ok((own || born_us >= floor_us).then_some(Key {
            of,
            born_us,
            floor_us,
            stale_us,
        }))
    }
}
