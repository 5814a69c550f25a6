//! Processes that run as one proxy during a hot restart, while a new version takes over from an old one.

use crate::interface::{Micros, Time};

/// How many processes run as this proxy.
pub(super) struct ProcessCount {
    current: u32,
    previous: u32,
    /// Until then the work that the previous processes sent still counts.
    previous_counts_until: Time,
}

impl ProcessCount {
    /// One process, which had no predecessor.
    pub fn new() -> ProcessCount {
        ProcessCount {
            current: 1,
            previous: 1,
            previous_counts_until: Time(0),
        }
    }

    /// The number of processes changed; what was sent before counts for `overload_window`.
    pub fn change(&mut self, now: Time, processes: u32, overload_window: Micros) {
        self.previous = self.current;
        self.current = processes.max(1);
        self.previous_counts_until = now + overload_window;
    }

    /// No other process runs as this proxy.
    pub fn is_single(&self) -> bool {
        self.current == 1
    }

    /// Processes among which this proxy's budgets are divided: no fewer than before within the overload window.
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
