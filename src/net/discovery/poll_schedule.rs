//! Schedule of the calls to discovery: how long each may wait for changes, and the backoff after a failed one.

use meadowproxy::{queued_discovery_poll_timeout, Discovery, DISCOVERY_POLL_TIMEOUT};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Maximum rate of calls from a whole fleet while the list does not change, per second. Discovery handles these in the
/// time that a few full lists take.
pub const MAX_QUIET_CALLS_PER_S: f64 = 100.0;
/// Bounds of how long a call waits for changes, in seconds; between them it is the shortest wait that keeps the fleet
/// within [`MAX_QUIET_CALLS_PER_S`]. With the longest one, a call that stays unanswered is detected and repeated within
/// the 6 s after which a proxy must have a change (docs/design.md).
const MIN_LONG_POLL_S: f64 = 1.5;
const MAX_LONG_POLL_S: f64 = 2.8;
/// Lower bound of the random factor applied to that wait, so that proxies answered together do not call together again.
pub const MIN_JITTER_FACTOR: f64 = 0.75;
/// How long an answer may take beyond the call's wait before the call times out.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call that does not wait for changes. It is longer, as the call may be queued at discovery, and each
/// call that is abandoned and repeated lengthens the queue.
pub const QUEUE_TIMEOUT: Duration = Duration::from_micros(DISCOVERY_POLL_TIMEOUT.0);
/// Connect timeout for a discovery agent. Where lists are pushed, an agent (a discovery process whose only caller is
/// this proxy) keeps the list and answers each long poll as soon as the list changes. Connecting to it succeeds at once
/// or not at all. It is retried soon, as the time to apply a change counts from the moment the agent is back.
pub const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Backoff after the first failed call to an agent, which doubles only once, as calls to an agent are cheap. Also the
/// minimum backoff after a failed call to a new address of discovery.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between calls to an agent, as a multiple of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_FACTOR: u32 = 2;

/// When and for how long discovery is polled.
pub struct PollSchedule {
    pub mode: Discovery,
    max_long_poll_s: f64,
    /// Timeout of a call that follows one which discovery answered with an error status: it may be in a full queue.
    pub full_queue_timeout: Duration,
    rng: StdRng,
}

impl PollSchedule {
    /// Creates the schedule of one of `proxies` proxies; `seed` differs between them.
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

    /// Returns whether the balancer decides when to poll, at the start and after a failure. With [`Discovery::Push`]
    /// the proxy long-polls an agent without the balancer, and the agent decides when to answer.
    pub fn balancer_schedules_polls(&self) -> bool {
        self.mode != Discovery::Push
    }

    /// Returns the connect timeout.
    pub fn connect_timeout(&self) -> Duration {
        if self.balancer_schedules_polls() {
            ANSWER_TIMEOUT
        } else {
            AGENT_CONNECT_TIMEOUT
        }
    }

    /// Draws how long the next call waits for changes.
    pub fn next_long_poll(&mut self) -> Duration {
        let wait_s = self.max_long_poll_s * self.rng.random_range(MIN_JITTER_FACTOR..=1.0);
        Duration::from_millis((wait_s * 1e3) as u64)
    }

    /// Returns the backoff after `failures` failed calls in a row. After a change of address it is short in any case;
    /// otherwise, unless an agent is polled, only the balancer decides when to poll.
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
