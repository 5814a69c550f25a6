//! The Paxos acceptor: stores a voter's promise and the change that it accepted, in memory only.
//!
//! A voter loses both in a restart and recovers them from the other voters before it votes again:
//!
//! 1. It is silent for the duration of one lease grant, so that no round counts replies from before and after the restart.
//! 2. It requests the states of the other voters, and waits until a majority of all voters, not counting itself, replied
//!    with complete states. That majority shares a voter with every majority that its former process was part of.
//! 3. If a majority has restarted, the replies of all other voters are enough, because no running voter knows more. Lost
//!    changes may have used any version up to the present, so new versions are then above the wall clock in milliseconds.
//! 4. It waits until its table has caught up.

use super::limits::VERSION_LIMIT;
use super::message::{AcceptedChange, AcceptorState, PaxosMessage};
use crate::fleet::lease::{Rules, Token};
use crate::interface::{Micros, Time};
use std::collections::BTreeMap;

/// The time after which a voter whose table has not caught up restarts its recovery, because possibly no replica
/// has the awaited version any more.
const CATCH_UP_TIMEOUT: Micros = Micros(60_000_000);

/// The state of another voter, from its reply to a recovery request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoterState {
    is_complete: bool,
    state: AcceptorState,
}

/// Another voter's reply to a recovery request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryReply {
    /// The index of the replying voter.
    pub voter: usize,
    /// The request's nonce.
    pub nonce: u64,
    /// The replying voter's state.
    pub state: AcceptorState,
    /// Whether the replying voter is voting, and not itself recovering.
    pub is_complete: bool,
}

/// The phases of a voter, in the order in which a restarted voter goes through them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The voter sends nothing until this time.
    Silent { until: Time },
    /// The voter waits for the other voters' states, by the voter's index.
    Recovering {
        since: Time,
        replies: BTreeMap<usize, VoterState>,
    },
    /// The voter has recovered its state, and its table is catching up to this version.
    CatchingUp { version: u64, since: Time },
    /// The voter votes.
    Voting,
}

/// A voter for changes of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    rules: Rules,
    /// The index of this proxy among the voters.
    index: usize,
    /// The nonce of the last recovery request.
    nonce: u64,
    phase: Phase,
    promised: Token,
    accepted: Option<AcceptedChange>,
    version_floor: u64,
}

impl Acceptor {
    /// Creates a voter that has just started, without state. `index` is its index among the voters, from 0. `nonce` is drawn
    /// at random at each start, so that replies to a former process are not accepted.
    pub fn new(rules: Rules, index: usize, nonce: u64, now: Time) -> Acceptor {
        let phase = Phase::Silent {
            until: now + rules.grant_duration(),
        };
        Acceptor {
            rules,
            index,
            nonce,
            phase,
            promised: Token::default(),
            accepted: None,
            version_floor: 0,
        }
    }

    /// Returns whether the voter votes; otherwise it is silent or recovers.
    pub fn is_voting(&self) -> bool {
        self.phase == Phase::Voting
    }

    /// Returns the version of the accepted change that is not known to be committed.
    pub fn accepted_version(&self) -> Option<u64> {
        self.accepted
            .as_ref()
            .map(|accepted| accepted.change.version)
    }

    /// Returns the version that the table has to catch up to before this voter votes.
    pub fn catch_up_target(&self) -> Option<u64> {
        match self.phase {
            Phase::CatchingUp { version, .. } => Some(version),
            _ => None,
        }
    }

    /// Returns the indices of the voters that have not replied to the recovery request; none while this voter isn't
    /// recovering.
    pub fn unanswered_voters(&self) -> Vec<usize> {
        let Phase::Recovering { replies, .. } = &self.phase else {
            return Vec::new();
        };
        (0..self.rules.voters())
            .filter(|voter| *voter != self.index && !replies.contains_key(voter))
            .collect()
    }

    /// Drives the recovery. `wall_ms` is the wall clock in milliseconds since 1970, `version` the version of this proxy's
    /// table. The messages in `out` go to every other voter. Call it about every tenth of a second.
    pub fn tick(&mut self, now: Time, wall_ms: u64, version: u64, out: &mut Vec<PaxosMessage>) {
        self.drop_committed(version);
        let request_due = match &self.phase {
            Phase::Silent { until } => now >= *until,
            // Only replies within one election timeout count together.
            Phase::Recovering { since, .. } => now - *since >= self.rules.election_timeout(),
            Phase::CatchingUp { since, .. } => now - *since >= CATCH_UP_TIMEOUT,
            Phase::Voting => false,
        };
        if request_due {
            self.nonce = self.nonce.wrapping_add(1);
            self.phase = Phase::Recovering {
                since: now,
                replies: BTreeMap::new(),
            };
            out.push(PaxosMessage::Recover { nonce: self.nonce });
        }
        self.finish_recovery(now, wall_ms, version);
    }

    /// Handles a request of the leader or of a recovering voter, and returns the reply, if there is one.
    pub fn handle(&mut self, message: PaxosMessage, version: u64) -> Option<PaxosMessage> {
        self.drop_committed(version);
        match message {
            PaxosMessage::Recover { nonce } if !matches!(self.phase, Phase::Silent { .. }) => {
                Some(PaxosMessage::RecoverReply {
                    nonce,
                    state: self.state(version),
                    is_complete: self.is_voting(),
                })
            }
            PaxosMessage::Prepare { token, round } if self.is_voting() => {
                Some(self.prepare(token, round, version))
            }
            PaxosMessage::Accept {
                token,
                round,
                change,
            } if self.is_voting() => self.accept(AcceptedChange { token, change }, round, version),
            _ => None,
        }
    }

    /// Handles another voter's reply to this voter's recovery request.
    pub fn on_recovery_reply(
        &mut self,
        now: Time,
        wall_ms: u64,
        version: u64,
        reply: RecoveryReply,
    ) {
        let Phase::Recovering { since, replies } = &mut self.phase else {
            return;
        };
        let from_other = reply.voter < self.rules.voters() && reply.voter != self.index;
        let in_time = now - *since < self.rules.election_timeout();
        if from_other && reply.nonce == self.nonce && in_time {
            let state = VoterState {
                is_complete: reply.is_complete,
                state: reply.state,
            };
            replies.insert(reply.voter, state);
            self.finish_recovery(now, wall_ms, version);
        }
    }

    fn state(&self, version: u64) -> AcceptorState {
        AcceptorState {
            promised: self.promised,
            version,
            accepted: self.accepted.clone(),
            version_floor: self.version_floor,
        }
    }

    fn nack(&self, token: Token) -> PaxosMessage {
        PaxosMessage::Nack {
            token,
            highest: self.promised,
        }
    }

    fn prepare(&mut self, token: Token, round: u32, version: u64) -> PaxosMessage {
        if token < self.promised {
            return self.nack(token);
        }
        self.promised = token;
        PaxosMessage::Promise {
            token,
            round,
            version,
            accepted: self.accepted.clone(),
            version_floor: self.version_floor,
        }
    }

    fn accept(
        &mut self,
        proposal: AcceptedChange,
        round: u32,
        version: u64,
    ) -> Option<PaxosMessage> {
        let token = proposal.token;
        if token < self.promised {
            return Some(self.nack(token));
        }
        self.promised = token;
        if proposal.change.previous > version {
            return Some(PaxosMessage::Behind {
                token,
                round,
                version,
            });
        }
        if proposal.change.previous < version {
            return None; // this voter's table already has the change that was committed after `previous`
        }
        if proposal.change.version <= self.version_floor {
            // A leader that prepared before a majority of the voters restarted may reuse a version. Promising a higher token
            // makes it prepare again under a new one.
            self.promised = token.successor();
            return Some(self.nack(token));
        }
        self.accepted = Some(proposal);
        Some(PaxosMessage::Accepted { token, round })
    }

    /// Drops the accepted change once the table has the change committed in its place.
    fn drop_committed(&mut self, version: u64) {
        let committed = self
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.change.previous < version);
        if committed {
            self.accepted = None;
        }
    }

    /// Continues the recovery as far as the replies and the table's version allow.
    fn finish_recovery(&mut self, now: Time, wall_ms: u64, version: u64) {
        if let Phase::Recovering { replies, .. } = &self.phase {
            let complete = replies.values().filter(|reply| reply.is_complete).count();
            let has_majority = complete > self.rules.voters() / 2;
            let all_replied = replies.len() + 1 >= self.rules.voters();
            if !has_majority && !all_replied {
                return;
            }
            let states: Vec<AcceptorState> =
                replies.values().map(|reply| reply.state.clone()).collect();
            let target = self.merge_states(states, version);
            if !has_majority {
                let floor = wall_ms.min(VERSION_LIMIT / 2);
                self.version_floor = self.version_floor.max(floor);
            }
            self.phase = Phase::CatchingUp {
                version: target,
                since: now,
            };
        }
        if self
            .catch_up_target()
            .is_some_and(|target| target <= version)
        {
            self.phase = Phase::Voting;
            self.drop_committed(version);
        }
    }

    /// Merges the other voters' states into this voter's own, which may have content from earlier recovery requests. Returns
    /// the version to catch up to.
    fn merge_states(&mut self, states: Vec<AcceptorState>, version: u64) -> u64 {
        let mut merged = self.state(version);
        for state in &states {
            merged.promised = merged.promised.max(state.promised);
            merged.version = merged.version.max(state.version);
            merged.version_floor = merged.version_floor.max(state.version_floor);
        }
        self.accepted = states
            .into_iter()
            .filter_map(|state| state.accepted)
            .chain(merged.accepted)
            .filter(|accepted| accepted.change.previous == merged.version)
            .max();
        self.promised = merged.promised;
        self.version_floor = merged.version_floor;
        merged.version
    }
}
