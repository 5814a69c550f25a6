//! Rate limit for the balancer's log lines. A line that follows another within the interval is dropped and not counted.

use crate::interface::{Micros, Time};

/// Minimum time between two lines.
const LOG_INTERVAL: Micros = Micros(500_000);

/// Allows a line if none was written within [`LOG_INTERVAL`].
#[derive(Default)]
pub(super) struct LogLimiter {
    next_line_at: Time,
}

impl LogLimiter {
    /// Returns whether a line may be written now. If so, it counts as written.
    pub fn try_log(&mut self, now: Time) -> bool {
        let allowed = now >= self.next_line_at;
        if allowed {
            self.next_line_at = now + LOG_INTERVAL;
        }
        allowed
    }
}
