//! The voter: grants a duty to one candidate at a time, and keeps the grant in memory only.

use super::ballot::{Ballot, Token};
use super::message::Message;
use super::rules::Rules;
use crate::interface::Time;

/// One voter's state for one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    rules: Rules,
    silent_until: Time,
    /// The voter grants no ballot below this one.
    lowest_grantable: Ballot,
    grant: Option<Grant>,
}

/// The voter's last grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    ballot: Ballot,
    expires_at: Time,
}

impl Voter {
    /// Creates a voter that has just started, without memory: it is silent for the duration of one grant.
    pub fn new(rules: Rules, now: Time) -> Voter {
        Voter {
            rules,
            silent_until: now + rules.grant_duration(),
            lowest_grantable: Ballot::default(),
            grant: None,
        }
    }

    /// Returns whether the voter doesn't answer yet, because grants from before its start may be live.
    pub fn is_silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Handles a candidate's request and returns the response, if there is one.
    pub fn handle(&mut self, now: Time, message: Message) -> Option<Message> {
        self.grant = self.grant.filter(|grant| now < grant.expires_at);
        match message {
            Message::PreVote { ballot } if !self.is_silent(now) => {
                Some(self.handle_pre_vote(now, ballot))
            }
            Message::RequestGrant { ballot, round } if !self.is_silent(now) => {
                Some(self.handle_request(now, ballot, round))
            }
            // A renewal may name a ballot that this voter granted before its restart.
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

    /// Records a token that was seen elsewhere: the voter grants no ballot below it from now on.
    pub fn observe_token(&mut self, token: Token) {
        self.lowest_grantable = self.lowest_grantable.max(token);
    }

    /// Returns the ballot of the live grant, if there is one.
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

    /// Ends the grant. Raises the lowest grantable ballot, so that a request that arrives after its release is denied.
    fn handle_release(&mut self, ballot: Ballot) {
        if self.grant.is_some_and(|grant| grant.ballot == ballot) {
            self.grant = None;
            self.observe_token(ballot.successor());
        }
    }
}
