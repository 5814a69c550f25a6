//! Counts the processes that run as one proxy during a hot restart, while a new process takes over from an old one.

use crate::interface::{Micros, Time};

/// The number of processes that run as this proxy.
pub(super) struct ProcessCount {
    current: u32,
    previous: u32,
    /// Time until which the work sent by the previous processes still counts.
    previous_counts_until: Time,
}

impl ProcessCount {
    /// Creates the count of a single process without a predecessor.
    pub fn new() -> ProcessCount {
        ProcessCount {
            current: 1,
            previous: 1,
            previous_counts_until: Time(0),
        }
    }

    /// Changes the number of processes. Work that was sent before still counts for `overload_window`.
    pub fn change(&mut self, now: Time, processes: u32, overload_window: Micros) {
        self.previous = self.current;
        self.current = processes.max(1);
        self.previous_counts_until = now + overload_window;
    }

    /// Returns whether this is the only process that runs as this proxy.
    pub fn is_single(&self) -> bool {
        self.current == 1
    }

    /// Returns the number of processes that share this proxy's budgets. Within the overload window after a change it is
    /// not less than before the change.
    pub fn sharing_budgets(&self, now: Time) -> u32 {
        let before = if now < self.previous_counts_until {
            self.previous
        } else {
            1
        };
        self.current.max(before)
    }
}

#[cfg(test)]
mod tests;
