//! Polling of service discovery for the endpoint list: when the next poll is due, and how long to wait for a response.
//!
//! While polls fail, the interval between them grows exponentially, with jitter, up to a maximum that depends on the
//! size of the fleet. The interval is measured between the starts of two polls, so that a poll that hangs until its
//! timeout delays the next one no more than a poll that is refused immediately.

use super::Balancer;
use crate::interface::{Action, Discovery, Micros, Time};

/// Interval after the first failure, in seconds. It doubles with each further failure.
const INITIAL_INTERVAL_S: f64 = 0.1;
/// Interval, in seconds, in which all proxies together poll once at the maximum interval, which is proportional to the
/// number of proxies.
const FLEET_INTERVAL_S: f64 = 0.05;
/// Maximum interval of one proxy in a small fleet, in seconds.
const MIN_INTERVAL_CAP_S: f64 = 1.0;
/// Maximum interval of one proxy in a large fleet, in seconds. With it a proxy gets the list within 6 s after discovery
/// is reachable again, even if one more poll times out (docs/design.md).
const MAX_INTERVAL_CAP_S: f64 = 3.9;
/// Fraction of an interval that is not jitter while the interval grows. It is small, so that proxies that failed at the
/// same time soon spread evenly.
const GROWING_FIXED_FRACTION: f64 = 0.25;
/// Fraction of an interval that is not jitter at the maximum interval, where the proxies are already spread.
const MAXIMUM_FIXED_FRACTION: f64 = 0.75;
/// A poll without a response is repeated after this fraction of the staleness limit.
const LOST_POLL_FRACTION: f64 = 0.5;

/// Timeout of a discovery poll that is expected to be answered immediately.
pub const DISCOVERY_POLL_TIMEOUT: Micros = Micros(1_800_000);
/// Timeout of a poll that waits in discovery's queue, in seconds. Discovery itself rejects a poll after 3 s in the
/// queue.
const QUEUED_POLL_TIMEOUT_S: f64 = 3.2;

/// Returns the maximum backoff interval in seconds, unless half of the staleness limit is less.
fn max_interval_s(proxies: u32) -> f64 {
    (f64::from(proxies) * FLEET_INTERVAL_S).clamp(MIN_INTERVAL_CAP_S, MAX_INTERVAL_CAP_S)
}

/// Returns the timeout of a poll that follows one that discovery rejected.
///
/// Discovery is then running, but its queue is full. Giving up early would lose the poll's place in the queue, as the
/// next poll starts at the end. In a large fleet the timeout is shorter: if the poll hangs after all, the timeout and
/// the pause before the next poll still have to fit into the 6 s. That pause is half the interval, or the whole
/// interval if the balancer repeats the poll before the timeout.
pub fn queued_discovery_poll_timeout(proxies: u32, staleness_limit: Micros) -> Micros {
    let repeated_after_s = staleness_limit.as_secs_f64() / 2.0;
    let interval_s = max_interval_s(proxies).min(repeated_after_s);
    let until_next_s = if repeated_after_s < QUEUED_POLL_TIMEOUT_S {
        interval_s
    } else {
        (INITIAL_INTERVAL_S + interval_s) / 2.0
    };
    let timeout_s = MAX_INTERVAL_CAP_S - until_next_s;
    Micros::from_secs_f64(
        timeout_s.clamp(DISCOVERY_POLL_TIMEOUT.as_secs_f64(), QUEUED_POLL_TIMEOUT_S),
    )
}

/// The schedule of a proxy's discovery polls.
#[derive(Debug)]
pub struct DiscoveryPolling {
    /// When the next poll is due, if any.
    next_at: Option<Time>,
    /// When the last poll started.
    started_at: Time,
    /// The last interval before jitter, in seconds; 0 while polls succeed.
    interval_s: f64,
}

impl DiscoveryPolling {
    /// Creates a schedule whose first poll is due immediately, or never if discovery pushes changes.
    pub fn new(discovery: Discovery) -> DiscoveryPolling {
        DiscoveryPolling {
            next_at: (discovery != Discovery::Push).then_some(Time(0)),
            started_at: Time(0),
            interval_s: 0.0,
        }
    }

    /// Schedules the next poll after a failed one. `proxies` is the number of proxies in the fleet; `jitter` is a
    /// random number, uniform from 0 to 1.
    pub fn failed(&mut self, now: Time, proxies: u32, staleness_limit: Micros, jitter: f64) {
        let max_s = max_interval_s(proxies).min(staleness_limit.as_secs_f64() / 2.0);
        let next_s =
            (self.interval_s * 2.0).clamp(INITIAL_INTERVAL_S, max_s.max(INITIAL_INTERVAL_S));
        let fixed_fraction = if self.interval_s < next_s {
            GROWING_FIXED_FRACTION
        } else {
            MAXIMUM_FIXED_FRACTION
        };
        self.interval_s = next_s;
        let interval = Micros::from_secs_f64(
            self.interval_s * (fixed_fraction + (1.0 - fixed_fraction) * jitter),
        );
        // Polls may hang for longer than the interval on all proxies at once. The jittered pause spreads their next
        // polls.
        let pause = Micros::from_secs_f64((INITIAL_INTERVAL_S + self.interval_s * jitter) / 2.0);
        self.next_at = Some((self.started_at + interval).max(now + pause));
    }

    /// Records a successful poll: no poll is due until discovery fails.
    pub fn succeeded(&mut self) {
        self.next_at = None;
        self.interval_s = 0.0;
    }

    /// Returns when the next poll is due, if any.
    pub fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// Returns whether a poll is due. If so, the poll counts as started.
    pub fn take_due(&mut self, now: Time, staleness_limit: Micros) -> bool {
        let due = self.next_at.is_some_and(|at| now >= at);
        if due {
            let lost_after = staleness_limit.mul_f64(LOST_POLL_FRACTION);
            self.next_at = Some(now + lost_after);
            self.started_at = now;
        }
        due
    }
}

impl Balancer {
    /// Polls discovery if a poll is due.
    pub(super) fn poll_discovery(&mut self, now: Time) {
        let Discovery::Poll { staleness_limit } = self.config.discovery else {
            return;
        };
        if self.polling.take_due(now, staleness_limit) {
            self.actions.push(Action::PollDiscovery);
        }
    }
}
