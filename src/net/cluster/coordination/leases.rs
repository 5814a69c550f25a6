//! The table of leases: this proxy's part as a voter and as a candidate for one duty, the fence that refuses
//! late effects, and what it has heard of the holder.

use super::message::{Duties, Duty, Refused, Word};
use super::mono;
use meadowproxy::fleet::fencing::Fence;
use meadowproxy::fleet::lease::{Candidate, Change, Loss, Message, Rules, Token, Voter};
use meadowproxy::{Micros, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::{info, warn};

/// What goes out, and to whom.
pub type Mail = Vec<(SocketAddr, Duties)>;

/// In a small region every voter sends a digest here within this time.
const LATELY: Micros = Micros(3_000_000);

/// Who is known to hold the duty.
#[derive(Clone, Copy)]
struct Holder {
    token: Token,
    /// Its address, once this proxy had its word itself.
    at: Option<SocketAddr>,
    /// When its last word was said, on this proxy's clock.
    heard: Time,
}

pub struct Leases {
    duty: Duty,
    rules: Rules,
    own: SocketAddr,
    voters: Vec<SocketAddr>,
    /// Where this proxy is one of the voters.
    voter: Option<Voter>,
    candidate: Candidate,
    fence: Fence<Duty>,
    /// When each voter last answered this proxy, and when any word of it came.
    answered: Vec<Option<Time>>,
    heard: Vec<Option<Time>>,
    holder: Option<Holder>,
    /// Since when the duty has been wanted without a majority's word, and whether that was said.
    wanting: Option<(Time, bool)>,
    /// How long a candidate that is no voter waits for a holder's word before it bids.
    shy: Micros,
    /// The end of the term, while this proxy holds the duty.
    until: Option<Time>,
    incarnation: u64,
    started: Time,
    /// It knows what the duty is about, and it does not go: so it may want it.
    able: bool,
    leaving: bool,
}

impl Leases {
    pub fn new(
        duty: Duty,
        rules: Rules,
        voters: Vec<SocketAddr>,
        own: SocketAddr,
        incarnation: u64,
    ) -> Leases {
        let now = mono();
        // Two to three terms, drawn once: not all of a large fleet bid together.
        let shy = Micros(rules.term().0 * 2 + incarnation % rules.term().0.max(1));
        Leases {
            duty,
            rules,
            own,
            voter: voters.contains(&own).then(|| Voter::new(rules, now)),
            candidate: Candidate::new(rules, incarnation),
            fence: Fence::default(),
            answered: vec![None; voters.len()],
            heard: vec![None; voters.len()],
            voters,
            holder: None,
            wanting: Some((now, false)),
            shy,
            until: None,
            incarnation,
            started: now,
            able: false,
            leaving: false,
        }
    }

    /// The token under which this proxy holds the duty at this instant.
    pub fn holds(&self) -> Option<Token> {
        self.candidate.held_token(mono())
    }

    /// Whether and where the holder is, as far as it is known here.
    pub fn holder(&self) -> Option<SocketAddr> {
        match self.holds() {
            Some(_) => Some(self.own),
            None => {
                let other = |h: &Holder| {
                    h.at != Some(self.own) && mono() - h.heard < self.rules.grant_duration()
                };
                self.holder.filter(other).and_then(|h| h.at)
            }
        }
    }

    /// How long ago a holder was heard of; this proxy's own holding counts.
    pub fn heard(&self) -> Micros {
        match (self.holds(), &self.holder) {
            (Some(_), _) => Micros(0),
            (None, Some(holder)) => mono() - holder.heard,
            (None, None) => Micros(u64::MAX),
        }
    }

    /// Lets time pass, and gives the time of the next call at the latest.
    pub fn tick(&mut self, mail: &mut Mail) -> Option<Time> {
        let now = mono();
        let wanted = self.wanted(now);
        let mut said = Vec::new();
        self.candidate.tick(now, wall_ms(), wanted, &mut said);
        self.post(now, said, mail);
        self.settle(now);
        self.majority(now, wanted);
        self.candidate.next_tick_at()
    }

    /// A voter bids as soon as its own vote is free; any other candidate once it has heard of no holder for long, so that in
    /// a large fleet a holder's end brings the voters' bids only.
    fn wanted(&self, now: Time) -> bool {
        if !self.able || self.leaving {
            return false;
        }
        if self.candidate.held_token(now).is_some() {
            return true;
        }
        match &self.voter {
            Some(voter) => {
                !voter.is_silent(now)
                    && voter
                        .granted_ballot(now)
                        .is_none_or(|ballot| ballot.incarnation == self.incarnation)
            }
            None => now - self.holder.map_or(self.started, |h| h.heard) > self.shy,
        }
    }

    /// Takes a lease's message from another proxy.
    pub fn message(
        &mut self,
        from: SocketAddr,
        message: Message,
        mail: &mut Mail,
    ) -> Result<(), Refused> {
        let now = mono();
        match message {
            Message::PreVote { .. } | Message::RequestGrant { .. } | Message::Release { .. } => {
                let answer = self.voter.as_mut().and_then(|v| v.handle(now, message));
                mail.extend(answer.map(|message| {
                    (
                        from,
                        Duties::Lease {
                            duty: self.duty,
                            message,
                        },
                    )
                }));
            }
            Message::PreVoteGranted { .. } | Message::Granted { .. } | Message::Denied { .. } => {
                let place = self
                    .voters
                    .iter()
                    .position(|v| *v == from)
                    .ok_or(Refused::Stranger)?;
                let mut said = Vec::new();
                self.answered[place] = Some(now);
                self.candidate
                    .handle_response(now, place, message, &mut said);
                self.post(now, said, mail);
            }
        }
        self.settle(now);
        Ok(())
    }

    /// An effect of the holder at `from`, whoever passed it on: refused under a token that a higher one followed, else
    /// the holder's word, unless a newer one has come.
    pub fn effect(
        &mut self,
        from: SocketAddr,
        token: Token,
        newest: bool,
        mail: &mut Mail,
    ) -> Result<(), Refused> {
        if let Err(stale) = self.fence.admit(self.duty, token) {
            mail.push((
                from,
                Duties::Fenced {
                    duty: self.duty,
                    highest: stale.highest,
                },
            ));
            return Err(Refused::Token);
        }
        let now = mono();
        self.learn(token, mail);
        if newest {
            self.holder = Some(Holder {
                token,
                at: Some(from),
                heard: now,
            });
        }
        Ok(())
    }

    /// What another proxy says of a duty; of the highest token the youngest word counts.
    pub fn word(&mut self, word: &Word, mail: &mut Mail) {
        self.learn(word.token, mail);
        let Some(age) = word.age_ms else { return };
        let heard = Time(mono().0.saturating_sub(u64::from(age).saturating_mul(1000)));
        if self.fence.highest(&self.duty) != Some(word.token) {
            return;
        }
        match &mut self.holder {
            Some(holder) if holder.token == word.token => holder.heard = holder.heard.max(heard),
            holder => {
                *holder = Some(Holder {
                    token: word.token,
                    at: None,
                    heard,
                });
            }
        }
    }

    /// A token was seen: nothing lower counts from now on, here and at this proxy's vote.
    pub fn learn(&mut self, token: Token, mail: &mut Mail) {
        let now = mono();
        self.fence.observe(self.duty, token);
        self.voter.iter_mut().for_each(|v| v.observe_token(token));
        let mut said = Vec::new();
        self.candidate.observe_token(now, token, &mut said);
        self.post(now, said, mail);
        self.settle(now);
    }

    /// What this proxy tells the others of the duty.
    pub fn words(&self) -> Vec<Word> {
        let now = mono();
        let own = self.candidate.held_token(now);
        let word = |(duty, token): (&Duty, Token)| {
            let age = match self.holder.filter(|h| h.token == token) {
                _ if own == Some(token) => Some(Micros(0)),
                holder => holder.map(|h| now - h.heard),
            };
            let age_ms = age.and_then(|a| u32::try_from(a.0 / 1000).ok());
            Word {
                duty: *duty,
                token,
                age_ms,
            }
        };
        self.fence.tokens().map(word).collect()
    }

    /// Gives the duty up for good, as this proxy goes.
    pub fn leave(&mut self, mail: &mut Mail) {
        self.leaving = true;
        self.tick(mail);
    }

    /// From now on this proxy may want the duty: it knows what it is about.
    pub fn ready(&mut self) {
        self.able = true;
    }

    /// To every voter; this proxy's own vote is asked here.
    fn post(&mut self, now: Time, said: Vec<Message>, mail: &mut Mail) {
        let mut said = VecDeque::from(said);
        while let Some(message) = said.pop_front() {
            for (place, to) in self.voters.iter().enumerate() {
                if *to != self.own {
                    mail.push((
                        *to,
                        Duties::Lease {
                            duty: self.duty,
                            message,
                        },
                    ));
                    continue;
                }
                let Some(answer) = self.voter.as_mut().and_then(|v| v.handle(now, message)) else {
                    continue;
                };
                self.answered[place] = Some(now);
                let mut more = Vec::new();
                self.candidate
                    .handle_response(now, place, answer, &mut more);
                said.extend(more);
            }
        }
    }

    /// Says what became of the holding.
    fn settle(&mut self, now: Time) {
        for change in self.candidate.take_changes() {
            match change {
                Change::Acquired(token) => {
                    self.fence.observe(self.duty, token);
                    self.voter.iter_mut().for_each(|v| v.observe_token(token));
                    info!(event = "duty_held", duty = self.duty.name(), token = %text(token), mono_us = now.0,
                        "holds the duty");
                }
                Change::Lost(token, why) => {
                    // A stalled holder learns late that it held no longer; it ended with its term.
                    let end = self.until.map_or(now, |until| until.min(now));
                    let why = match why {
                        Loss::Released => "released".to_string(),
                        Loss::Expired => "term over".to_string(),
                        Loss::Superseded(by) => format!("superseded by {}", text(by)),
                    };
                    info!(event = "duty_over", duty = self.duty.name(), token = %text(token), mono_us = end.0,
                        seen_us = now.0, reason = why, "holds the duty no longer");
                }
            }
        }
        self.until = self.candidate.lease_expires_at();
        if let Some(token) = self.candidate.held_token(now) {
            self.holder = Some(Holder {
                token,
                at: Some(self.own),
                heard: now,
            });
        }
    }

    /// Complains once where no majority of the voters answers for a whole term.
    fn majority(&mut self, now: Time, wanted: bool) {
        let answering = self.answering(now);
        if !wanted || answering > self.voters.len() / 2 {
            self.wanting = None;
            return;
        }
        let (since, said) = self.wanting.get_or_insert((now, false));
        if !*said && now - *since > self.rules.grant_duration() {
            *said = true;
            warn!(
                event = "duty_no_majority",
                duty = self.duty.name(),
                voters = self.voters.len(),
                answering,
                "no majority of the voters answers: nobody can hold the duty"
            );
        }
    }

    /// Voters that answered within the last term.
    fn answering(&self, now: Time) -> usize {
        self.answered
            .iter()
            .flatten()
            .filter(|at| now - **at <= self.rules.term())
            .count()
    }

    /// A voter was heard of, with whatever word.
    pub fn alive(&mut self, from: SocketAddr) {
        if let Some(place) = self.voters.iter().position(|v| *v == from) {
            self.heard[place] = Some(mono());
        }
    }

    /// Why no proxy is known to hold the duty.
    pub fn why_no_holder(&self) -> String {
        let (heard, voters) = (self.heard_of(mono(), LATELY).len(), self.voters.len());
        match heard > voters / 2 {
            true => format!("no proxy holds the duty yet: {heard} of {voters} voters answer"),
            false => format!("no majority of the voters answers: {heard} of {voters}"),
        }
    }

    /// The voters of which any word came within the last term, or so long.
    fn heard_of(&self, now: Time, lately: Micros) -> Vec<String> {
        let lately =
            |at: &Option<Time>| at.is_some_and(|at| now - at <= self.rules.term().max(lately));
        let heard = self.heard.iter().zip(&self.voters);
        let heard = heard.filter(|(at, voter)| **voter == self.own || lately(at));
        heard.map(|(_, voter)| voter.to_string()).collect()
    }

    /// For the operators' door.
    pub fn status(&self) -> serde_json::Value {
        let now = mono();
        let heard = self.heard_of(now, Micros(0));
        serde_json::json!({
            "duty": self.duty.name(),
            "own": self.own.to_string(),
            "holder": self.holder().map(|at| at.to_string()),
            "held": self.candidate.held_token(now).map(text),
            "token": self.fence.highest(&self.duty).map(text),
            "heard_ms": Some(self.heard()).filter(|age| age.0 < u64::MAX).map(|age| age.0 / 1000),
            "voters": self.voters.iter().map(std::string::ToString::to_string).collect::<Vec<_>>(),
            "voters_heard": heard,
            "voter": self.voter.is_some(),
            "silent": self.voter.as_ref().is_some_and(|v| v.is_silent(now)),
            "effects_refused": self.fence.rejected(),
        })
    }
}

/// A token as logs and the door show it.
pub fn text(token: Token) -> String {
    format!("{}-{:016x}", token.number, token.incarnation)
}

fn wall_ms() -> u64 {
    crate::net::state::snapshot::wall_us() / 1000
}
