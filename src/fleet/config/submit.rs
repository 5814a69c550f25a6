//! Queues of submissions: those of this proxy until their outcome is known, and those that wait at the leader. Also
//! validates a submission against the table.

use super::change::check_edits;
use super::entry::{Edit, Key};
use super::limits::MAX_QUEUED;
use super::submission::{Submission, SubmitError};
use super::table::Table;
use crate::interface::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The interval at which a submission is sent to the leader until its outcome is known.
const RESEND_INTERVAL: Micros = Micros(250_000);
/// The time after which a submission without an outcome is given up.
pub(super) const SUBMIT_TIMEOUT: Micros = Micros(10_000_000);

/// A submission that is waiting for its outcome.
#[derive(Clone, Debug)]
struct Pending {
    submission: Submission,
    since: Time,
    last_sent: Option<Time>,
}

/// The submissions of this proxy whose outcome is not known yet, at most [`MAX_QUEUED`].
#[derive(Clone, Debug, Default)]
pub(super) struct PendingSubmissions {
    by_id: BTreeMap<u64, Pending>,
}

impl PendingSubmissions {
    pub(super) fn is_full(&self) -> bool {
        self.by_id.len() >= MAX_QUEUED
    }

    pub(super) fn add(&mut self, now: Time, submission: Submission) {
        let pending = Pending {
            submission,
            since: now,
            last_sent: None,
        };
        self.by_id.insert(pending.submission.id, pending);
    }

    /// Removes a submission. Returns whether it was waiting for its outcome.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        self.by_id.remove(&id).is_some()
    }

    /// Removes the submissions that have waited for [`SUBMIT_TIMEOUT`] and returns their ids.
    pub(super) fn remove_expired(&mut self, now: Time) -> Vec<u64> {
        let is_expired = |pending: &Pending| now - pending.since >= SUBMIT_TIMEOUT;
        let expired: Vec<u64> = self
            .by_id
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(id, _)| *id)
            .collect();
        self.by_id.retain(|_, pending| !is_expired(pending));
        expired
    }

    /// Returns the submissions that are due to be sent to the leader, and records them as sent at `now`.
    pub(super) fn take_due(&mut self, now: Time) -> Vec<Submission> {
        let mut due = Vec::new();
        for pending in self.by_id.values_mut() {
            let is_due = pending
                .last_sent
                .is_none_or(|sent| now - sent >= RESEND_INTERVAL);
            if is_due {
                pending.last_sent = Some(now);
                due.push(pending.submission.clone());
            }
        }
        due
    }
}

/// A submission in the leader's queue.
#[derive(Clone, Debug)]
pub(super) struct Queued {
    /// The address of the proxy that sent the submission.
    pub(super) submitter: SocketAddr,
    pub(super) submission: Submission,
}

/// The submission whose change is currently proposed.
#[derive(Clone, Copy, Debug)]
struct ProposedSubmission {
    submitter: SocketAddr,
    id: u64,
}

/// The submissions at the leader: those that wait, at most [`MAX_QUEUED`], and the proposed one.
#[derive(Clone, Debug, Default)]
pub(super) struct SubmissionQueue {
    waiting: VecDeque<Queued>,
    proposed: Option<ProposedSubmission>,
}

impl SubmissionQueue {
    /// Drops all submissions when this proxy stops being the leader. The submitters send them to the next leader.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.proposed = None;
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.waiting.iter().any(|queued| queued.submission.id == id)
    }

    /// Appends a submission.
    ///
    /// # Errors
    /// Returns [`SubmitError::Busy`] if the queue is full.
    pub(super) fn push(
        &mut self,
        submitter: SocketAddr,
        submission: Submission,
    ) -> Result<(), SubmitError> {
        if self.waiting.len() >= MAX_QUEUED {
            return Err(SubmitError::Busy);
        }
        self.waiting.push_back(Queued {
            submitter,
            submission,
        });
        Ok(())
    }

    pub(super) fn pop(&mut self) -> Option<Queued> {
        self.waiting.pop_front()
    }

    /// Records that a submission's change was proposed.
    pub(super) fn set_proposed(&mut self, submitter: SocketAddr, id: u64) {
        self.proposed = Some(ProposedSubmission { submitter, id });
    }

    /// Returns the submitter of a committed change and clears the proposed submission, if the change was proposed here.
    pub(super) fn take_proposed(&mut self, id: u64) -> Option<SocketAddr> {
        self.proposed
            .take_if(|proposed| proposed.id == id)
            .map(|proposed| proposed.submitter)
    }
}

/// The effect that a valid submission would have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Validated {
    /// The submission changes at least one entry.
    Change,
    /// All entries already have the submitted values.
    NoChange,
}

/// Checks whether a submission can be applied to the table.
///
/// # Errors
/// The submission is invalid, conflicts with a later change, or does not fit into the table.
pub(super) fn validate(table: &Table, submission: &Submission) -> Result<Validated, SubmitError> {
    check_edits(&submission.edits).map_err(SubmitError::Invalid)?;
    let mut validated = Validated::NoChange;
    for edit in &submission.edits {
        if validate_edit(table, edit, submission.base)? == Validated::Change {
            validated = Validated::Change;
        }
    }
    table
        .check_capacity(&submission.edits)
        .map_err(|_| SubmitError::Full)?;
    Ok(validated)
}

fn validate_edit(table: &Table, edit: &Edit, base: u64) -> Result<Validated, SubmitError> {
    let entry = table.get(edit.key.position());
    if entry.is_some_and(|entry| entry.edit == *edit) {
        return Ok(Validated::NoChange);
    }
    if let Some(compacted) = edit.compacted_version() {
        let allowed = table.compacted_version()..=table.version();
        if !allowed.contains(&compacted) {
            let reason = format!("expected {} to {}", allowed.start(), allowed.end());
            return Err(SubmitError::Invalid(edit.key.invalid(reason)));
        }
    }
    match entry {
        Some(entry) if entry.edit.key != edit.key => {
            let reason = format!(
                "the hash of its name collides with that of {}",
                entry.edit.key
            );
            Err(SubmitError::Invalid(edit.key.invalid(reason)))
        }
        Some(entry) if entry.version > base => Err(SubmitError::Conflict {
            key: edit.key.to_string(),
            version: entry.version,
        }),
        Some(_) => Ok(Validated::Change),
        None => check_compacted(table, edit, base),
    }
}

/// Checks an edit of an entry that the table does not have. If the table was compacted after the base, a later change of the
/// entry may have been dropped, so the edit is a conflict.
fn check_compacted(table: &Table, edit: &Edit, base: u64) -> Result<Validated, SubmitError> {
    match table.get(Key::compaction().position()) {
        Some(compaction) if compaction.version > base => Err(SubmitError::Conflict {
            key: edit.key.to_string(),
            version: compaction.version,
        }),
        _ => Ok(Validated::Change),
    }
}
