//! The Paxos proposer: the leader prepares with a majority of the voters, completes a change that an earlier leader left
//! uncommitted, and then proposes one change at a time.

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
    /// The change that the voter accepted after that version.
    accepted: Option<AcceptedChange>,
    /// New versions have to be above this one.
    version_floor: u64,
}

/// The phases of a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The proposer waits for promises. Those received so far, by the voter's index.
    Preparing { promises: BTreeMap<usize, Promise> },
    /// The proxy's table is catching up to `version`. `pending` is the accepted change that follows it, to be completed.
    CatchingUp {
        version: u64,
        pending: Option<Change>,
    },
    /// A change may be proposed.
    Ready,
    /// A change is proposed. `votes` has one bit per voter that accepted it.
    Proposing { change: Change, votes: u8 },
}

/// The content of a change to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The submission's id.
    pub id: u64,
    /// The entries that the change sets.
    pub edits: Vec<Edit>,
}

/// What the leader has to do after a voter's reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// Nothing, except to wait for more replies.
    Wait,
    /// Apply the change, which a majority accepted.
    Committed(Change),
    /// Send the voter the changes that its table lacks.
    VoterBehind {
        /// The version of the voter's table.
        version: u64,
        /// The request to send again after those changes.
        retry: PaxosMessage,
    },
    /// Stop, because a voter promised this higher token.
    Superseded(Token),
}

/// The proposer of a proxy that is the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    rules: Rules,
    token: Token,
    round: u32,
    /// When the current round's requests were sent.
    round_sent_at: Time,
    version_floor: u64,
    phase: Phase,
}

impl Proposer {
    /// Creates the proposer of a new leader under that token. The first tick sends the first round.
    pub fn new(rules: Rules, token: Token) -> Proposer {
        Proposer {
            rules,
            token,
            round: 0,
            round_sent_at: Time(0),
            version_floor: 0,
            phase: Phase::Preparing {
                promises: BTreeMap::new(),
            },
        }
    }

    /// Returns the token under which it proposes.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns whether a change may be proposed now.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the proposed change that is waiting for a majority.
    pub fn proposed(&self) -> Option<&Change> {
        match &self.phase {
            Phase::Proposing { change, .. } => Some(change),
            _ => None,
        }
    }

    /// Returns the version that the proxy's table has to catch up to before a change may be proposed.
    pub fn catch_up_target(&self) -> Option<u64> {
        match self.phase {
            Phase::CatchingUp { version, .. } => Some(version),
            _ => None,
        }
    }

    /// Starts a new round if no majority replied to the last one in time. `version` is the version of this proxy's table.
    /// The messages in `out` go to every voter. Call it only while the lease is valid.
    pub fn tick(&mut self, now: Time, version: u64, out: &mut Vec<PaxosMessage>) {
        self.advance(now, version, out);
        let waiting = matches!(
            self.phase,
            Phase::Preparing { .. } | Phase::Proposing { .. }
        );
        if waiting && (self.round == 0 || now - self.round_sent_at >= self.rules.election_timeout())
        {
            self.send_round(now, out);
        }
    }

    /// Proposes a change that follows `version`, the version of this proxy's table. Returns the change's version, or `None`
    /// if the proposer is not [ready](Proposer::is_ready). `wall_ms` is the wall clock in milliseconds since 1970.
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

    /// Handles the reply of the voter with the index `voter`, from 0. A reply counts only for the current round, and only
    /// within the election timeout from its start.
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
            voter < self.rules.voters() && now - self.round_sent_at < self.rules.election_timeout();
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

    /// Returns the version of the next change. Voters that recover after the promises may have higher version floors, but
    /// not above the wall clock, so the version is raised above the clock if the floor of the promises is above the table's
    /// version.
    fn next_version(&self, wall_ms: u64, version: u64) -> u64 {
        let voters_recovered = self.version_floor > version && wall_ms < VERSION_LIMIT / 2;
        let floor = if voters_recovered {
            self.version_floor.max(wall_ms)
        } else {
            self.version_floor
        };
        version.max(floor).saturating_add(1)
    }

    /// Starts a new round. Replies to earlier rounds no longer count.
    fn send_round(&mut self, now: Time, out: &mut Vec<PaxosMessage>) {
        self.round = self.round.saturating_add(1);
        self.round_sent_at = now;
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
        // The accepted change with the highest token wins: if another one had been committed, that token's leader would have
        // proposed it again.
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

    /// Gives the change a new version if its own is not above the version floor. In that case only a minority still has it,
    /// because the other voters lost it in a restart.
    fn above_floor(&self, change: Change) -> Change {
        Change {
            version: change.version.max(self.version_floor.saturating_add(1)),
            ..change
        }
    }

    /// Continues once this proxy's table has caught up. Ends a proposal once the table is past its previous version, as this
    /// change or an earlier leader's was committed in its place.
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
