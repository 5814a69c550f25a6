//! Operators' changes on their way: the submissions of this proxy until their outcome is known, and the leader's queue.

use super::change::check_edits;
use super::entry::{Edit, Key};
use super::limits::MAX_QUEUED;
use super::submission::{Submission, SubmitError};
use super::table::Table;
use crate::interface::{Micros, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How often a submission is sent to the leader until its outcome is known.
const RESEND_INTERVAL: Micros = Micros(250_000);
/// For how long it is sent.
pub(super) const SUBMIT_TIMEOUT: Micros = Micros(10_000_000);

/// A submission that waits for its outcome.
#[derive(Clone, Debug)]
struct Pending {
    submission: Submission,
    since: Time,
    last_sent: Option<Time>,
}

/// The submissions of this proxy whose outcome is not known.
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

    /// Removes a submission whose outcome came; whether it waited for one.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        self.by_id.remove(&id).is_some()
    }

    /// Removes the submissions that no outcome came for in time and returns their ids.
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

    /// The submissions that are to be sent to the leader now.
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

/// A submission at the leader.
#[derive(Clone, Debug)]
pub(super) struct Queued {
    /// The proxy that sent it.
    pub(super) submitter: SocketAddr,
    pub(super) submission: Submission,
}

/// The submission whose change is proposed.
#[derive(Clone, Copy, Debug)]
struct Open {
    submitter: SocketAddr,
    id: u64,
}

/// The submissions that wait at the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct SubmissionQueue {
    waiting: VecDeque<Queued>,
    open: Option<Open>,
}

impl SubmissionQueue {
    /// This proxy is the leader no more: the submitters send theirs to the next one.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.open = None;
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.waiting.iter().any(|queued| queued.submission.id == id)
    }

    /// Appends a submission.
    ///
    /// # Errors
    /// [`SubmitError::Busy`].
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

    /// A submission's change is proposed.
    pub(super) fn open(&mut self, submitter: SocketAddr, id: u64) {
        self.open = Some(Open { submitter, id });
    }

    /// A change was committed; returns the submitter, if the change was proposed here.
    pub(super) fn close(&mut self, id: u64) -> Option<SocketAddr> {
        self.open
            .take_if(|open| open.id == id)
            .map(|open| open.submitter)
    }
}

/// What a valid submission would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Validated {
    /// It changes at least one entry.
    Change,
    /// All entries are as it wants them.
    NoChange,
}

/// Checks whether a submission may follow on the table.
///
/// # Errors
/// It is invalid, conflicts with a later change, or does not fit into the table.
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
            let reason = format!("its name's hash is that of {}", entry.edit.key);
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

/// Checks an edit of an entry that the table does not have: a compaction after the base may have dropped a later change of
/// it.
fn check_compacted(table: &Table, edit: &Edit, base: u64) -> Result<Validated, SubmitError> {
    match table.get(Key::compaction().position()) {
        Some(compaction) if compaction.version > base => Err(SubmitError::Conflict {
            key: edit.key.to_string(),
            version: compaction.version,
        }),
        _ => Ok(Validated::Change),
    }
}
