//! The acceptor of Paxos: a voter's promise and the change that it accepted, in memory only.
//!
//! A voter that restarts has forgotten both. It is silent for as long as a lease's grant lives, so that no round counts a
//! reply from before the restart and one from after it. Then it asks the other voters for their state, and votes once a
//! majority of all voters, itself not among them, replied with complete states: that majority shares a voter with every
//! majority that its former process was part of. Where a majority has restarted, the replies of all others do: nobody alive
//! knows more. As forgotten changes may have had versions, none up to the wall clock in milliseconds is used then.

use super::limits::VERSION_LIMIT;
use super::message::{AcceptedChange, AcceptorState, PaxosMessage};
use crate::fleet::lease::{Rules, Token};
use crate::interface::{Micros, Time};
use std::collections::BTreeMap;

/// A voter whose table has not caught up by then recovers anew: nobody may have that version any more.
const CATCH_UP_TIMEOUT: Micros = Micros(60_000_000);

/// Another voter's state, as it replied to a recovery request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownState {
    is_complete: bool,
    state: AcceptorState,
}

/// Another voter's reply to a recovery request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryReply {
    /// The index of the voter that replied.
    pub voter: usize,
    /// The request's nonce.
    pub nonce: u64,
    /// That voter's state.
    pub state: AcceptorState,
    /// Whether that voter has voted without interruption.
    pub is_complete: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It sends nothing until then.
    Silent { until: Time },
    /// It waits for the other voters' states, by voter.
    Recovering {
        since: Time,
        replies: BTreeMap<usize, KnownState>,
    },
    /// It knows the state it needs, and its table is catching up to that version.
    CatchingUp { version: u64, since: Time },
    /// It votes.
    Voting,
}

/// One voter of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor {
    rules: Rules,
    /// Its index among the voters.
    index: usize,
    /// Of the last recovery request.
    nonce: u64,
    phase: Phase,
    promised: Token,
    accepted: Option<AcceptedChange>,
    version_floor: u64,
}

impl Acceptor {
    /// A voter that has just started and knows nothing. `index`: its own among the voters, from 0; `nonce` is drawn at
    /// random at each start, so that no reply to a former process is taken for one to this.
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

    /// Whether it votes; else it is silent or recovers.
    pub fn is_voting(&self) -> bool {
        self.phase == Phase::Voting
    }

    /// The version of the change that it accepted and does not know to be committed.
    pub fn accepted_version(&self) -> Option<u64> {
        self.accepted
            .as_ref()
            .map(|accepted| accepted.change.version)
    }

    /// The version that its table has to catch up to before it votes.
    pub fn catch_up_target(&self) -> Option<u64> {
        match self.phase {
            Phase::CatchingUp { version, .. } => Some(version),
            _ => None,
        }
    }

    /// The indices of the voters that have not replied, while it recovers.
    pub fn unanswered_voters(&self) -> Vec<usize> {
        let Phase::Recovering { replies, .. } = &self.phase else {
            return Vec::new();
        };
        (0..self.rules.voters())
            .filter(|voter| *voter != self.index && !replies.contains_key(voter))
            .collect()
    }

    /// Lets time pass. `wall_ms`: the wall clock in milliseconds since 1970; `version`: of this proxy's table. What is put
    /// into `out` goes to every other voter. Call it about every tenth of a second.
    pub fn tick(&mut self, now: Time, wall_ms: u64, version: u64, out: &mut Vec<PaxosMessage>) {
        self.drop_committed(version);
        let request_due = match &self.phase {
            Phase::Silent { until } => now >= *until,
            // Replies count together only if they came within one round's time.
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

    /// Handles a request of the leader or of a recovering voter, and returns the reply to it, if there is one.
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

    /// Takes another voter's reply to this voter's recovery request.
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
            let known = KnownState {
                is_complete: reply.is_complete,
                state: reply.state,
            };
            replies.insert(reply.voter, known);
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
            return None; // this voter's table has the change that was committed there
        }
        if proposal.change.version <= self.version_floor {
            // A leader that prepared before a majority restarted may use a version again. Under another token it prepares
            // anew.
            self.promised = token.successor();
            return Some(self.nack(token));
        }
        self.accepted = Some(proposal);
        Some(PaxosMessage::Accepted { token, round })
    }

    /// Drops an accepted change once the table is past it.
    fn drop_committed(&mut self, version: u64) {
        let committed = self
            .accepted
            .as_ref()
            .is_some_and(|accepted| accepted.change.previous < version);
        if committed {
            self.accepted = None;
        }
    }

    /// Goes on with the recovery as far as the replies and the table allow.
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
            let target = self.adopt(states, version);
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

    /// Merges the other voters' states into its own, which earlier recovery requests may have filled. Returns the version
    /// to catch up to.
    fn adopt(&mut self, states: Vec<AcceptorState>, version: u64) -> u64 {
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
