//! This proxy's part in the lease of one duty: as a voter, as a candidate, behind the fence that rejects effects of
//! former holders, and with what it knows of the holder.

use super::clocks::{monotonic_now, wall_now};
use super::message::{Duty, DutyMessage, MessageError, TokenReport};
use super::voter_contacts::VoterContacts;
use meadowproxy::fleet::fencing::Fence;
use meadowproxy::fleet::lease::{Candidate, LeaseEvent, LossReason, Message, Rules, Token, Voter};
use meadowproxy::{Micros, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Messages to send, each with its receiver.
pub type DutyMessages = Vec<(SocketAddr, DutyMessage)>;

/// With at most six other members, each sends a digest here within 3 s.
const DIGEST_INTERVAL_BOUND: Micros = Micros(3_000_000);

/// What is known of the lease holder.
#[derive(Clone, Copy)]
struct Holder {
    token: Token,
    /// Its address, once one of its own heartbeats came here.
    address: Option<SocketAddr>,
    /// When its last heartbeat was sent, on this proxy's clock.
    heartbeat_at: Time,
}

/// A time in which the duty is wanted and no quorum answers.
#[derive(Clone, Copy)]
struct QuorumLoss {
    since: Time,
    is_logged: bool,
}

/// The lease of one duty, as this proxy takes part in it.
pub struct DutyLease {
    duty: Duty,
    rules: Rules,
    own: SocketAddr,
    voters: VoterContacts,
    /// Where this proxy is one of the voters.
    voter: Option<Voter>,
    candidate: Candidate,
    fence: Fence<Duty>,
    holder: Option<Holder>,
    quorum_loss: Option<QuorumLoss>,
    /// How long a candidate that is no voter waits for a holder's heartbeat before it bids.
    campaign_delay: Micros,
    /// The end of the term, while this proxy holds the duty.
    expires_at: Option<Time>,
    incarnation: u64,
    started_at: Time,
    /// It has caught up with what the duty is about.
    is_eligible: bool,
    is_leaving: bool,
}

impl DutyLease {
    pub fn new(
        duty: Duty,
        rules: Rules,
        voters: Vec<SocketAddr>,
        own: SocketAddr,
        incarnation: u64,
    ) -> DutyLease {
        let now = monotonic_now();
        // Two to three terms, drawn once: not all of a large fleet bid together.
        let campaign_delay = Micros(rules.term().0 * 2 + incarnation % rules.term().0.max(1));
        let is_voter = voters.contains(&own);
        DutyLease {
            duty,
            rules,
            own,
            voters: VoterContacts::new(voters),
            voter: is_voter.then(|| Voter::new(rules, now)),
            candidate: Candidate::new(rules, incarnation),
            fence: Fence::default(),
            holder: None,
            quorum_loss: Some(QuorumLoss {
                since: now,
                is_logged: false,
            }),
            campaign_delay,
            expires_at: None,
            incarnation,
            started_at: now,
            is_eligible: false,
            is_leaving: false,
        }
    }

    /// The token under which this proxy holds the duty at this instant.
    pub fn held_token(&self) -> Option<Token> {
        self.candidate.held_token(monotonic_now())
    }

    /// The holder's address, as far as it is known here.
    pub fn holder(&self) -> Option<SocketAddr> {
        if self.held_token().is_some() {
            return Some(self.own);
        }
        let holder = self.holder.filter(|holder| {
            let is_recent = monotonic_now() - holder.heartbeat_at < self.rules.grant_duration();
            holder.address != Some(self.own) && is_recent
        })?;
        holder.address
    }

    /// How long ago the holder's last heartbeat was sent; zero while this proxy is the holder.
    pub fn since_heartbeat(&self) -> Micros {
        match (self.held_token(), &self.holder) {
            (Some(_), _) => Micros(0),
            (None, Some(holder)) => monotonic_now() - holder.heartbeat_at,
            (None, None) => Micros(u64::MAX),
        }
    }

    /// Lets time pass, and gives the time of the next call at the latest.
    pub fn tick(&mut self, outgoing: &mut DutyMessages) -> Option<Time> {
        let now = monotonic_now();
        let is_wanted = self.is_wanted(now);
        let wall_ms = wall_now().0 / 1000;
        let mut requests = Vec::new();
        self.candidate.tick(now, wall_ms, is_wanted, &mut requests);
        self.send_to_voters(now, requests, outgoing);
        self.apply_changes(now);
        self.check_quorum(now, is_wanted);
        self.candidate.next_tick_at()
    }

    /// A voter bids as soon as its own vote is free; any other candidate once it has had no holder's heartbeat for long,
    /// so that in a large fleet a holder's end leads to the voters' bids only.
    fn is_wanted(&self, now: Time) -> bool {
        if !self.is_eligible || self.is_leaving {
            return false;
        }
        if self.candidate.held_token(now).is_some() {
            return true;
        }
        let Some(voter) = &self.voter else {
            let heartbeat_at = self
                .holder
                .map_or(self.started_at, |holder| holder.heartbeat_at);
            return now - heartbeat_at > self.campaign_delay;
        };
        let is_free = voter
            .granted_ballot(now)
            .is_none_or(|ballot| ballot.incarnation == self.incarnation);
        is_free && !voter.is_silent(now)
    }

    /// Takes a lease message from another proxy.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: Message,
        outgoing: &mut DutyMessages,
    ) -> Result<(), MessageError> {
        let now = monotonic_now();
        match message {
            Message::PreVote { .. } | Message::RequestGrant { .. } | Message::Release { .. } => {
                let voter = self.voter.as_mut();
                if let Some(response) = voter.and_then(|voter| voter.handle(now, message)) {
                    outgoing.push((from, self.lease_message(response)));
                }
            }
            Message::PreVoteGranted { .. } | Message::Granted { .. } | Message::Denied { .. } => {
                let place = self.voters.place(from).ok_or(MessageError::NotAVoter)?;
                let mut requests = Vec::new();
                self.voters.record_response(place, now);
                self.candidate
                    .handle_response(now, place, message, &mut requests);
                self.send_to_voters(now, requests, outgoing);
            }
        }
        self.apply_changes(now);
        Ok(())
    }

    /// Admits an effect of the proxy at `from`, whoever relayed it; it is that holder's heartbeat, too, unless a newer
    /// one has come.
    ///
    /// # Errors
    /// A higher token was seen.
    pub fn admit_effect(
        &mut self,
        from: SocketAddr,
        token: Token,
        is_newest: bool,
        outgoing: &mut DutyMessages,
    ) -> Result<(), MessageError> {
        if let Err(stale) = self.fence.admit(self.duty, token) {
            let fenced = DutyMessage::Fenced {
                duty: self.duty,
                highest: stale.highest,
            };
            outgoing.push((from, fenced));
            return Err(MessageError::StaleToken);
        }
        let now = monotonic_now();
        self.observe_token(token, outgoing);
        if is_newest {
            self.holder = Some(Holder {
                token,
                address: Some(from),
                heartbeat_at: now,
            });
        }
        Ok(())
    }

    /// Takes what another proxy knows of the duty; of the highest token the youngest heartbeat counts.
    pub fn handle_token_report(&mut self, report: &TokenReport, outgoing: &mut DutyMessages) {
        self.observe_token(report.token, outgoing);
        let Some(age_ms) = report.heartbeat_age_ms else {
            return;
        };
        let age_us = u64::from(age_ms).saturating_mul(1000);
        let heartbeat_at = Time(monotonic_now().0.saturating_sub(age_us));
        if self.fence.highest(&self.duty) != Some(report.token) {
            return;
        }
        match &mut self.holder {
            Some(holder) if holder.token == report.token => {
                holder.heartbeat_at = holder.heartbeat_at.max(heartbeat_at);
            }
            holder => {
                *holder = Some(Holder {
                    token: report.token,
                    address: None,
                    heartbeat_at,
                });
            }
        }
    }

    /// A token was seen: nothing lower counts from now on, for effects here and for this proxy's vote.
    pub fn observe_token(&mut self, token: Token, outgoing: &mut DutyMessages) {
        let now = monotonic_now();
        self.raise_token(token);
        let mut requests = Vec::new();
        self.candidate.observe_token(now, token, &mut requests);
        self.send_to_voters(now, requests, outgoing);
        self.apply_changes(now);
    }

    /// What this proxy knows of the duty, for its digests.
    pub fn token_reports(&self) -> Vec<TokenReport> {
        let now = monotonic_now();
        let held = self.candidate.held_token(now);
        self.fence
            .tokens()
            .map(|(duty, token)| {
                let age = if held == Some(token) {
                    Some(Micros(0))
                } else {
                    let holder = self.holder.filter(|holder| holder.token == token);
                    holder.map(|holder| now - holder.heartbeat_at)
                };
                TokenReport {
                    duty: *duty,
                    token,
                    heartbeat_age_ms: age.and_then(|age| u32::try_from(age.0 / 1000).ok()),
                }
            })
            .collect()
    }

    /// Gives the duty up for good, as this proxy shuts down.
    pub fn leave(&mut self, outgoing: &mut DutyMessages) {
        self.is_leaving = true;
        self.tick(outgoing);
    }

    /// From now on this proxy may bid for the duty: it has caught up with what it is about.
    pub fn set_eligible(&mut self) {
        self.is_eligible = true;
    }

    fn lease_message(&self, message: Message) -> DutyMessage {
        DutyMessage::Lease {
            duty: self.duty,
            message,
        }
    }

    fn raise_token(&mut self, token: Token) {
        self.fence.observe(self.duty, token);
        if let Some(voter) = &mut self.voter {
            voter.observe_token(token);
        }
    }

    /// Sends requests to every voter; this proxy's own vote is taken here.
    fn send_to_voters(&mut self, now: Time, requests: Vec<Message>, outgoing: &mut DutyMessages) {
        let mut requests = VecDeque::from(requests);
        while let Some(message) = requests.pop_front() {
            let addresses: Vec<SocketAddr> = self.voters.addresses().collect();
            for (place, address) in addresses.into_iter().enumerate() {
                if address != self.own {
                    outgoing.push((address, self.lease_message(message)));
                    continue;
                }
                let voter = self.voter.as_mut();
                let Some(response) = voter.and_then(|voter| voter.handle(now, message)) else {
                    continue;
                };
                self.voters.record_response(place, now);
                let mut further = Vec::new();
                self.candidate
                    .handle_response(now, place, response, &mut further);
                requests.extend(further);
            }
        }
    }

    /// Logs what became of the lease, and records it.
    fn apply_changes(&mut self, now: Time) {
        for change in self.candidate.take_events() {
            match change {
                LeaseEvent::Acquired(token) => {
                    self.raise_token(token);
                    info!(event = "duty_held", duty = self.duty.name(), token = %format_token(token), mono_us = now.0,
                        "acquired the lease of a duty");
                }
                LeaseEvent::Lost(token, loss) => self.log_loss(token, loss, now),
            }
        }
        self.expires_at = self.candidate.lease_expires_at();
        if let Some(token) = self.candidate.held_token(now) {
            self.holder = Some(Holder {
                token,
                address: Some(self.own),
                heartbeat_at: now,
            });
        }
    }

    /// A stalled holder learns late that its lease is over; it ended with its term.
    fn log_loss(&self, token: Token, loss: LossReason, now: Time) {
        let ended_at = self
            .expires_at
            .map_or(now, |expires_at| expires_at.min(now));
        let reason = match loss {
            LossReason::Released => "released".to_string(),
            LossReason::Expired => "term over".to_string(),
            LossReason::Superseded(by) => format!("superseded by {}", format_token(by)),
        };
        info!(event = "duty_over", duty = self.duty.name(), token = %format_token(token), mono_us = ended_at.0,
            seen_us = now.0, reason, "lost the lease of a duty");
    }

    /// Warns once where no quorum of the voters answers for a whole term.
    fn check_quorum(&mut self, now: Time, is_wanted: bool) {
        let answering = self.voters.answering(now, self.rules.term());
        if !is_wanted || answering > self.voters.count() / 2 {
            self.quorum_loss = None;
            return;
        }
        let loss = self.quorum_loss.get_or_insert(QuorumLoss {
            since: now,
            is_logged: false,
        });
        if !loss.is_logged && now - loss.since > self.rules.grant_duration() {
            loss.is_logged = true;
            warn!(
                event = "duty_no_majority",
                duty = self.duty.name(),
                voters = self.voters.count(),
                answering,
                "no quorum of the voters answers: no proxy can hold the duty's lease"
            );
        }
    }

    /// A message came from that proxy, which may be a voter.
    pub fn record_contact(&mut self, from: SocketAddr) {
        self.voters.record_message(from, monotonic_now());
    }

    /// Why no proxy is known to hold the duty, for operators.
    pub fn no_holder_reason(&self) -> String {
        let reachable = self
            .reachable_voters(monotonic_now(), DIGEST_INTERVAL_BOUND)
            .len();
        let voters = self.voters.count();
        if reachable > voters / 2 {
            format!("no proxy holds the duty yet: {reachable} of {voters} voters answer")
        } else {
            format!("no majority of the voters answers: {reachable} of {voters}")
        }
    }

    /// The voters of which any message came within the last term, or within `at_least` if that is longer.
    fn reachable_voters(&self, now: Time, at_least: Micros) -> Vec<String> {
        let within = self.rules.term().max(at_least);
        self.voters.reachable(now, within, self.own)
    }

    /// For the operators' calls; the names are the operators' ones.
    pub fn status(&self) -> serde_json::Value {
        let now = monotonic_now();
        let voters = self.voters.addresses().map(|voter| voter.to_string());
        let since_heartbeat = Some(self.since_heartbeat()).filter(|age| age.0 < u64::MAX);
        serde_json::json!({
            "duty": self.duty.name(),
            "own": self.own.to_string(),
            "holder": self.holder().map(|address| address.to_string()),
            "held": self.candidate.held_token(now).map(format_token),
            "token": self.fence.highest(&self.duty).map(format_token),
            "heard_ms": since_heartbeat.map(|age| age.0 / 1000),
            "voters": voters.collect::<Vec<_>>(),
            "voters_heard": self.reachable_voters(now, Micros(0)),
            "voter": self.voter.is_some(),
            "silent": self.voter.as_ref().is_some_and(|voter| voter.is_silent(now)),
            "effects_refused": self.fence.rejected(),
        })
    }
}

/// A token as logs and answers show it.
pub fn format_token(token: Token) -> String {
    format!("{}-{:016x}", token.number, token.incarnation)
}
