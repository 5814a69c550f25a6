//! The voter: grants a duty to one candidate at a time.

use super::ballot::{Ballot, Token};
use super::message::Message;
use super::rules::Rules;
use crate::interface::Time;

/// One voter's memory of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    rules: Rules,
    silent_until: Time,
    /// Nothing below this is granted.
    lowest_grantable: Ballot,
    grant: Option<Grant>,
}

/// What a voter granted last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    ballot: Ballot,
    expires_at: Time,
}

impl Voter {
    /// A voter that has just started and remembers nothing: it is silent for the duration of one grant.
    pub fn new(rules: Rules, now: Time) -> Voter {
        Voter {
            rules,
            silent_until: now + rules.grant_duration(),
            lowest_grantable: Ballot::default(),
            grant: None,
        }
    }

    /// Whether it still answers nothing, as grants from before its start may be live.
    pub fn is_silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Takes a candidate's request and gives the response to it, if there is one.
    pub fn handle(&mut self, now: Time, message: Message) -> Option<Message> {
        self.grant = self.grant.filter(|grant| now < grant.expires_at);
        match message {
            Message::PreVote { ballot } if !self.is_silent(now) => {
                Some(self.handle_pre_vote(now, ballot))
            }
            Message::RequestGrant { ballot, round } if !self.is_silent(now) => {
                Some(self.handle_request(now, ballot, round))
            }
            // A renewal names a ballot that this voter may have granted before its restart.
            Message::RequestGrant { ballot, .. } => {
                self.observe_token(ballot);
                None
            }
            Message::Release { ballot } => {
                self.handle_release(ballot);
                None
            }
            _ => None,
        }
    }

    /// A token was seen elsewhere: nothing below it is granted from now on.
    pub fn observe_token(&mut self, token: Token) {
        self.lowest_grantable = self.lowest_grantable.max(token);
    }

    /// The ballot that its grant is for, while one is live.
    pub fn granted_ballot(&self, now: Time) -> Option<Ballot> {
        self.grant
            .filter(|grant| now < grant.expires_at)
            .map(|grant| grant.ballot)
    }

    fn may_grant(&self, now: Time, ballot: Ballot) -> bool {
        ballot >= self.lowest_grantable
            && self
                .granted_ballot(now)
                .is_none_or(|granted| granted == ballot)
    }

    fn handle_pre_vote(&self, now: Time, ballot: Ballot) -> Message {
        if self.may_grant(now, ballot) {
            Message::PreVoteGranted { ballot }
        } else {
            self.deny(ballot, 0)
        }
    }

    fn handle_request(&mut self, now: Time, ballot: Ballot, round: u32) -> Message {
        if !self.may_grant(now, ballot) {
            return self.deny(ballot, round);
        }
        self.observe_token(ballot);
        self.grant = Some(Grant {
            ballot,
            expires_at: now + self.rules.grant_duration(),
        });
        Message::Granted { ballot, round }
    }

    fn deny(&self, ballot: Ballot, round: u32) -> Message {
        Message::Denied {
            ballot,
            round,
            highest: self.lowest_grantable,
        }
    }

    /// A request that arrives behind its release must not be granted any more.
    fn handle_release(&mut self, ballot: Ballot) {
        if self.grant.is_some_and(|grant| grant.ballot == ballot) {
            self.grant = None;
            self.observe_token(ballot.successor());
        }
    }
}
