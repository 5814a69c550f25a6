//! Checks the age of messages from other proxies, which are valid only for a limited time after their creation.

use crate::interface::Micros;

/// The most that the wall clock of a message's creator may run ahead of the receiver's.
const MAX_CLOCK_SKEW: Micros = Micros(1_000_000);

/// Why a message is rejected for its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AgeError {
    /// The message is older than the maximum age. The value is its age.
    #[error("too old: sent {:.1} s ago", .0.as_secs_f64())]
    Stale(Micros),
    /// The message's creation time is further in the future than clock skew explains. The value is how far.
    #[error("sent {:.1} s in the future, more than the allowed clock skew", .0.as_secs_f64())]
    FromFuture(Micros),
}

impl AgeError {
    /// Returns a stable name of the error for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            AgeError::Stale(_) => "stale",
            AgeError::FromFuture(_) => "ahead",
        }
    }
}

/// Returns the age of a message that was created at `created_us`. Both times are wall-clock microseconds since 1970.
///
/// # Errors
/// The message is older than `max_age`, or created too far in the future.
pub fn check_age(created_us: u64, now_us: u64, max_age: Micros) -> Result<Micros, AgeError> {
    let ahead = Micros(created_us.saturating_sub(now_us));
    if ahead > MAX_CLOCK_SKEW {
        return Err(AgeError::FromFuture(ahead));
    }
    let age = Micros(now_us.saturating_sub(created_us));
    if age > max_age {
        return Err(AgeError::Stale(age));
    }
    Ok(age)
}
