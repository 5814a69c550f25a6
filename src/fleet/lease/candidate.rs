//! The candidate: starts elections for a duty, renews the lease while it holds it, and releases it.
//!
//! - A duty is work that at most one proxy, the lease holder, may do at a time.
//! - The host is the program that runs the candidate: it sends the candidate's messages and passes in the time.
//! - A quorum is a majority of the voters, the proxies that grant the lease.
//! - A term is how long the lease lasts unless a quorum renews it.
//! - A ballot identifies an election. The ballot that wins is the fencing token of the lease; [`Token`] is the same
//!   type.
//! - A round is one request to all voters, with their responses. Round 0 is the pre-vote, which asks whether a voter
//!   would grant the ballot and binds nobody; round 1 requests the lease, and each later one renews it.
//! - A digest is a summary that proxies exchange regularly, with the highest tokens that they have seen.

use super::ballot::{Ballot, Token};
use super::message::Message;
use super::rules::Rules;
use crate::interface::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A lease is renewed at intervals of a term divided by this, so that most of the term is left for retries.
const RENEWALS_PER_TERM: u64 = 3;
/// A renewal that got no quorum is retried after a term divided by this.
const RETRIES_PER_TERM: u64 = 6;
/// The shortest pause between two elections is a term divided by this; the longest pause is twice as long.
const MIN_PAUSE_DIVISOR: u64 = 10;
/// The number of values of a random `u32`.
const U32_VALUES: f64 = 4_294_967_296.0;

/// The start or the end of a candidate's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// The candidate became the lease holder, under this token.
    Acquired(Token),
    /// The candidate lost the lease of this token.
    Lost(Token, LossReason),
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// The host released it or no longer wanted the duty.
    Released,
    /// No quorum renewed it within its term.
    Expired,
    /// This higher token was seen.
    Superseded(Token),
}

/// The voters that gave the same response in a round, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct VoterSet(u8);

impl VoterSet {
    fn insert(&mut self, voter: usize) {
        self.0 |= 1 << voter;
    }

    fn has_quorum(self, rules: &Rules) -> bool {
        self.0.count_ones() >= rules.quorum()
    }
}

/// An election under one ballot, from its pre-vote on. Once won, it is also the lease, until that ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Election {
    ballot: Ballot,
    started_at: Time,
    /// The number of the current round: 0 for the pre-vote, 1 for the request of the lease, higher for renewals.
    round: u32,
    /// When the current round's request was sent.
    round_sent_at: Time,
    /// The voters that granted the current round.
    granted: VoterSet,
    /// The voters that denied the current round.
    denied: VoterSet,
    /// The end of the lease's current term, once the election is won.
    lease_expires_at: Option<Time>,
}

impl Election {
    fn is_round(&self, round: Round) -> bool {
        self.ballot == round.ballot && self.round == round.number
    }
}

/// The round that a voter's response belongs to. [`Message::PreVoteGranted`] names only the ballot; its round is 0.
#[derive(Clone, Copy)]
struct Round {
    ballot: Ballot,
    number: u32,
}

/// A proxy that may be elected as the holder of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    rules: Rules,
    incarnation: u64,
    /// The highest ballot number that this candidate has used or seen.
    highest_number: u64,
    election: Option<Election>,
    /// The earliest time of the next election; `None` before the first tick and after a release, so that the next tick
    /// with `wanted` may start one at once.
    next_election_at: Option<Time>,
    events: Vec<LeaseEvent>,
}

impl Candidate {
    /// Creates a candidate without a lease. The host draws `incarnation` at random at each start, so that no two
    /// candidates, and no two processes of the same proxy, use the same ballot.
    pub fn new(rules: Rules, incarnation: u64) -> Candidate {
        Candidate {
            rules,
            incarnation,
            highest_number: 0,
            election: None,
            next_election_at: None,
            events: Vec::new(),
        }
    }

    /// Returns the fencing token while the lease is valid at `now`. Call it with the current time right before each
    /// effect, so that a holder whose process was stalled notices that its term is over.
    pub fn held_token(&self, now: Time) -> Option<Token> {
        let election = self.election.as_ref()?;
        election
            .lease_expires_at
            .filter(|expires_at| now < *expires_at)
            .map(|_| election.ballot)
    }

    /// Returns the end of the lease's current term, if there is a lease. After that time it is still returned until the
    /// next call of [`Candidate::tick`], [`Candidate::handle_response`], [`Candidate::observe_token`] or
    /// [`Candidate::release`].
    pub fn lease_expires_at(&self) -> Option<Time> {
        self.election
            .as_ref()
            .and_then(|election| election.lease_expires_at)
    }

    /// Starts elections, renews the lease, and ends both when they time out or the duty is no longer `wanted`.
    /// `wall_ms` is the wall clock in milliseconds since 1970. The messages in `out` go to every voter. Call it at
    /// [`Candidate::next_tick_at`] and when `wanted` changes.
    pub fn tick(&mut self, now: Time, wall_ms: u64, wanted: bool, out: &mut Vec<Message>) {
        if !wanted {
            return self.release(now, out);
        }
        self.expire(now, out);
        let next_election_at = *self.next_election_at.get_or_insert(now);
        match &self.election {
            None if now >= next_election_at => self.send_pre_vote(now, wall_ms, out),
            Some(election)
                if election.lease_expires_at.is_some() && now >= self.renew_at(election) =>
            {
                self.send_request(now, out);
            }
            _ => {}
        }
    }

    /// Returns the time of the next [`Candidate::tick`], always later than the last one; `None` before the first tick
    /// and while the duty is not wanted.
    pub fn next_tick_at(&self) -> Option<Time> {
        let Some(election) = &self.election else {
            return self.next_election_at;
        };
        Some(match election.lease_expires_at {
            Some(expires_at) => expires_at.min(self.renew_at(election)),
            None => election.started_at + self.rules.election_timeout() + Micros(1),
        })
    }

    /// Handles the response of the voter with the index `voter`, from 0. The messages in `out` go to every voter.
    pub fn handle_response(
        &mut self,
        now: Time,
        voter: usize,
        message: Message,
        out: &mut Vec<Message>,
    ) {
        self.expire(now, out);
        if voter >= self.rules.voters() {
            return;
        }
        match message {
            Message::PreVoteGranted { ballot } => {
                self.handle_granted(now, voter, Round { ballot, number: 0 }, out);
            }
            Message::Granted { ballot, round } => {
                let round = Round {
                    ballot,
                    number: round,
                };
                self.handle_granted(now, voter, round, out);
            }
            Message::Denied {
                ballot,
                round,
                highest,
            } => {
                let round = Round {
                    ballot,
                    number: round,
                };
                self.highest_number = self.highest_number.max(highest.number);
                self.handle_denied(now, voter, round, highest, out);
            }
            Message::PreVote { .. } | Message::RequestGrant { .. } | Message::Release { .. } => {}
        }
    }

    /// Records a token that was seen in an effect, in the rejection of one, or in a digest. Ends this candidate's
    /// lease or election if its ballot is lower. The messages in `out` go to every voter.
    pub fn observe_token(&mut self, now: Time, token: Token, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.highest_number = self.highest_number.max(token.number);
        if self
            .election
            .as_ref()
            .is_some_and(|election| election.ballot < token)
        {
            self.end_election(now, LossReason::Superseded(token), out);
        }
    }

    /// Releases the lease or abandons the election. The next tick with `wanted` may start a new election at once.
    /// Called by [`Candidate::tick`] when the duty is not wanted; a host that drains may call it directly. The messages
    /// in `out` go to every voter.
    pub fn release(&mut self, now: Time, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.end_election(now, LossReason::Released, out);
        self.next_election_at = None;
    }

    /// Returns the lease's events since the last call, in order. [`LossReason::Expired`] may come long after the end of
    /// the term; [`Candidate::held_token`] returns `None` from the end of the term on.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns when the lease's next renewal is due: [`RENEWALS_PER_TERM`] applies if a quorum granted the last round,
    /// else [`RETRIES_PER_TERM`].
    fn renew_at(&self, election: &Election) -> Time {
        let attempts_per_term = if election.granted.has_quorum(&self.rules) {
            RENEWALS_PER_TERM
        } else {
            RETRIES_PER_TERM
        };
        election.round_sent_at + self.rules.term_divided_by(attempts_per_term)
    }

    /// Ends a lease whose term is over, or an election that timed out. A lease is over at the end of its term already,
    /// an election only after its timeout.
    fn expire(&mut self, now: Time, out: &mut Vec<Message>) {
        let expired =
            self.election
                .as_ref()
                .is_some_and(|election| match election.lease_expires_at {
                    Some(expires_at) => now >= expires_at,
                    None => now - election.started_at > self.rules.election_timeout(),
                });
        if expired {
            self.end_election(now, LossReason::Expired, out);
        }
    }

    /// Starts an election with a pre-vote. The ballot's number is at least the wall clock, so that fencing tokens grow
    /// even if voters lost their memory in a restart.
    fn send_pre_vote(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Message>) {
        self.highest_number = self.highest_number.saturating_add(1).max(wall_ms);
        let ballot = Ballot {
            number: self.highest_number,
            incarnation: self.incarnation,
        };
        self.election = Some(Election {
            ballot,
            started_at: now,
            round: 0,
            round_sent_at: now,
            granted: VoterSet::default(),
            denied: VoterSet::default(),
            lease_expires_at: None,
        });
        out.push(Message::PreVote { ballot });
    }

    /// Starts the next round, which requests the lease or its renewal.
    fn send_request(&mut self, now: Time, out: &mut Vec<Message>) {
        if let Some(election) = &mut self.election {
            election.round = election.round.saturating_add(1);
            election.round_sent_at = now;
            election.granted = VoterSet::default();
            election.denied = VoterSet::default();
            out.push(Message::RequestGrant {
                ballot: election.ballot,
                round: election.round,
            });
        }
    }

    /// Handles a grant, also one of a pre-vote. Callers call [`Candidate::expire`] first, so the election has not timed
    /// out. The term counts from the sending of the request, as a voter's grant starts later and has to outlast it.
    fn handle_granted(&mut self, now: Time, voter: usize, round: Round, out: &mut Vec<Message>) {
        let Some(election) = self
            .election
            .as_mut()
            .filter(|election| election.is_round(round))
        else {
            return;
        };
        election.granted.insert(voter);
        if !election.granted.has_quorum(&self.rules) {
            return;
        }
        if round.number == 0 {
            return self.send_request(now, out);
        }
        if election.lease_expires_at.is_none() {
            self.events.push(LeaseEvent::Acquired(round.ballot));
        }
        election.lease_expires_at = Some(election.round_sent_at + self.rules.term());
    }

    /// Handles a denial. An election ends when a quorum denied the round, so that no quorum can grant it any more, or
    /// when a voter has seen a higher ballot. A lease isn't affected by denials.
    fn handle_denied(
        &mut self,
        now: Time,
        voter: usize,
        round: Round,
        highest: Ballot,
        out: &mut Vec<Message>,
    ) {
        let is_open = |election: &&mut Election| {
            election.is_round(round) && election.lease_expires_at.is_none()
        };
        let Some(election) = self.election.as_mut().filter(is_open) else {
            return;
        };
        election.denied.insert(voter);
        if highest > round.ballot || election.denied.has_quorum(&self.rules) {
            self.end_election(now, LossReason::Expired, out);
        }
    }

    /// Ends the election, and the lease if it was won; only then is `loss` reported. Schedules the next election after
    /// a pause. Once the lease was requested, a release is sent even if the election was not won, as some voters may
    /// have granted it.
    fn end_election(&mut self, now: Time, loss: LossReason, out: &mut Vec<Message>) {
        let Some(election) = self.election.take() else {
            return;
        };
        if election.lease_expires_at.is_some() {
            self.events.push(LeaseEvent::Lost(election.ballot, loss));
        }
        if election.round > 0 {
            out.push(Message::Release {
                ballot: election.ballot,
            });
        }
        self.next_election_at = Some(now + self.pause_after(election.ballot));
    }

    /// Returns the pause before the next election. It is pseudorandom with the last ballot as the seed: it differs
    /// between competing candidates, so that they do not keep colliding, and is the same for the same ballot.
    fn pause_after(&self, ballot: Ballot) -> Micros {
        let drawn =
            Pcg32::seed_from_u64(ballot.number ^ ballot.incarnation.rotate_left(32)).next_u32();
        let min_pause = self.rules.term_divided_by(MIN_PAUSE_DIVISOR);
        let jitter_us = min_pause.0 as f64 * f64::from(drawn) / U32_VALUES;
        Micros(min_pause.0.saturating_add(jitter_us as u64))
    }
}
