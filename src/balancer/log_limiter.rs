//! Bounds how often the decisions write to the log. Lines within the interval after another are lost, uncounted.

use crate::interface::{Micros, Time};

/// The shortest time between two lines.
const LOG_INTERVAL: Micros = Micros(500_000);

/// Lets a line through if none was let through for a while.
#[derive(Default)]
pub(super) struct LogLimiter {
    next_line_at: Time,
}

impl LogLimiter {
    /// Whether a line may be written now; it then counts as written.
    pub fn try_log(&mut self, now: Time) -> bool {
        let allowed = now >= self.next_line_at;
        if allowed {
            self.next_line_at = now + LOG_INTERVAL;
        }
        allowed
    }
}
