//! The proposer of Paxos: the leader prepares with a majority of the voters, finishes the change that an earlier leader
//! left, and then proposes one change after the other.

use super::change::Change;
use super::entry::Edit;
use super::limits::VERSION_LIMIT;
use super::message::{AcceptedChange, PaxosMessage};
use crate::fleet::lease::{Rules, Token};
use crate::interface::Time;
use std::collections::BTreeMap;

/// A voter's promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    /// The version of the voter's table.
    version: u64,
    /// The change that it accepted after that version.
    accepted: Option<AcceptedChange>,
    /// New versions have to be above this.
    version_floor: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It waits for promises; those that came, by voter.
    Preparing { promises: BTreeMap<usize, Promise> },
    /// Its table is catching up to that version; the accepted change that follows it.
    CatchingUp {
        version: u64,
        pending: Option<Change>,
    },
    /// A change may be proposed.
    Ready,
    /// A change is proposed; the voters that accepted it, a bit each.
    Proposing { change: Change, votes: u8 },
}

/// The content of a change that is to be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The submission's id.
    pub id: u64,
    /// What it sets.
    pub edits: Vec<Edit>,
}

/// What a voter's reply led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// Nothing yet.
    Wait,
    /// A majority accepted the change.
    Committed(Change),
    /// The voter's table lacks changes.
    VoterBehind {
        /// The version of the voter's table.
        version: u64,
        /// The request to send once more, after the changes that it lacks.
        retry: PaxosMessage,
    },
    /// Another leader has this higher token, or will.
    Superseded(Token),
}

/// What a proxy does while it is the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    rules: Rules,
    token: Token,
    round: u32,
    /// When the round began.
    sent: Time,
    version_floor: u64,
    phase: Phase,
}

impl Proposer {
    /// A new leader under that token. Its first tick sends the first round.
    pub fn new(rules: Rules, token: Token) -> Proposer {
        Proposer {
            rules,
            token,
            round: 0,
            sent: Time(0),
            version_floor: 0,
            phase: Phase::Preparing {
                promises: BTreeMap::new(),
            },
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
            Phase::Proposing { change, .. } => Some(change),
            _ => None,
        }
    }

    /// The version that its table has to catch up to first.
    pub fn catch_up_target(&self) -> Option<u64> {
        match self.phase {
            Phase::CatchingUp { version, .. } => Some(version),
            _ => None,
        }
    }

    /// Lets time pass: begins a new round where no majority replied to the last one in time. `version`: of this proxy's
    /// table. What is put into `out` goes to every voter. Call it only while the lease is valid by the clock.
    pub fn tick(&mut self, now: Time, version: u64, out: &mut Vec<PaxosMessage>) {
        self.advance(now, version, out);
        let waiting = matches!(
            self.phase,
            Phase::Preparing { .. } | Phase::Proposing { .. }
        );
        if waiting && (self.round == 0 || now - self.sent >= self.rules.election_timeout()) {
            self.send_round(now, out);
        }
    }

    /// Proposes a change after this table's version; returns the new version, or none while it is not
    /// [ready](Proposer::is_ready). `wall_ms`: the wall clock in milliseconds since 1970.
    pub fn propose(
        &mut self,
        now: Time,
        wall_ms: u64,
        version: u64,
        proposal: Proposal,
        out: &mut Vec<PaxosMessage>,
    ) -> Option<u64> {
        if !self.is_ready() {
            return None;
        }
        let new_version = self.next_version(wall_ms, version);
        self.phase = Phase::Proposing {
            change: Change {
                version: new_version,
                previous: version,
                id: proposal.id,
                edits: proposal.edits,
            },
            votes: 0,
        };
        self.send_round(now, out);
        Some(new_version)
    }

    /// Handles a voter's reply; `voter` is its index, from 0. A reply counts for the current round, and only in its time.
    pub fn handle(
        &mut self,
        now: Time,
        version: u64,
        voter: usize,
        message: PaxosMessage,
        out: &mut Vec<PaxosMessage>,
    ) -> ReplyOutcome {
        self.advance(now, version, out);
        let in_time =
            voter < self.rules.voters() && now - self.sent < self.rules.election_timeout();
        let own_token = self.token;
        let own_round = self.round;
        let counts = |token: Token, round: u32| in_time && token == own_token && round == own_round;
        match message {
            PaxosMessage::Nack { token, highest } if token == own_token && highest > token => {
                ReplyOutcome::Superseded(highest)
            }
            PaxosMessage::Promise {
                token,
                round,
                version: their_version,
                accepted,
                version_floor,
            } if counts(token, round) => {
                let promise = Promise {
                    version: their_version,
                    accepted,
                    version_floor,
                };
                self.on_promise(now, version, voter, promise, out);
                ReplyOutcome::Wait
            }
            PaxosMessage::Accepted { token, round } if counts(token, round) => {
                self.on_accepted(voter)
            }
            PaxosMessage::Behind {
                token,
                round,
                version: their_version,
            } if counts(token, round) => self.on_behind(their_version),
            _ => ReplyOutcome::Wait,
        }
    }

    fn majority(&self) -> usize {
        self.rules.voters() / 2 + 1
    }

    /// The version of the next change. Voters that recovered later than those that promised have higher floors, and these
    /// are not above the clock.
    fn next_version(&self, wall_ms: u64, version: u64) -> u64 {
        let voters_recovered = self.version_floor > version && wall_ms < VERSION_LIMIT / 2;
        let floor = if voters_recovered {
            self.version_floor.max(wall_ms)
        } else {
            self.version_floor
        };
        version.max(floor).saturating_add(1)
    }

    /// Begins a new round: replies to earlier ones count no more.
    fn send_round(&mut self, now: Time, out: &mut Vec<PaxosMessage>) {
        self.round = self.round.saturating_add(1);
        self.sent = now;
        match &mut self.phase {
            Phase::Preparing { promises } => {
                promises.clear();
                out.push(PaxosMessage::Prepare {
                    token: self.token,
                    round: self.round,
                });
            }
            Phase::Proposing { change, votes } => {
                *votes = 0;
                out.push(PaxosMessage::Accept {
                    token: self.token,
                    round: self.round,
                    change: change.clone(),
                });
            }
            Phase::CatchingUp { .. } | Phase::Ready => {}
        }
    }

    fn on_promise(
        &mut self,
        now: Time,
        version: u64,
        voter: usize,
        promise: Promise,
        out: &mut Vec<PaxosMessage>,
    ) {
        let majority = self.majority();
        let Phase::Preparing { promises } = &mut self.phase else {
            return;
        };
        promises.insert(voter, promise);
        if promises.len() < majority {
            return;
        }
        let promises = std::mem::take(promises);
        let floors = promises.values().map(|promise| promise.version_floor);
        self.version_floor = floors.max().unwrap_or_default();
        let versions = promises.values().map(|promise| promise.version);
        let highest = versions.max().unwrap_or_default();
        // Of the accepted changes the one with the highest token counts: had another been committed, that leader would have
        // proposed it.
        let pending = promises
            .into_values()
            .filter_map(|promise| promise.accepted)
            .filter(|accepted| accepted.change.previous == highest)
            .max();
        self.phase = Phase::CatchingUp {
            version: highest,
            pending: pending.map(|accepted| self.above_floor(accepted.change)),
        };
        self.advance(now, version, out);
    }

    /// A change that only a minority remembers since the others recovered gets a new version.
    fn above_floor(&self, change: Change) -> Change {
        Change {
            version: change.version.max(self.version_floor.saturating_add(1)),
            ..change
        }
    }

    /// Goes on once this proxy's table has caught up, and gives up a proposal that the table is past: an earlier leader's
    /// change was committed there, or this one was.
    fn advance(&mut self, now: Time, version: u64, out: &mut Vec<PaxosMessage>) {
        if self
            .proposed()
            .is_some_and(|change| change.previous < version)
        {
            self.phase = Phase::Ready;
        }
        let Phase::CatchingUp {
            version: target,
            pending,
        } = &mut self.phase
        else {
            return;
        };
        if version < *target {
            return;
        }
        match pending.take().filter(|change| change.previous == version) {
            Some(change) => {
                self.phase = Phase::Proposing { change, votes: 0 };
                self.send_round(now, out);
            }
            None => self.phase = Phase::Ready,
        }
    }

    fn on_accepted(&mut self, voter: usize) -> ReplyOutcome {
        let majority = self.majority() as u32;
        let Phase::Proposing { change, votes } = &mut self.phase else {
            return ReplyOutcome::Wait;
        };
        *votes |= 1 << voter;
        if votes.count_ones() < majority {
            return ReplyOutcome::Wait;
        }
        let committed = change.clone();
        self.phase = Phase::Ready;
        ReplyOutcome::Committed(committed)
    }

    fn on_behind(&self, their_version: u64) -> ReplyOutcome {
        match self.proposed() {
            Some(change) if their_version < change.previous => ReplyOutcome::VoterBehind {
                version: their_version,
                retry: PaxosMessage::Accept {
                    token: self.token,
                    round: self.round,
                    change: change.clone(),
                },
            },
            _ => ReplyOutcome::Wait,
        }
    }
}
