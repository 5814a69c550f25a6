//! Which submissions became changes lately, so that one that is sent again is not made a second time.

use super::limits::MAX_APPLIED_IDS;
use super::submission::Submission;
use super::submit::SUBMIT_TIMEOUT;
use crate::interface::{Micros, Time};
use std::collections::VecDeque;

/// How long a datagram may be on its way.
const MAX_DATAGRAM_DELAY: Micros = Micros(5_000_000);
/// How long after a change was applied its submission may still arrive again.
pub(super) const REPEAT_WINDOW: Micros = Micros(SUBMIT_TIMEOUT.0 + MAX_DATAGRAM_DELAY.0);

/// What is known of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionStatus {
    /// No change was made from it.
    New,
    /// The change of this version was made from it.
    Applied(u64),
    /// It may have become a change whose id is not known here.
    Unknown,
}

/// A change whose id is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AppliedChange {
    id: u64,
    version: u64,
    at: Time,
}

/// The ids of the last changes that a replica applied one by one, at most [`MAX_APPLIED_IDS`]. Where the table came in one
/// step, from another replica or from a stored copy, the ids of the changes in it are not known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AppliedChanges {
    now: Time,
    recent: VecDeque<AppliedChange>,
    /// The ids of all changes after this version are in `recent`.
    known_since: u64,
    /// Until then a submission of a change up to `known_since` may arrive again.
    repeats_until: Time,
}

impl AppliedChanges {
    /// Of an empty table.
    pub fn new(now: Time) -> AppliedChanges {
        AppliedChanges {
            now,
            recent: VecDeque::new(),
            known_since: 0,
            repeats_until: now,
        }
    }

    /// Lets time pass, before anything else happens at that time.
    pub fn set_time(&mut self, now: Time) {
        self.now = now;
    }

    /// A change was applied to the table.
    pub fn record(&mut self, id: u64, version: u64) {
        let at = self.now;
        self.recent.push_back(AppliedChange { id, version, at });
        if self.recent.len() <= MAX_APPLIED_IDS {
            return;
        }
        if let Some(oldest) = self.recent.pop_front() {
            self.known_since = oldest.version;
            self.repeats_until = self.repeats_until.max(oldest.at + REPEAT_WINDOW);
        }
    }

    /// The table went to this version in one step, without the ids of the changes up to it.
    pub fn forget_ids_up_to(&mut self, version: u64) {
        self.recent.clear();
        self.known_since = version;
        self.repeats_until = self.now + REPEAT_WINDOW;
    }

    /// What is known of a submission at a table of that version.
    ///
    /// The change of a submission has a later version than its base. So it is among the known ones, unless the base is
    /// older than these, or no version that the table had.
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
        if covered || self.now >= self.repeats_until {
            SubmissionStatus::New
        } else {
            SubmissionStatus::Unknown
        }
    }
}
