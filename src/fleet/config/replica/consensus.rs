//! Drives Paxos: dispatches its messages to this proxy's roles, starts and ends the leader role with the lease, and spreads
//! committed changes.

use super::{Event, Replica};
use crate::fleet::config::acceptor::RecoveryReply;
use crate::fleet::config::change::Change;
use crate::fleet::config::error::MessageError;
use crate::fleet::config::gossip;
use crate::fleet::config::message::{AcceptedChange, Message, Outbox, Outgoing, PaxosMessage};
use crate::fleet::config::peers::Context;
use crate::fleet::config::proposer::{Proposer, ReplyOutcome};
use crate::fleet::config::table::ApplyOutcome;
use crate::interface::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;

impl Replica {
    /// Dispatches a Paxos message to this proxy's voter or leader role.
    pub(super) fn on_paxos(
        &mut self,
        now: Time,
        context: &Context,
        from: SocketAddr,
        message: PaxosMessage,
        out: &mut Outbox,
    ) -> Result<(), MessageError> {
        let sender = self.rules.voter_index(from);
        match message {
            PaxosMessage::Prepare { .. }
            | PaxosMessage::Accept { .. }
            | PaxosMessage::Recover { .. } => self.on_voter_request(from, message, out),
            PaxosMessage::RecoverReply {
                nonce,
                state,
                is_complete,
            } => {
                let voter = sender.ok_or(MessageError::SenderNotVoter)?;
                let reply = RecoveryReply {
                    voter,
                    nonce,
                    state,
                    is_complete,
                };
                self.on_recovery_reply(now, context, reply)
            }
            PaxosMessage::Promise { .. }
            | PaxosMessage::Accepted { .. }
            | PaxosMessage::Behind { .. }
            | PaxosMessage::Nack { .. } => {
                let voter = sender.ok_or(MessageError::SenderNotVoter)?;
                if let PaxosMessage::Promise { accepted, .. } = &message {
                    check_accepted(accepted.as_ref())?;
                }
                let mut requests = Vec::new();
                self.on_voter_reply(now, context, voter, message, &mut requests, out);
                self.send_to_voters(now, context, requests, out);
                self.propose_next(now, context, out);
                Ok(())
            }
        }
    }

    /// Handles a request to this proxy as a voter.
    fn on_voter_request(
        &mut self,
        from: SocketAddr,
        message: PaxosMessage,
        out: &mut Outbox,
    ) -> Result<(), MessageError> {
        if let PaxosMessage::Accept { change, .. } = &message {
            change.check()?;
        }
        let acceptor = self.acceptor.as_mut().ok_or(MessageError::NotVoter)?;
        if let Some(reply) = acceptor.handle(message, self.table.version()) {
            out.push(Outgoing {
                to: from,
                message: Message::Paxos(reply),
            });
        }
        Ok(())
    }

    /// Handles another voter's reply to this proxy's recovery request.
    fn on_recovery_reply(
        &mut self,
        now: Time,
        context: &Context,
        reply: RecoveryReply,
    ) -> Result<(), MessageError> {
        check_accepted(reply.state.accepted.as_ref())?;
        let acceptor = self.acceptor.as_mut().ok_or(MessageError::NotVoter)?;
        acceptor.on_recovery_reply(now, context.wall_ms, self.table.version(), reply);
        Ok(())
    }

    /// Handles a voter's reply to this proxy as the leader. The messages in `requests` go to all voters.
    fn on_voter_reply(
        &mut self,
        now: Time,
        context: &Context,
        voter: usize,
        reply: PaxosMessage,
        requests: &mut Vec<PaxosMessage>,
        out: &mut Outbox,
    ) {
        // The lease may have ended while the process was paused, so it is checked before a reply counts.
        let Some(proposer) = self
            .proposer
            .as_mut()
            .filter(|proposer| context.lease == Some(proposer.token()))
        else {
            return;
        };
        match proposer.handle(now, self.table.version(), voter, reply, requests) {
            ReplyOutcome::Wait => {}
            ReplyOutcome::Committed(change) => self.on_committed(now, context, &change, out),
            ReplyOutcome::VoterBehind { version, retry } => {
                let to = self.rules.voters[voter];
                self.catch_up_source
                    .send_changes(now, to, &self.table, version, out);
                let message = Message::Paxos(retry);
                out.push(Outgoing { to, message });
            }
            ReplyOutcome::Superseded(token) => {
                self.stop_leading();
                self.events.push(Event::Superseded(token));
            }
        }
    }

    /// Sends the leader's requests to every voter. If this proxy is a voter, its own replies are handled at once.
    pub(super) fn send_to_voters(
        &mut self,
        now: Time,
        context: &Context,
        requests: Vec<PaxosMessage>,
        out: &mut Outbox,
    ) {
        let mut requests = VecDeque::from(requests);
        while let Some(request) = requests.pop_front() {
            for (index, voter) in self.rules.voters.clone().into_iter().enumerate() {
                if voter != self.rules.own {
                    let message = Message::Paxos(request.clone());
                    out.push(Outgoing { to: voter, message });
                    continue;
                }
                let version = self.table.version();
                let reply = self
                    .acceptor
                    .as_mut()
                    .and_then(|acceptor| acceptor.handle(request.clone(), version));
                if let Some(reply) = reply {
                    let mut next = Vec::new();
                    self.on_voter_reply(now, context, index, reply, &mut next, out);
                    requests.extend(next);
                }
            }
        }
    }

    /// Applies and spreads a change of this leader that a majority of the voters accepted, and answers its submitter.
    fn on_committed(&mut self, now: Time, context: &Context, change: &Change, out: &mut Outbox) {
        if self.apply_or_buffer(change) == Ok(ApplyOutcome::Applied) {
            let message = Message::Changes {
                changes: vec![change.clone()],
                version: change.version,
                push: true,
            };
            self.send_to_other_voters(&message, out);
            gossip::push_changes(
                std::slice::from_ref(change),
                self.table.version(),
                context,
                &mut self.peers,
                out,
            );
            self.retransmissions.schedule(now, change);
        }
        if let Some(submitter) = self.queue.take_proposed(change.id) {
            self.send_outcome(submitter, change.id, Ok(change.version), out);
        }
    }

    /// Drives the recovery of this proxy as a voter that restarted.
    pub(super) fn recover_voter(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        let mut requests = Vec::new();
        acceptor.tick(now, context.wall_ms, self.table.version(), &mut requests);
        for request in requests {
            self.send_to_other_voters(&Message::Paxos(request), out);
        }
    }

    /// Starts or ends the leader role with the lease, and drives it in between.
    pub(super) fn update_leadership(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        let lease_lost = self
            .proposer
            .as_ref()
            .is_some_and(|proposer| context.lease != Some(proposer.token()));
        if lease_lost {
            self.stop_leading();
        }
        let new_token = context.lease.filter(|token| *token > self.last_token);
        if let Some(token) = new_token.filter(|_| self.proposer.is_none()) {
            self.last_token = token;
            self.proposer = Some(Proposer::new(self.rules.lease, token));
        }
        let Some(proposer) = &mut self.proposer else {
            return;
        };
        let mut requests = Vec::new();
        proposer.tick(now, self.table.version(), &mut requests);
        self.send_to_voters(now, context, requests, out);
        self.propose_next(now, context, out);
    }

    /// Ends the leader role and drops the queued submissions.
    fn stop_leading(&mut self) {
        self.proposer = None;
        self.queue.clear();
    }

    fn send_to_other_voters(&self, message: &Message, out: &mut Outbox) {
        for to in self.rules.other_voters() {
            let message = message.clone();
            out.push(Outgoing { to, message });
        }
    }
}

fn check_accepted(accepted: Option<&AcceptedChange>) -> Result<(), MessageError> {
    if let Some(accepted) = accepted {
        accepted.change.check()?;
    }
    Ok(())
}
