//! The queue of the timers that the SWIM implementation has scheduled.

use super::member::Member;
use crate::interface::Time;
use foca::Timer;
use std::collections::BTreeMap;

/// The position of a timer in the queue: by expiry, and for equal expiry in the order of scheduling.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due: Time,
    sequence: u64,
}

/// Scheduled timers, in the order in which they expire.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer<Member>>,
    scheduled: u64,
}

impl TimerQueue {
    /// Adds a timer that expires at `due`.
    pub(super) fn schedule(&mut self, due: Time, timer: Timer<Member>) {
        self.scheduled += 1;
        let sequence = self.scheduled;
        self.timers.insert(TimerKey { due, sequence }, timer);
    }

    /// The number of timers scheduled so far, cancelled ones included.
    pub(super) fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// When the next timer expires.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|(key, _)| key.due)
    }

    /// Removes and returns the next timer if it has expired.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Timer<Member>> {
        let first = self.timers.first_entry()?;
        (first.key().due <= now).then(|| first.remove())
    }

    /// Cancels all timers.
    pub(super) fn clear(&mut self) {
        self.timers.clear();
    }
}
