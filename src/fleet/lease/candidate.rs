//! The candidate: bids for a duty, renews the lease while it holds it, and gives it up.

use super::ballot::{Ballot, Token};
use super::message::Message;
use super::rules::Rules;
use crate::interface::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A renewed lease is renewed again after a term divided by this, so that most of the term is left for retries.
const RENEWALS_PER_TERM: u64 = 3;
/// A renewal without a quorum is retried after a term divided by this.
const RETRIES_PER_TERM: u64 = 6;
/// The shortest pause between two bids is a term divided by this; the longest is twice that.
const MIN_PAUSES_PER_TERM: u64 = 10;
/// How many values a random `u32` has.
const U32_VALUES: f64 = 4_294_967_296.0;

/// What became of a candidate's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEvent {
    /// It holds the duty, under this token.
    Acquired(Token),
    /// It holds the duty no longer.
    Lost(Token, LossReason),
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LossReason {
    /// The host gave it up.
    Released,
    /// No quorum renewed it within its term.
    Expired,
    /// A higher token was seen.
    Superseded(Token),
}

/// Voters that gave the same response, a bit each.
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

/// A ballot from its pre-vote on, and its lease once it is won.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bid {
    ballot: Ballot,
    started_at: Time,
    /// 0 for the pre-vote.
    round: u32,
    /// When the latest round's request was sent.
    round_sent_at: Time,
    granted: VoterSet,
    denied: VoterSet,
    /// The end of the lease, once the bid is won.
    expires_at: Option<Time>,
}

impl Bid {
    fn is_round(&self, round: Round) -> bool {
        self.ballot == round.ballot && self.round == round.number
    }
}

/// The round that a voter's response names.
#[derive(Clone, Copy)]
struct Round {
    ballot: Ballot,
    number: u32,
}

/// A proxy that may come to hold one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    rules: Rules,
    incarnation: u64,
    /// The highest ballot number seen anywhere.
    highest_number: u64,
    bid: Option<Bid>,
    /// No bid before this; `None` while the duty is not wanted.
    next_bid_at: Option<Time>,
    changes: Vec<LeaseEvent>,
}

impl Candidate {
    /// A candidate that holds nothing. `incarnation` is drawn at random by the host at each start, so that no two
    /// candidates and no two incarnations of one ever share a ballot.
    pub fn new(rules: Rules, incarnation: u64) -> Candidate {
        Candidate {
            rules,
            incarnation,
            highest_number: 0,
            bid: None,
            next_bid_at: None,
            changes: Vec::new(),
        }
    }

    /// The token under which it holds the duty at this instant. Call it with the clock's time right before each
    /// effect: a holder that was stalled finds its term over here, whatever happened to it last.
    pub fn held_token(&self, now: Time) -> Option<Token> {
        let bid = self.bid.as_ref()?;
        bid.expires_at
            .filter(|expires_at| now < *expires_at)
            .map(|_| bid.ballot)
    }

    /// The end of its term, as far as it is renewed, while it holds the duty.
    pub fn lease_expires_at(&self) -> Option<Time> {
        self.bid.as_ref().and_then(|bid| bid.expires_at)
    }

    /// Lets time pass: bids, renews, gives up. `wall_ms` is the wall clock in milliseconds since 1970. What is put
    /// into `out` goes to every voter. Call it at [`Candidate::next_tick_at`] and when `wanted` changes.
    pub fn tick(&mut self, now: Time, wall_ms: u64, wanted: bool, out: &mut Vec<Message>) {
        if !wanted {
            return self.release(now, out);
        }
        self.expire(now, out);
        let next_bid_at = *self.next_bid_at.get_or_insert(now);
        match &self.bid {
            None if now >= next_bid_at => self.send_pre_vote(now, wall_ms, out),
            Some(bid) if bid.expires_at.is_some() && now >= self.renew_at(bid) => {
                self.send_request(now, out);
            }
            _ => {}
        }
    }

    /// When to tick next, if ever; later than the last tick.
    pub fn next_tick_at(&self) -> Option<Time> {
        let Some(bid) = &self.bid else {
            return self.next_bid_at;
        };
        Some(match bid.expires_at {
            Some(expires_at) => expires_at.min(self.renew_at(bid)),
            None => bid.started_at + self.rules.election_timeout() + Micros(1),
        })
    }

    /// Takes a voter's response; `voter` is its place, from 0. What is put into `out` goes to every voter.
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

    /// A token was seen: in an effect, in the rejection of one, or in a digest. A lower lease or bid ends.
    pub fn observe_token(&mut self, now: Time, token: Token, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.highest_number = self.highest_number.max(token.number);
        if self.bid.as_ref().is_some_and(|bid| bid.ballot < token) {
            self.end_bid(now, LossReason::Superseded(token), out);
        }
    }

    /// Gives the lease up, or the bid for it, until a tick wants it again: for a host that drains.
    pub fn release(&mut self, now: Time, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.end_bid(now, LossReason::Released, out);
        self.next_bid_at = None;
    }

    /// What has become of its lease since the last call, in order. At [`LossReason::Expired`] the term may have been over
    /// for long; [`Candidate::held_token`] returned nothing from its end on.
    pub fn take_events(&mut self) -> Vec<LeaseEvent> {
        std::mem::take(&mut self.changes)
    }

    /// When the next request is due: a round with a quorum leaves most of its term for the next, one without is
    /// repeated sooner.
    fn renew_at(&self, bid: &Bid) -> Time {
        let attempts_per_term = if bid.granted.has_quorum(&self.rules) {
            RENEWALS_PER_TERM
        } else {
            RETRIES_PER_TERM
        };
        bid.round_sent_at + self.rules.term_divided_by(attempts_per_term)
    }

    /// Ends what is over by the clock.
    fn expire(&mut self, now: Time, out: &mut Vec<Message>) {
        let expired = self.bid.as_ref().is_some_and(|bid| match bid.expires_at {
            Some(expires_at) => now >= expires_at,
            None => now - bid.started_at > self.rules.election_timeout(),
        });
        if expired {
            self.end_bid(now, LossReason::Expired, out);
        }
    }

    fn send_pre_vote(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Message>) {
        self.highest_number = self.highest_number.saturating_add(1).max(wall_ms);
        let ballot = Ballot {
            number: self.highest_number,
            incarnation: self.incarnation,
        };
        self.bid = Some(Bid {
            ballot,
            started_at: now,
            round: 0,
            round_sent_at: now,
            granted: VoterSet::default(),
            denied: VoterSet::default(),
            expires_at: None,
        });
        out.push(Message::PreVote { ballot });
    }

    fn send_request(&mut self, now: Time, out: &mut Vec<Message>) {
        if let Some(bid) = &mut self.bid {
            bid.round = bid.round.saturating_add(1);
            bid.round_sent_at = now;
            bid.granted = VoterSet::default();
            bid.denied = VoterSet::default();
            out.push(Message::RequestGrant {
                ballot: bid.ballot,
                round: bid.round,
            });
        }
    }

    /// Callers run [`Candidate::expire`] first, so the bid here is live.
    fn handle_granted(&mut self, now: Time, voter: usize, round: Round, out: &mut Vec<Message>) {
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.is_round(round)) else {
            return;
        };
        bid.granted.insert(voter);
        if !bid.granted.has_quorum(&self.rules) {
            return;
        }
        if round.number == 0 {
            return self.send_request(now, out);
        }
        if bid.expires_at.is_none() {
            self.changes.push(LeaseEvent::Acquired(round.ballot));
        }
        bid.expires_at = Some(bid.round_sent_at + self.rules.term());
    }

    /// A holder outlasts denials by a minority; a bid that cannot be won any more, or is too low, ends at once.
    fn handle_denied(
        &mut self,
        now: Time,
        voter: usize,
        round: Round,
        highest: Ballot,
        out: &mut Vec<Message>,
    ) {
        let is_open = |bid: &&mut Bid| bid.is_round(round) && bid.expires_at.is_none();
        let Some(bid) = self.bid.as_mut().filter(is_open) else {
            return;
        };
        bid.denied.insert(voter);
        if highest > round.ballot || bid.denied.has_quorum(&self.rules) {
            self.end_bid(now, LossReason::Expired, out);
        }
    }

    /// Ends the bid, whether it was won or not, and schedules the next one.
    fn end_bid(&mut self, now: Time, loss: LossReason, out: &mut Vec<Message>) {
        let Some(bid) = self.bid.take() else { return };
        if bid.expires_at.is_some() {
            self.changes.push(LeaseEvent::Lost(bid.ballot, loss));
        }
        if bid.round > 0 {
            out.push(Message::Release { ballot: bid.ballot });
        }
        self.next_bid_at = Some(now + self.pause_after(bid.ballot));
    }

    /// The pause before the next bid, drawn from the last ballot, so that candidates do not stay in step.
    fn pause_after(&self, ballot: Ballot) -> Micros {
        let drawn =
            Pcg32::seed_from_u64(ballot.number ^ ballot.incarnation.rotate_left(32)).next_u32();
        let min_pause = self.rules.term_divided_by(MIN_PAUSES_PER_TERM);
        let jitter_us = min_pause.0 as f64 * f64::from(drawn) / U32_VALUES;
        Micros(min_pause.0.saturating_add(jitter_us as u64))
    }
}
