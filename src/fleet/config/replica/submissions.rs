//! Forwards operators' changes from the proxy that received them to the leader, and their outcomes back.

use super::{Event, Replica};
use crate::fleet::config::applied_changes::SubmissionStatus;
use crate::fleet::config::change::check_edits;
use crate::fleet::config::message::{Message, Outbox, Outgoing};
use crate::fleet::config::peers::Context;
use crate::fleet::config::proposer::{Proposal, Proposer};
use crate::fleet::config::submission::{Submission, SubmitError};
use crate::fleet::config::submit::{validate, Queued, Validated};
use crate::interface::Time;
use std::net::SocketAddr;

impl Replica {
    /// Submits an operator's change. Its outcome follows as an [`Event::Outcome`].
    ///
    /// # Errors
    /// The submission is invalid, too many are waiting, or no leader is known.
    pub fn submit(
        &mut self,
        now: Time,
        context: &Context,
        submission: Submission,
        out: &mut Outbox,
    ) -> Result<(), SubmitError> {
        check_edits(&submission.edits).map_err(SubmitError::Invalid)?;
        if self.pending.is_full() {
            return Err(SubmitError::Busy);
        }
        if context.lease.is_none() && context.leader.is_none() {
            return Err(SubmitError::NoLeader);
        }
        self.pending.add(now, submission);
        self.resend_submissions(now, context, out);
        Ok(())
    }

    /// Stops sending a submission to the leader, because the operator was already told that its outcome is unknown.
    pub fn stop_resending(&mut self, id: u64) {
        self.pending.remove(id);
    }

    /// Sends the submissions without an outcome to the leader, and ends those that timed out.
    pub(super) fn resend_submissions(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        for id in self.pending.remove_expired(now) {
            self.events.push(Event::Outcome {
                id,
                result: Err(SubmitError::Unknown),
            });
        }
        for submission in self.pending.take_due(now) {
            if context.lease.is_some() {
                self.enqueue(now, context, self.rules.own, submission, out);
            } else if let Some(leader) = context.leader {
                out.push(Outgoing {
                    to: leader,
                    message: Message::Submit(submission),
                });
            }
        }
    }

    /// Queues a submission, or answers it at once if it is a duplicate or the queue is full. Ignores it if this proxy is not
    /// the leader, as the submitter sends it again.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        context: &Context,
        submitter: SocketAddr,
        submission: Submission,
        out: &mut Outbox,
    ) {
        let Some(proposer) = &self.proposer else {
            return;
        };
        let id = submission.id;
        if let Some(outcome) = self.answered.outcome(id).cloned() {
            return self.send_outcome(submitter, id, outcome, out);
        }
        match self.applied.status(&submission, self.table.version()) {
            SubmissionStatus::New => {}
            SubmissionStatus::Applied(version) => {
                return self.send_outcome(submitter, id, Ok(version), out);
            }
            SubmissionStatus::Unknown => return, // the submitter sends the submission again
        }
        let is_proposed = proposer.proposed().is_some_and(|change| change.id == id);
        if is_proposed || self.queue.contains(id) {
            return;
        }
        match self.queue.push(submitter, submission) {
            Ok(()) => self.propose_next(now, context, out),
            Err(error) => self.answer(now, submitter, id, Err(error), out),
        }
    }

    /// Proposes the next valid submission, unless a change is already proposed.
    pub(super) fn propose_next(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        while self.proposer.as_ref().is_some_and(Proposer::is_ready) {
            let Some(Queued {
                submitter,
                submission,
            }) = self.queue.pop()
            else {
                return;
            };
            self.propose_or_answer(now, context, submitter, submission, out);
        }
    }

    /// Proposes a submission, or answers it if it leads to no new change.
    fn propose_or_answer(
        &mut self,
        now: Time,
        context: &Context,
        submitter: SocketAddr,
        submission: Submission,
        out: &mut Outbox,
    ) {
        let id = submission.id;
        // An earlier leader may have proposed the submission, and its change been committed since it was queued here.
        match self.applied.status(&submission, self.table.version()) {
            SubmissionStatus::New => {}
            SubmissionStatus::Applied(version) => {
                return self.send_outcome(submitter, id, Ok(version), out);
            }
            SubmissionStatus::Unknown => return,
        }
        match validate(&self.table, &submission) {
            Ok(Validated::Change) => {
                self.queue.set_proposed(submitter, id);
                self.propose(now, context, submission, out);
            }
            Ok(Validated::NoChange) => {
                self.answer(now, submitter, id, Ok(self.table.version()), out);
            }
            Err(error) => self.answer(now, submitter, id, Err(error), out),
        }
    }

    /// Answers a submission that leads to no change, and records the answer for duplicates.
    fn answer(
        &mut self,
        now: Time,
        submitter: SocketAddr,
        id: u64,
        outcome: Result<u64, SubmitError>,
        out: &mut Outbox,
    ) {
        self.answered.record(now, id, outcome.clone());
        self.send_outcome(submitter, id, outcome, out);
    }

    fn propose(&mut self, now: Time, context: &Context, submission: Submission, out: &mut Outbox) {
        let proposal = Proposal {
            id: submission.id,
            edits: submission.edits,
        };
        let version = self.table.version();
        let mut requests = Vec::new();
        if let Some(proposer) = &mut self.proposer {
            proposer.propose(now, context.wall_ms, version, proposal, &mut requests);
        }
        self.send_to_voters(now, context, requests, out);
    }

    /// Sends the outcome of a submission to its submitter.
    pub(super) fn send_outcome(
        &mut self,
        submitter: SocketAddr,
        id: u64,
        result: Result<u64, SubmitError>,
        out: &mut Outbox,
    ) {
        if submitter == self.rules.own {
            self.on_outcome(id, result);
        } else {
            out.push(Outgoing {
                to: submitter,
                message: Message::Outcome { id, result },
            });
        }
    }

    /// Reports the outcome of a submission of this proxy. Only the first outcome counts.
    pub(super) fn on_outcome(&mut self, id: u64, result: Result<u64, SubmitError>) {
        if self.pending.remove(id) {
            self.events.push(Event::Outcome { id, result });
        }
    }
}
