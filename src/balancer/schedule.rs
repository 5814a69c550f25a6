//! Scheduling of the traffic split and of the time-based checks. A single host timer wakes the balancer for the checks.

use crate::interface::{Action, Micros, Time, TimerToken};

/// The expiry time that means that no timer is set.
const NOT_SET: Time = Time(u64::MAX);

/// The next scheduled check, and the timer that wakes the balancer for it.
pub(super) struct CheckSchedule {
    next_check_at: Time,
    /// Token of the latest timer; earlier timers are ignored.
    timer: TimerToken,
    timer_due_at: Time,
}

impl CheckSchedule {
    /// Creates a schedule with a check due immediately and no timer set.
    pub fn new() -> CheckSchedule {
        CheckSchedule {
            next_check_at: Time(0),
            timer: TimerToken(0),
            timer_due_at: NOT_SET,
        }
    }

    pub fn is_due(&self, now: Time) -> bool {
        now >= self.next_check_at
    }

    /// Schedules the next check, replacing the scheduled one.
    pub fn check_at(&mut self, at: Time) {
        self.next_check_at = at;
    }

    /// Schedules the next check, unless one is scheduled earlier.
    pub fn check_by(&mut self, at: Time) {
        self.next_check_at = self.next_check_at.min(at);
    }

    /// Handles an expired timer. Returns whether it is the latest one.
    pub fn timer_fired(&mut self, token: TimerToken) -> bool {
        let latest = token == self.timer;
        if latest {
            self.timer_due_at = NOT_SET;
        }
        latest
    }

    /// Sets a new timer if the current one would expire after the next check.
    pub fn set_timer(&mut self, now: Time, resolution: Micros) -> Option<Action> {
        if self.next_check_at >= self.timer_due_at {
            return None;
        }
        self.timer = TimerToken(self.timer.0 + 1);
        self.timer_due_at = self.next_check_at;
        Some(Action::SetTimer {
            token: self.timer,
            after: (self.next_check_at - now).max(resolution),
        })
    }
}

/// When the traffic split was last solved, and when it is due again. It is solved only when requests arrive or wait.
#[derive(Default)]
pub(super) struct SplitSchedule {
    pub solved_at: Time,
    pub due_at: Time,
}

#[cfg(test)]
mod tests;
