//! The holder's part: it learns from a majority what is decided and what is under way, finishes that, and then proposes
//! one change after the other.

use super::message::Paxos;
use super::{Change, Edit, MOST_NUMBER};
use crate::fleet::lease::{Rules, Token};
use crate::interface::Time;
use std::collections::BTreeMap;

/// A promise: the voter's version, what it keeps after that, and what new numbers have to be above.
type Promise = (u64, Option<(Token, Change)>, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It asks for promises; those that came, by the voter's place.
    Preparing(BTreeMap<usize, Promise>),
    /// Its copy is on the way to that version; what is under way after it.
    Reaching(u64, Option<Change>),
    /// A change may be proposed.
    Ready,
    /// This is proposed; the voters that keep it, a bit each.
    Proposed(Change, u8),
}

/// What came of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// The change is decided.
    Decided(Change),
    /// That voter's copy lacks the changes after this version; it is asked again behind them.
    Lacks(u64, Paxos),
    /// Another holds the duty under this token, or will.
    Superseded(Token),
}

/// What a proxy does while it holds the duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    rules: Rules,
    token: Token,
    round: u32,
    sent: Time,
    floor: u64,
    phase: Phase,
}

impl Proposer {
    /// One that has just come to hold the duty under that token. Its first tick asks the voters.
    pub fn new(rules: Rules, token: Token) -> Proposer {
        let phase = Phase::Preparing(BTreeMap::new());
        Proposer {
            rules,
            token,
            round: 0,
            sent: Time(0),
            floor: 0,
            phase,
        }
    }

    /// The token that it proposes under.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Whether a change may be proposed now.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// The change that waits for a majority.
    pub fn proposed(&self) -> Option<&Change> {
        match &self.phase {
            Phase::Proposed(change, _) => Some(change),
            _ => None,
        }
    }

    /// The version that its copy has to reach first.
    pub fn reaching(&self) -> Option<u64> {
        match self.phase {
            Phase::Reaching(version, _) => Some(version),
            _ => None,
        }
    }

    /// Lets time pass: asks again what no majority answered in a round's time. `version`: of this proxy's copy. What is put
    /// into `out` goes to every voter. Only to be called while the duty is held, by the clock.
    pub fn tick(&mut self, now: Time, version: u64, out: &mut Vec<Paxos>) {
        self.reach(now, version, out);
        let waits = matches!(self.phase, Phase::Preparing(_) | Phase::Proposed(..));
        if waits && (self.round == 0 || now - self.sent >= self.rules.bid_timeout()) {
            self.ask(now, out);
        }
    }

    /// Proposes a change after this copy's version; its number, or none while it is not [ready](Proposer::is_ready).
    /// `wall_ms`: the wall clock in milliseconds since 1970.
    pub fn propose(
        &mut self,
        now: Time,
        wall_ms: u64,
        version: u64,
        (id, edits): (u64, Vec<Edit>),
        out: &mut Vec<Paxos>,
    ) -> Option<u64> {
        if !self.is_ready() {
            return None;
        }
        // Voters that recovered later than those that promised have higher floors, and these are not above the clock.
        let recovering = self.floor > version && wall_ms < MOST_NUMBER / 2;
        let floor = if recovering {
            self.floor.max(wall_ms)
        } else {
            self.floor
        };
        let number = version.max(floor).saturating_add(1);
        self.phase = Phase::Proposed(
            Change {
                number,
                after: version,
                id,
                edits,
            },
            0,
        );
        self.ask(now, out);
        Some(number)
    }

    /// Takes a voter's answer; `voter` is its place, from 0. An answer counts for the round that is open, and while it is.
    pub fn heard(
        &mut self,
        now: Time,
        version: u64,
        voter: usize,
        message: Paxos,
        out: &mut Vec<Paxos>,
    ) -> Step {
        self.reach(now, version, out);
        let open = voter < self.rules.voters() && now - self.sent < self.rules.bid_timeout();
        match message {
            Paxos::Refused { token, highest } if token == self.token && highest > token => {
                return Step::Superseded(highest);
            }
            Paxos::Promise {
                token,
                round,
                version: theirs,
                accepted,
                floor,
            } if open && (token, round) == (self.token, self.round) => {
                self.promised(now, version, voter, (theirs, accepted, floor), out);
            }
            Paxos::Accepted { token, round }
                if open && (token, round) == (self.token, self.round) =>
            {
                return self.accepted(voter);
            }
            Paxos::Behind {
                token,
                round,
                version: theirs,
            } => {
                if let Phase::Proposed(change, _) = &self.phase {
                    if open && (token, round) == (self.token, self.round) && theirs < change.after {
                        let again = Paxos::Accept {
                            token,
                            round,
                            change: change.clone(),
                        };
                        return Step::Lacks(theirs, again);
                    }
                }
            }
            _ => {}
        }
        Step::Wait
    }

    fn majority(&self) -> usize {
        self.rules.voters() / 2 + 1
    }

    /// A new round: answers to earlier ones count no more.
    fn ask(&mut self, now: Time, out: &mut Vec<Paxos>) {
        self.round = self.round.saturating_add(1);
        self.sent = now;
        let (token, round) = (self.token, self.round);
        match &mut self.phase {
            Phase::Preparing(promises) => {
                promises.clear();
                out.push(Paxos::Prepare { token, round });
            }
            Phase::Proposed(change, votes) => {
                *votes = 0;
                out.push(Paxos::Accept {
                    token,
                    round,
                    change: change.clone(),
                });
            }
            Phase::Reaching(..) | Phase::Ready => {}
        }
    }

    fn promised(
        &mut self,
        now: Time,
        version: u64,
        voter: usize,
        promise: Promise,
        out: &mut Vec<Paxos>,
    ) {
        let majority = self.majority();
        let Phase::Preparing(promises) = &mut self.phase else {
            return;
        };
        promises.insert(voter, promise);
        if promises.len() < majority {
            return;
        }
        let highest = promises
            .values()
            .map(|(version, ..)| *version)
            .max()
            .unwrap_or_default();
        let accepted = promises
            .values()
            .filter_map(|(_, accepted, _)| accepted.clone());
        // Of what is under way the newest holder's counts: had another been decided, that holder would have proposed it.
        let pending = accepted.filter(|(_, change)| change.after == highest).max();
        self.floor = promises
            .values()
            .map(|(.., floor)| *floor)
            .max()
            .unwrap_or_default();
        // What a minority still remembers of a time that the others forgot is proposed under a new number.
        let floor = self.floor;
        let renumbered = |change: Change| Change {
            number: change.number.max(floor.saturating_add(1)),
            ..change
        };
        self.phase = Phase::Reaching(highest, pending.map(|(_, change)| renumbered(change)));
        self.reach(now, version, out);
    }

    /// Goes on once this proxy's copy has all that is known to be decided; also where it heard from others what was decided
    /// in place of what it proposes, or that this is: an earlier holder had its majority.
    fn reach(&mut self, now: Time, version: u64, out: &mut Vec<Paxos>) {
        if matches!(&self.phase, Phase::Proposed(change, _) if change.after < version) {
            self.phase = Phase::Ready;
        }
        let Phase::Reaching(needed, pending) = &mut self.phase else {
            return;
        };
        if version < *needed {
            return;
        }
        match pending.take().filter(|change| change.after == version) {
            Some(change) => {
                self.phase = Phase::Proposed(change, 0);
                self.ask(now, out);
            }
            None => self.phase = Phase::Ready,
        }
    }

    fn accepted(&mut self, voter: usize) -> Step {
        let majority = self.majority() as u32;
        let Phase::Proposed(change, votes) = &mut self.phase else {
            return Step::Wait;
        };
        *votes |= 1 << voter;
        if votes.count_ones() < majority {
            return Step::Wait;
        }
        let decided = change.clone();
        self.phase = Phase::Ready;
        Step::Decided(decided)
    }
}
