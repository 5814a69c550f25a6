//! The lease of one duty at this proxy: its voter, its candidate, the fence that rejects effects of former holders, and
//! what this proxy knows of the current holder.
//!
//! - A [`Duty`] is a task that one proxy, the lease holder, performs for the fleet. The members are the fleet's live
//!   proxies; a fixed few proxies are voters. A quorum, that is, a majority of the voters, grants the lease.
//! - A candidate campaigns, that is, starts elections, while it wants the lease.
//! - A lease lasts for a term unless it is renewed. A voter's grant lasts for the grant duration, a term plus a margin
//!   for the drift of the clocks. A candidate that is not a voter campaigns after its campaign delay, two to three
//!   terms.
//! - Each lease has a fencing token, higher than those of earlier leases. The fence rejects effects with a lower token
//!   than the highest one seen.
//! - An effect is what a holder has the other proxies do under its token: an announcement, which is broadcast and
//!   relayed. The holder's heartbeat is an announcement without changes, sent every second.
//! - A digest is a summary that each proxy sends to a few members every second, with the highest token that it has seen
//!   and the age of the holder's last heartbeat.

use super::clocks::{monotonic_now, wall_now};
use super::message::{Duty, DutyMessage, MessageError, TokenReport};
use super::voter_contacts::VoterContacts;
use meadowproxy::fleet::fencing::Fence;
use meadowproxy::fleet::lease::{Candidate, LeaseEvent, LossReason, Message, Rules, Token, Voter};
use meadowproxy::{Micros, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Messages to send, each with the address of its receiver.
pub type DutyMessages = Vec<(SocketAddr, DutyMessage)>;

/// Longest time between two digests from one proxy, in a fleet of at most seven: each second a proxy sends digests to
/// two members in turn, so each of at most six others gets one within 3 s. In a larger fleet it takes longer.
const DIGEST_INTERVAL_BOUND: Micros = Micros(3_000_000);

/// What this proxy knows of the lease holder.
#[derive(Clone, Copy)]
struct Holder {
    token: Token,
    /// Its address; `None` while it is known from digests only, as none of its effects arrived here.
    address: Option<SocketAddr>,
    /// The time of its last heartbeat, on this proxy's monotonic clock: when its newest effect arrived here, or a later
    /// time according to a digest. While this proxy is the holder, the time of its last call.
    last_heartbeat_at: Time,
}

/// A period in which this proxy's candidate wants the lease and no quorum of the voters responds to it.
#[derive(Clone, Copy)]
struct QuorumLoss {
    since: Time,
    is_logged: bool,
}

/// The lease of one duty, with all the roles that this proxy has in it.
pub struct DutyLease {
    duty: Duty,
    rules: Rules,
    own_address: SocketAddr,
    voters: VoterContacts,
    /// `None` if this proxy is not one of the voters.
    voter: Option<Voter>,
    candidate: Candidate,
    /// The fence for this duty only.
    fence: Fence<Duty>,
    holder: Option<Holder>,
    /// The current period without a quorum. One begins at the start, as no voter has responded yet.
    quorum_loss: Option<QuorumLoss>,
    /// Time without a heartbeat of a holder after which a candidate that is not a voter campaigns.
    campaign_delay: Micros,
    /// End of the term while this proxy holds the lease.
    expires_at: Option<Time>,
    /// Random number of this run of the process, part of its ballots.
    incarnation: u64,
    started_at: Time,
    /// Whether this proxy has caught up with the state that the duty changes.
    is_eligible: bool,
    /// Whether this proxy is shutting down and no longer campaigns.
    is_leaving: bool,
}

impl DutyLease {
    /// Creates the state before any message arrived. `incarnation` is drawn at random at each start of the process.
    pub fn new(
        duty: Duty,
        rules: Rules,
        voters: Vec<SocketAddr>,
        own_address: SocketAddr,
        incarnation: u64,
    ) -> DutyLease {
        let now = monotonic_now();
        // From two to three terms, random as the incarnation is, so that the proxies of a large fleet do not all
        // campaign at once.
        let campaign_delay = Micros(rules.term().0 * 2 + incarnation % rules.term().0.max(1));
        let is_voter = voters.contains(&own_address);
        DutyLease {
            duty,
            rules,
            own_address,
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

    /// Returns the token under which this proxy holds the lease now, if it does.
    pub fn held_token(&self) -> Option<Token> {
        self.candidate.held_token(monotonic_now())
    }

    /// Returns the holder's address, if it is known and its last heartbeat is more recent than the grant duration.
    pub fn holder(&self) -> Option<SocketAddr> {
        if self.held_token().is_some() {
            return Some(self.own_address);
        }
        let holder = self.holder.filter(|holder| {
            let is_recent =
                monotonic_now() - holder.last_heartbeat_at < self.rules.grant_duration();
            holder.address != Some(self.own_address) && is_recent
        })?;
        holder.address
    }

    /// Returns the time since the holder's last known heartbeat: zero while this proxy is the holder, `u64::MAX` if no
    /// holder is known.
    pub fn since_heartbeat(&self) -> Micros {
        match (self.held_token(), &self.holder) {
            (Some(_), _) => Micros(0),
            (None, Some(holder)) => monotonic_now() - holder.last_heartbeat_at,
            (None, None) => Micros(u64::MAX),
        }
    }

    /// Runs the timers that are due. Returns when the candidate's next timer is due, if it has one. Call this by then,
    /// and regularly in any case: the delays before a campaign have no timer of their own.
    pub fn tick(&mut self, outgoing: &mut DutyMessages) -> Option<Time> {
        let now = monotonic_now();
        let wants_lease = self.wants_lease(now);
        let wall_ms = wall_now().0 / 1000;
        let mut requests = Vec::new();
        self.candidate
            .tick(now, wall_ms, wants_lease, &mut requests);
        self.send_to_voters(now, requests, outgoing);
        self.apply_lease_events(now);
        self.check_quorum(now, wants_lease);
        self.candidate.next_tick_at()
    }

    /// Whether this proxy's candidate wants the lease. A voter campaigns as soon as it is no longer silent after its
    /// start and has no live grant to another proxy. Any other proxy campaigns only after `campaign_delay` without a
    /// heartbeat, so that in a large fleet usually only the voters campaign when a holder fails.
    fn wants_lease(&self, now: Time) -> bool {
        if !self.is_eligible || self.is_leaving {
            return false;
        }
        if self.candidate.held_token(now).is_some() {
            return true;
        }
        let Some(voter) = &self.voter else {
            let last_heartbeat_at = self
                .holder
                .map_or(self.started_at, |holder| holder.last_heartbeat_at);
            return now - last_heartbeat_at > self.campaign_delay;
        };
        let is_free = voter
            .granted_ballot(now)
            .is_none_or(|ballot| ballot.incarnation == self.incarnation);
        is_free && !voter.is_silent(now)
    }

    /// Handles a lease message from the proxy at `from`: a candidate's request, or a voter's response.
    ///
    /// # Errors
    /// Returns [`MessageError::NotAVoter`] for a response from a proxy that is not a voter.
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
                let index = self.voters.index_of(from).ok_or(MessageError::NotAVoter)?;
                let mut requests = Vec::new();
                self.voters.record_response(index, now);
                self.candidate
                    .handle_response(now, index, message, &mut requests);
                self.send_to_voters(now, requests, outgoing);
            }
        }
        self.apply_lease_events(now);
        Ok(())
    }

    /// Admits an effect of the holder at `origin`, whichever proxy relayed it. It counts as the holder's heartbeat,
    /// too, if `is_newest`: no later broadcast of `origin` has arrived before it.
    ///
    /// # Errors
    /// Returns [`MessageError::StaleToken`] if a higher token was seen; `origin` is notified of that token.
    pub fn admit_effect(
        &mut self,
        origin: SocketAddr,
        token: Token,
        is_newest: bool,
        outgoing: &mut DutyMessages,
    ) -> Result<(), MessageError> {
        if let Err(stale) = self.fence.admit(self.duty, token) {
            let fenced = DutyMessage::Fenced {
                duty: self.duty,
                highest: stale.highest,
            };
            outgoing.push((origin, fenced));
            return Err(MessageError::StaleToken);
        }
        let now = monotonic_now();
        self.observe_token(token, outgoing);
        if is_newest {
            self.holder = Some(Holder {
                token,
                address: Some(origin),
                last_heartbeat_at: now,
            });
        }
        Ok(())
    }

    /// Applies another proxy's report on the duty: its token is observed, and its heartbeat counts if that token is the
    /// highest and no later heartbeat is known.
    pub fn handle_token_report(&mut self, report: &TokenReport, outgoing: &mut DutyMessages) {
        self.observe_token(report.token, outgoing);
        let Some(age_ms) = report.heartbeat_age_ms else {
            return;
        };
        let age_us = u64::from(age_ms).saturating_mul(1000);
        let last_heartbeat_at = Time(monotonic_now().0.saturating_sub(age_us));
        if self.fence.highest(&self.duty) != Some(report.token) {
            return;
        }
        match &mut self.holder {
            Some(holder) if holder.token == report.token => {
                holder.last_heartbeat_at = holder.last_heartbeat_at.max(last_heartbeat_at);
            }
            holder => {
                *holder = Some(Holder {
                    token: report.token,
                    address: None,
                    last_heartbeat_at,
                });
            }
        }
    }

    /// Records a token that was seen: from now on, effects and ballots with a lower one are rejected here, and a lease
    /// or election of this proxy with a lower one ends.
    pub fn observe_token(&mut self, token: Token, outgoing: &mut DutyMessages) {
        let now = monotonic_now();
        self.reject_lower_tokens(token);
        let mut requests = Vec::new();
        self.candidate.observe_token(now, token, &mut requests);
        self.send_to_voters(now, requests, outgoing);
        self.apply_lease_events(now);
    }

    /// Returns what this proxy knows of the duty, for its digests: one report, or none if no token was seen.
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
                    holder.map(|holder| now - holder.last_heartbeat_at)
                };
                TokenReport {
                    duty: *duty,
                    token,
                    heartbeat_age_ms: age.and_then(|age| u32::try_from(age.0 / 1000).ok()),
                }
            })
            .collect()
    }

    /// Releases the lease and no longer campaigns for it. Called at shutdown.
    pub fn leave(&mut self, outgoing: &mut DutyMessages) {
        self.is_leaving = true;
        self.tick(outgoing);
    }

    /// Allows this proxy to campaign for the lease, as it has caught up with the state that the duty changes.
    pub fn set_eligible(&mut self) {
        self.is_eligible = true;
    }

    /// Wraps a lease message with its duty.
    fn lease_message(&self, message: Message) -> DutyMessage {
        DutyMessage::Lease {
            duty: self.duty,
            message,
        }
    }

    /// Has the fence and the voter reject lower tokens from now on.
    fn reject_lower_tokens(&mut self, token: Token) {
        self.fence.observe(self.duty, token);
        if let Some(voter) = &mut self.voter {
            voter.observe_token(token);
        }
    }

    /// Sends requests to every voter. The request to this proxy's own voter is handled here, with any requests that
    /// follow from its response.
    fn send_to_voters(&mut self, now: Time, requests: Vec<Message>, outgoing: &mut DutyMessages) {
        let mut requests = VecDeque::from(requests);
        while let Some(message) = requests.pop_front() {
            let addresses: Vec<SocketAddr> = self.voters.addresses().collect();
            for (index, address) in addresses.into_iter().enumerate() {
                if address != self.own_address {
                    outgoing.push((address, self.lease_message(message)));
                    continue;
                }
                let voter = self.voter.as_mut();
                let Some(response) = voter.and_then(|voter| voter.handle(now, message)) else {
                    continue;
                };
                self.voters.record_response(index, now);
                let mut next_requests = Vec::new();
                self.candidate
                    .handle_response(now, index, response, &mut next_requests);
                requests.extend(next_requests);
            }
        }
    }

    /// Logs and records the events of the candidate.
    fn apply_lease_events(&mut self, now: Time) {
        for event in self.candidate.take_events() {
            match event {
                LeaseEvent::Acquired(token) => {
                    self.reject_lower_tokens(token);
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
                address: Some(self.own_address),
                last_heartbeat_at: now,
            });
        }
    }

    /// Logs the loss of the lease. A stalled holder notices the loss late, so the logged time is the end of its term at
    /// the latest.
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

    /// Warns once in each period in which this proxy wants the lease and no quorum of the voters responded to its
    /// candidate within the last term, when the period has lasted longer than a grant.
    fn check_quorum(&mut self, now: Time, wants_lease: bool) {
        let answering = self.voters.responding_count(now, self.rules.term());
        if !wants_lease || answering > self.voters.count() / 2 {
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
                "no quorum of the voters responds to this proxy, so it cannot hold the duty's lease"
            );
        }
    }

    /// Records that a message of any kind arrived from another proxy; only voters matter.
    pub fn record_contact(&mut self, from: SocketAddr) {
        self.voters.record_message(from, monotonic_now());
    }

    /// Returns the reason why no holder of the duty is known, for operators. A voter answers if
    /// [`DutyLease::reachable_voters`] contains it.
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

    /// Returns the voters of which a message of any kind arrived within the last term, or within `at_least` if that is
    /// longer. This proxy, if it is a voter, is always included.
    fn reachable_voters(&self, now: Time, at_least: Micros) -> Vec<String> {
        let within = self.rules.term().max(at_least);
        self.voters.reachable(now, within, self.own_address)
    }

    /// Returns the status of the lease for operators. The JSON keys are part of the admin interface.
    pub fn status(&self) -> serde_json::Value {
        let now = monotonic_now();
        let voters = self.voters.addresses().map(|voter| voter.to_string());
        let since_heartbeat = Some(self.since_heartbeat()).filter(|age| age.0 < u64::MAX);
        serde_json::json!({
            "duty": self.duty.name(),
            "own": self.own_address.to_string(),
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

/// Formats a token for logs and responses to operators.
pub fn format_token(token: Token) -> String {
    format!("{}-{:016x}", token.number, token.incarnation)
}
