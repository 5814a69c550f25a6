//! How discovery is polled: how long each call may wait for changes, and the backoff after a failed one.

use meadowproxy::{queued_discovery_poll_timeout, Discovery, DISCOVERY_POLL_TIMEOUT};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Calls a second that a quiet fleet may cost discovery: what it handles in the time of a few full lists.
pub const MAX_QUIET_CALLS_PER_S: f64 = 100.0;
/// Bounds of how long one call waits for changes: the least that the fleet can afford, between these. With the longest, a
/// silence is found and mended by a second call within the 6 s after which a proxy must have a change (docs/design.md).
const MIN_LONG_POLL_S: f64 = 1.5;
const MAX_LONG_POLL_S: f64 = 2.8;
/// The least part of that wait that is drawn: proxies that were answered together do not call together again.
pub const MIN_JITTER_FACTOR: f64 = 0.75;
/// What an answer may take beyond its wait before discovery counts as silent.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for a call that does not wait for changes: it may stand in a queue, which each call that is given up and repeated
/// makes longer.
pub const QUEUE_TIMEOUT: Duration = Duration::from_micros(DISCOVERY_POLL_TIMEOUT.0);
/// Where lists are pushed, an agent (a discovery process with one caller, this balancer) keeps the list and answers
/// each long poll as soon as the list changes. A connection to the agent is established at once or not at all.
/// It is retried soon: a change counts from the moment the agent is back.
pub const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after the first of several failed calls; it doubles, once at most, as an agent's calls cost nothing.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Factor of the longest backoff.
const MAX_BACKOFF_FACTOR: u32 = 2;

/// How the endpoint list is requested.
pub struct PollSchedule {
    pub mode: Discovery,
    max_long_poll_s: f64,
    /// How long a call waits that follows one which discovery refused: it may stand in a full queue.
    pub full_queue_timeout: Duration,
    rng: StdRng,
}

impl PollSchedule {
    /// For one of so many proxies, with a seed of its own.
    pub fn new(mode: Discovery, proxies: u32, seed: u64) -> PollSchedule {
        let affordable_s = f64::from(proxies) / MAX_QUIET_CALLS_PER_S;
        let full_queue_timeout = match mode {
            Discovery::Poll { staleness_limit } => {
                Duration::from_micros(queued_discovery_poll_timeout(proxies, staleness_limit).0)
            }
            Discovery::Push => QUEUE_TIMEOUT, // an agent has one caller
        };
        PollSchedule {
            mode,
            max_long_poll_s: affordable_s.clamp(MIN_LONG_POLL_S, MAX_LONG_POLL_S),
            full_queue_timeout,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Whether the balancer decides when to poll. With [`Discovery::Push`] it long-polls too, but an agent decides when to
    /// answer.
    pub fn balancer_schedules_polls(&self) -> bool {
        self.mode != Discovery::Push
    }

    /// How long establishing a connection may take.
    pub fn connect_timeout(&self) -> Duration {
        if self.balancer_schedules_polls() {
            ANSWER_TIMEOUT
        } else {
            AGENT_CONNECT_TIMEOUT
        }
    }

    /// How long the next call waits for changes.
    pub fn next_long_poll(&mut self) -> Duration {
        let wait_s = self.max_long_poll_s * self.rng.random_range(MIN_JITTER_FACTOR..=1.0);
        Duration::from_millis((wait_s * 1e3) as u64)
    }

    /// How long to wait before the next call after so many failures in a row. After a move to a new address that is soon,
    /// whatever came before; else only the balancer decides when to poll.
    pub fn backoff(&mut self, failures: u32, has_moved: bool) -> Duration {
        if !self.balancer_schedules_polls() {
            return INITIAL_BACKOFF * failures.min(MAX_BACKOFF_FACTOR);
        }
        if has_moved {
            return INITIAL_BACKOFF.mul_f64(self.rng.random_range(1.0..=2.0));
        }
        Duration::MAX
    }
}
