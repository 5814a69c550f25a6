//! Polling of discovery: when a proxy that has to poll for the endpoint list polls again, and how long it waits for a
//! response.
//!
//! While polls fail the interval between the starts of two polls grows exponentially, with jitter, up to a maximum that
//! depends on the size of the fleet. It runs from start to start and not from a failure on, so that a poll that hangs
//! until its time-out delays the next one no more than one that is refused at once.

use super::Balancer;
use crate::interface::{Action, Discovery, Micros, Time};

/// The first interval after a failure; it doubles with each further one.
const INITIAL_INTERVAL_S: f64 = 0.1;
/// The maximum interval grows with the fleet: all proxies together then poll once in this time.
const FLEET_INTERVAL_S: f64 = 0.05;
/// The maximum interval of one proxy in a small fleet.
const MIN_INTERVAL_CAP_S: f64 = 1.0;
/// The maximum interval of one proxy in a large fleet: it knows the list within 6 s after discovery can be reached
/// again, with one more poll that runs into its time-out (docs/design.md).
const MAX_INTERVAL_CAP_S: f64 = 3.9;
/// The part of an interval that is not jitter while it grows: proxies that failed together soon spread evenly.
const GROWING_FIXED_FRACTION: f64 = 0.25;
/// The same at the maximum: they stay spread.
const MAXIMUM_FIXED_FRACTION: f64 = 0.75;
/// A poll that is without a response for this part of the staleness limit is repeated.
const LOST_POLL_FRACTION: f64 = 0.5;

/// How long to wait for the response of a poll that is answered at once.
pub const DISCOVERY_POLL_TIMEOUT: Micros = Micros(1_800_000);
/// How long to wait for the response of a poll in discovery's queue: discovery itself rejects what waits for 3 s.
const QUEUED_POLL_TIMEOUT_S: f64 = 3.2;

/// The interval to which polls back off, unless half of the staleness limit is less.
fn max_interval_s(proxies: u32) -> f64 {
    (f64::from(proxies) * FLEET_INTERVAL_S).clamp(MIN_INTERVAL_CAP_S, MAX_INTERVAL_CAP_S)
}

/// How long to wait for the response of a poll after one that discovery rejected.
///
/// Discovery is then alive, with a queue as long as it allows. Another poll would stand at the queue's end, so that
/// giving up early costs the place. In a large fleet the time is shorter: if the poll hangs after all, what comes
/// before the next one still fits into the 6 s. That is a pause of half the interval, or the interval where the
/// decisions repeat the poll meanwhile.
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

/// When a proxy polls discovery.
#[derive(Debug)]
pub struct DiscoveryPolling {
    /// When the next poll is due, if any is.
    next_at: Option<Time>,
    /// When the last one started.
    started_at: Time,
    /// The last interval before jitter; 0 while polls succeed.
    interval_s: f64,
}

impl DiscoveryPolling {
    /// A first poll is due at once; or never, where discovery pushes changes.
    pub fn new(discovery: Discovery) -> DiscoveryPolling {
        DiscoveryPolling {
            next_at: (discovery != Discovery::Push).then_some(Time(0)),
            started_at: Time(0),
            interval_s: 0.0,
        }
    }

    /// A poll failed at one of `proxies`. `jitter`: a random number, even from 0 to 1.
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
        // Polls may hang for longer than the interval at all proxies alike, which are not to stay in step.
        let pause = Micros::from_secs_f64((INITIAL_INTERVAL_S + self.interval_s * jitter) / 2.0);
        self.next_at = Some((self.started_at + interval).max(now + pause));
    }

    /// Discovery responded: none is due until it fails.
    pub fn succeeded(&mut self) {
        self.next_at = None;
        self.interval_s = 0.0;
    }

    /// When the next poll is due, if any is.
    pub fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// Whether a poll is due; it then counts as started.
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
    /// Polls discovery if that is due.
    pub(super) fn poll_discovery(&mut self, now: Time) {
        let Discovery::Poll { staleness_limit } = self.config.discovery else {
            return;
        };
        if self.polling.take_due(now, staleness_limit) {
            self.actions.push(Action::PollDiscovery);
        }
    }
}
