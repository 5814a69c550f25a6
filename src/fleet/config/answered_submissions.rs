//! The leader's answers to submissions that led to no change. A duplicate of such a submission gets the same answer, even if
//! the table would allow the change by now.

use super::applied_changes::DUPLICATE_WINDOW;
use super::limits::MAX_ANSWERED_SUBMISSIONS;
use super::submission::SubmitError;
use crate::interface::Time;
use std::collections::VecDeque;

/// The answer to a submission: the version of the table that already had all its values, or why it was rejected.
type Outcome = Result<u64, SubmitError>;

#[derive(Clone, Debug)]
struct Answered {
    id: u64,
    at: Time,
    outcome: Outcome,
}

/// The last answers, oldest first: at most [`MAX_ANSWERED_SUBMISSIONS`], each kept for [`DUPLICATE_WINDOW`].
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredSubmissions {
    recent: VecDeque<Answered>,
}

impl AnsweredSubmissions {
    /// Records the answer to a submission.
    pub(super) fn record(&mut self, now: Time, id: u64, outcome: Outcome) {
        while self
            .recent
            .front()
            .is_some_and(|oldest| now - oldest.at >= DUPLICATE_WINDOW)
        {
            self.recent.pop_front();
        }
        if self.recent.len() >= MAX_ANSWERED_SUBMISSIONS {
            self.recent.pop_front();
        }
        self.recent.push_back(Answered {
            id,
            at: now,
            outcome,
        });
    }

    /// Returns the recorded answer to a submission.
    pub(super) fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.recent
            .iter()
            .rev()
            .find(|answered| answered.id == id)
            .map(|answered| &answered.outcome)
    }
}
