//! Applies [`ShutdownDeadlines`] to instants, from the shutdown signal on.

use crate::net::{to_duration, to_micros};
use meadowproxy::{Micros, ShutdownDeadlines};
use std::cell::Cell;
use tokio::time::Instant;

/// A shutdown that has begun.
#[derive(Clone, Copy)]
struct Shutdown {
    began_at: Instant,
    deadlines: ShutdownDeadlines,
}

/// Tells whether the process shuts down, and until when requests are answered then.
#[derive(Default)]
pub struct ShutdownClock(Cell<Option<Shutdown>>);

impl ShutdownClock {
    /// Begins the shutdown. `longest_deadline` is that of all classes.
    pub fn begin(&self, longest_deadline: Micros) {
        self.0.set(Some(Shutdown {
            began_at: Instant::now(),
            deadlines: ShutdownDeadlines::new(longest_deadline),
        }));
    }

    /// Returns whether the process shuts down.
    pub fn has_begun(&self) -> bool {
        self.0.get().is_some()
    }

    /// Returns until when a request is answered that completed at `completed_at` and otherwise has time until `deadline`.
    pub fn answer_by(&self, completed_at: Instant, deadline: Instant) -> Instant {
        let Some(shutdown) = self.0.get() else {
            return deadline;
        };
        let since_begin = |at: Instant| to_micros(at.saturating_duration_since(shutdown.began_at));
        let answer_by = shutdown
            .deadlines
            .answer_by(since_begin(completed_at), since_begin(deadline));
        deadline.min(shutdown.began_at + to_duration(answer_by))
    }
}
