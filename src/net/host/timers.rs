//! The balancer's timers: a queue by due time, and the task that fires them.
//!
//! Firing also measures the timer lag, which [`Host::response_margin`] includes.

use super::Host;
use meadowproxy::{Event, Time, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// The recorded lag decays to 15/16 with each timer that fires; a larger lag replaces it.
const LAG_DECAY_NUMERATOR: u64 = 15;
const LAG_DECAY_DENOMINATOR: u64 = 16;

/// A pending timer. Ordered by due time, then by token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    pub due_at: Time,
    pub token: TimerToken,
}

/// Pending timers, the earliest first.
#[derive(Default)]
pub struct TimerQueue(BinaryHeap<Reverse<Timer>>);

impl TimerQueue {
    /// Adds a timer. Returns true if it is due before all others.
    pub fn set(&mut self, due_at: Time, token: TimerToken) -> bool {
        let is_earliest = self.next_due_at().is_none_or(|next| due_at < next);
        self.0.push(Reverse(Timer { due_at, token }));
        is_earliest
    }

    /// Returns when the earliest timer is due.
    pub fn next_due_at(&self) -> Option<Time> {
        self.0.peek().map(|Reverse(timer)| timer.due_at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_due_at()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(timer)| timer)
    }
}

impl Host {
    /// Fires the balancer's timers. Runs until the process ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.next_due_at();
            let Some(due_at) = next else {
                self.earlier_timer.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(self.clock.instant(due_at));
            tokio::select! {
                () = sleep => self.fire_due_timers(),
                () = self.earlier_timer.notified() => {}
            }
        }
    }

    fn fire_due_timers(self: &Rc<Self>) {
        loop {
            let now = self.clock.now();
            let due = self.state.borrow_mut().timers.pop_due(now);
            let Some(timer) = due else {
                return;
            };
            let lag_us = (now - timer.due_at).0;
            let decayed_us = self.timer_lag_us.get() * LAG_DECAY_NUMERATOR / LAG_DECAY_DENOMINATOR;
            self.timer_lag_us.set(lag_us.max(decayed_us));
            self.handle_event(Event::TimerFired { token: timer.token });
        }
    }
}
