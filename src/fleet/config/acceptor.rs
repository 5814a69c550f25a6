//! A voter's part: what it promised and what it keeps, in memory only.
//!
//! One that starts has forgotten both. It is silent for as long as a lease's grant lives, so that no round counts an answer
//! of its former life and one of this. Then it asks the other voters, and takes part once a majority of all voters, itself
//! not among them, told it what they remember: that majority shares a voter with every one that its former life
//! completed. Where a majority has forgotten, the answers of all others do: nobody alive knows more. As what
//! is lost may have had numbers, none up to the wall clock in milliseconds is given then.

use super::message::{Memory, Paxos};
use super::{Change, MOST_NUMBER};
use crate::fleet::lease::{Rules, Token};
use crate::interface::{Micros, Time};
use std::collections::BTreeMap;

/// A copy that is not at its version by then asks again which one that is.
const REACHED: Micros = Micros(60_000_000);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// It says nothing until then.
    Silent { until: Time },
    /// It asks the others since then; from each place whether it remembers, and what.
    Asking {
        since: Time,
        known: BTreeMap<usize, (bool, Memory)>,
    },
    /// It knows what it has to, and its copy is on the way to that version, since then.
    Reaching { version: u64, since: Time },
    /// It takes part.
    Voting,
}

/// One voter's memory of the configuration's duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    rules: Rules,
    /// Its place among the voters.
    place: usize,
    /// The question that is open, or the last one.
    nonce: u64,
    state: State,
    promised: Token,
    accepted: Option<(Token, Change)>,
    floor: u64,
}

impl Acceptor {
    /// A voter that has just started and remembers nothing. `place`: its own among the voters, from 0; `nonce` is drawn at random
    /// at each start, so that no answer to a former life is taken for one to this.
    pub fn new(rules: Rules, place: usize, nonce: u64, now: Time) -> Acceptor {
        let state = State::Silent {
            until: now + rules.grant_duration(),
        };
        let (promised, accepted, floor) = Default::default();
        Acceptor {
            rules,
            place,
            nonce,
            state,
            promised,
            accepted,
            floor,
        }
    }

    /// Whether it takes part; else it is silent or recovers.
    pub fn votes(&self) -> bool {
        self.state == State::Voting
    }

    /// The number of the change that it keeps and does not know to be decided.
    pub fn keeps(&self) -> Option<u64> {
        self.accepted.as_ref().map(|(_, change)| change.number)
    }

    /// The version that its copy has to reach before it takes part.
    pub fn reaching(&self) -> Option<u64> {
        match self.state {
            State::Reaching { version, .. } => Some(version),
            _ => None,
        }
    }

    /// The places of the voters that have not answered it, while it asks.
    pub fn unanswered(&self) -> Vec<usize> {
        let State::Asking { known, .. } = &self.state else {
            return Vec::new();
        };
        (0..self.rules.voters())
            .filter(|place| *place != self.place && !known.contains_key(place))
            .collect()
    }

    /// Lets time pass. `wall_ms`: the wall clock in milliseconds since 1970; `version`: of this proxy's copy. What is put into
    /// `out` goes to every other voter. To be called each tenth of a second or so.
    pub fn tick(&mut self, now: Time, wall_ms: u64, version: u64, out: &mut Vec<Paxos>) {
        self.settle(version);
        let ask = match &self.state {
            State::Silent { until } => now >= *until,
            // Answers count together only if they came within one round's time.
            State::Asking { since, .. } => now - *since >= self.rules.bid_timeout(),
            // Whoever told of that version may have forgotten it since, and nobody else have it.
            State::Reaching { since, .. } => now - *since >= REACHED,
            State::Voting => false,
        };
        if ask {
            self.nonce = self.nonce.wrapping_add(1);
            self.state = State::Asking {
                since: now,
                known: BTreeMap::new(),
            };
            out.push(Paxos::Recover { nonce: self.nonce });
        }
        self.recover(now, wall_ms, version);
    }

    /// Takes a holder's message or another voter's question and gives the answer to it, if there is one.
    pub fn handle(&mut self, message: Paxos, version: u64) -> Option<Paxos> {
        self.settle(version);
        match message {
            Paxos::Recover { nonce } if !matches!(self.state, State::Silent { .. }) => {
                Some(Paxos::Known {
                    nonce,
                    memory: self.memory(version),
                    remembers: self.votes(),
                })
            }
            Paxos::Prepare { token, round } if self.votes() => {
                Some(self.prepare(token, round, version))
            }
            Paxos::Accept {
                token,
                round,
                change,
            } if self.votes() => self.accept(token, round, change, version),
            _ => None,
        }
    }

    /// Takes another voter's answer to its own question.
    pub fn known(
        &mut self,
        now: Time,
        wall_ms: u64,
        version: u64,
        from: usize,
        nonce: u64,
        (remembers, memory): (bool, Memory),
    ) {
        let State::Asking { since, known } = &mut self.state else {
            return;
        };
        let other = from < self.rules.voters() && from != self.place;
        if other && nonce == self.nonce && now - *since < self.rules.bid_timeout() {
            known.insert(from, (remembers, memory));
            self.recover(now, wall_ms, version);
        }
    }

    fn memory(&self, version: u64) -> Memory {
        let (promised, accepted, floor) = (self.promised, self.accepted.clone(), self.floor);
        Memory {
            promised,
            version,
            accepted,
            floor,
        }
    }

    fn prepare(&mut self, token: Token, round: u32, version: u64) -> Paxos {
        if token < self.promised {
            return Paxos::Refused {
                token,
                highest: self.promised,
            };
        }
        self.promised = token;
        let Memory {
            accepted, floor, ..
        } = self.memory(version);
        Paxos::Promise {
            token,
            round,
            version,
            accepted,
            floor,
        }
    }

    fn accept(&mut self, token: Token, round: u32, change: Change, version: u64) -> Option<Paxos> {
        if token < self.promised {
            return Some(Paxos::Refused {
                token,
                highest: self.promised,
            });
        }
        self.promised = token;
        if change.after > version {
            return Some(Paxos::Behind {
                token,
                round,
                version,
            });
        }
        if change.after < version {
            return None; // what follows that version is decided, and was heard of here
        }
        if change.number <= self.floor {
            // A holder that learned what there is before a majority forgot may give a number again. Under another token it
            // learns anew.
            self.promised = token.successor();
            return Some(Paxos::Refused {
                token,
                highest: self.promised,
            });
        }
        self.accepted = Some((token, change));
        Some(Paxos::Accepted { token, round })
    }

    /// What is decided need not be kept.
    fn settle(&mut self, version: u64) {
        if self
            .accepted
            .as_ref()
            .is_some_and(|(_, change)| change.after < version)
        {
            self.accepted = None;
        }
    }

    /// Goes on with its recovery where it can.
    fn recover(&mut self, now: Time, wall_ms: u64, version: u64) {
        if let State::Asking { known, .. } = &self.state {
            let remember = known.values().filter(|(remembers, _)| *remembers).count();
            let majority = remember > self.rules.voters() / 2;
            if !majority && known.len() + 1 < self.rules.voters() {
                return;
            }
            let memories = || known.values().map(|(_, memory)| memory);
            let highest = memories()
                .map(|m| m.version)
                .max()
                .unwrap_or_default()
                .max(version);
            // What it was told when it asked before counts as well.
            let accepted = memories()
                .map(|m| &m.accepted)
                .chain([&self.accepted])
                .flatten();
            let accepted = accepted
                .filter(|(_, change)| change.after == highest)
                .max()
                .cloned();
            self.promised = memories()
                .map(|m| m.promised)
                .chain([self.promised])
                .max()
                .unwrap_or_default();
            let floor = memories()
                .map(|m| m.floor)
                .chain([self.floor])
                .max()
                .unwrap_or_default();
            self.accepted = accepted;
            self.floor = if majority {
                floor
            } else {
                floor.max(wall_ms.min(MOST_NUMBER / 2))
            };
            self.state = State::Reaching {
                version: highest,
                since: now,
            };
        }
        if matches!(self.state, State::Reaching { version: needed, .. } if needed <= version) {
            self.state = State::Voting;
            self.settle(version);
        }
    }
}
