//! What a leader answered to submissions that it made no change from. A duplicate gets the same answer, also where the table
//! would allow the change by now.

use super::applied_changes::REPEAT_WINDOW;
use super::limits::MAX_ANSWERED;
use super::submission::SubmitError;
use crate::interface::Time;
use std::collections::VecDeque;

/// The answer to a submission: the version in which all was as it wants, or why it is rejected.
type Outcome = Result<u64, SubmitError>;

#[derive(Clone, Debug)]
struct Answered {
    id: u64,
    at: Time,
    outcome: Outcome,
}

/// The last answers, oldest first: at most [`MAX_ANSWERED`], each for as long as a duplicate may arrive.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredSubmissions {
    recent: VecDeque<Answered>,
}

impl AnsweredSubmissions {
    /// A submission was answered.
    pub(super) fn record(&mut self, now: Time, id: u64, outcome: Outcome) {
        while self
            .recent
            .front()
            .is_some_and(|oldest| now - oldest.at >= REPEAT_WINDOW)
        {
            self.recent.pop_front();
        }
        if self.recent.len() >= MAX_ANSWERED {
            self.recent.pop_front();
        }
        self.recent.push_back(Answered {
            id,
            at: now,
            outcome,
        });
    }

    /// The answer that a submission had.
    pub(super) fn outcome(&self, id: u64) -> Option<&Outcome> {
        self.recent
            .iter()
            .rev()
            .find(|answered| answered.id == id)
            .map(|answered| &answered.outcome)
    }
}
