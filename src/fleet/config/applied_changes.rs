//! Records which submissions became changes lately, so that a duplicate of a submission isn't applied twice.

use super::limits::MAX_APPLIED_IDS;
use super::submission::Submission;
use super::submit::SUBMIT_TIMEOUT;
use crate::interface::{Micros, Time};
use std::collections::VecDeque;

/// The longest time that a datagram may be in transit.
const MAX_DATAGRAM_DELAY: Micros = Micros(5_000_000);
/// The time after which no duplicate of a submission arrives any more, counted from when its change was applied.
pub(super) const DUPLICATE_WINDOW: Micros = Micros(SUBMIT_TIMEOUT.0 + MAX_DATAGRAM_DELAY.0);

/// Whether a submission has become a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStatus {
    /// The submission has not become a change.
    New,
    /// The submission became the change with this version.
    Applied(u64),
    /// The submission may have become a change whose id this replica doesn't know.
    Unknown,
}

/// A change that this replica applied, with the id of its submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AppliedChange {
    id: u64,
    version: u64,
    at: Time,
}

/// The ids of the last changes that a replica applied one by one, at most [`MAX_APPLIED_IDS`]. If the table was replaced in
/// one step, from another replica or from a snapshot, the ids of the changes in it are not known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AppliedChanges {
    now: Time,
    recent: VecDeque<AppliedChange>,
    /// `recent` has the ids of all changes after this version.
    known_since: u64,
    /// Until this time, duplicates of submissions of changes up to `known_since` may arrive.
    duplicates_until: Time,
}

impl AppliedChanges {
    /// Creates the record for an empty table.
    pub fn new(now: Time) -> AppliedChanges {
        AppliedChanges {
            now,
            recent: VecDeque::new(),
            known_since: 0,
            duplicates_until: now,
        }
    }

    /// Sets the current time. Call it before any other method at that time.
    pub fn set_time(&mut self, now: Time) {
        self.now = now;
    }

    /// Records a change that was applied to the table.
    pub fn record(&mut self, id: u64, version: u64) {
        let at = self.now;
        self.recent.push_back(AppliedChange { id, version, at });
        if self.recent.len() <= MAX_APPLIED_IDS {
            return;
        }
        if let Some(oldest) = self.recent.pop_front() {
            self.known_since = oldest.version;
            self.duplicates_until = self.duplicates_until.max(oldest.at + DUPLICATE_WINDOW);
        }
    }

    /// Discards the known ids, because the table was replaced in one step by one at this version.
    pub fn forget_ids_up_to(&mut self, version: u64) {
        self.recent.clear();
        self.known_since = version;
        self.duplicates_until = self.now + DUPLICATE_WINDOW;
    }

    /// Returns whether a submission has become a change, given the table's version.
    ///
    /// A submission's change always has a later version than the submission's base. So its id is known, unless the base is
    /// older than the known changes or later than the table.
    pub fn status(&self, submission: &Submission, table_version: u64) -> SubmissionStatus {
        let known = self
            .recent
            .iter()
            .rev()
            .find(|change| change.id == submission.id);
        if let Some(change) = known {
            return SubmissionStatus::Applied(change.version);
        }
        let covered = (self.known_since..=table_version).contains(&submission.base);
        if covered || self.now >= self.duplicates_until {
            SubmissionStatus::New
        } else {
            SubmissionStatus::Unknown
        }
    }
}
