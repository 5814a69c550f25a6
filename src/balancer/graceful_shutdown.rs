//! Graceful shutdown: until when requests that complete after the shutdown signal are answered.
//!
//! The platform kills the process a fixed time after the signal. A request that completes late in that time would still
//! wait for a backend when the process is killed, so its deadline is brought forward. All times count from the signal.

use super::Balancer;
use crate::interface::{ClassId, Micros};

/// The platform kills the process no sooner than this after the longest deadline.
const KILL_DELAY: Micros = Micros(700_000);
/// The platform counts a longer deadline as this one.
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// Time before the kill that is reserved for writing the last responses.
const RESPONSE_RESERVE: Micros = Micros(250_000);
/// Requests that complete this much earlier than [`KILL_DELAY`] after the signal keep their deadline: the signal reached
/// the process later than it was sent.
const SIGNAL_DELAY: Micros = Micros(200_000);

/// The deadlines that a shutdown brings forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// The latest time for the answer to a request whose deadline is brought forward.
    last_answer: Micros,
}

impl ShutdownDeadlines {
    /// Creates the deadlines of a shutdown of a proxy with this longest deadline among its classes.
    pub fn new(longest_deadline: Micros) -> ShutdownDeadlines {
        let kill = longest_deadline.0.min(MAX_COUNTED_DEADLINE.0) + KILL_DELAY.0;
        ShutdownDeadlines {
            last_answer: Micros(kill - RESPONSE_RESERVE.0),
        }
    }

    /// Returns until when a request is answered that completed at `completed` and otherwise has time until `deadline`.
    pub fn answer_by(&self, completed: Micros, deadline: Micros) -> Micros {
        let keeps_deadline = completed.0 <= KILL_DELAY.0 - SIGNAL_DELAY.0;
        if keeps_deadline {
            deadline
        } else {
            deadline.min(self.last_answer)
        }
    }
}

impl Balancer {
    /// Returns whether a request of the class can be expected to be served within `time_left`.
    pub fn is_feasible(&self, class: ClassId, time_left: Micros) -> bool {
        time_left >= self.expected_latency(class.0)
    }
}

#[cfg(test)]
mod tests;
