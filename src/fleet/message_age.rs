//! The check of a message's age: what proxies share is valid only for a limited time after its creation.

use crate::interface::Micros;

/// How far the wall clock of a message's creator may run ahead of the receiver's.
const MAX_CLOCK_SKEW: Micros = Micros(1_000_000);

/// Why the age of a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AgeError {
    /// Older than the maximum age.
    #[error("sent {:.1} s ago", .0.as_secs_f64())]
    Stale(Micros),
    /// Further in the future than clock skew explains.
    #[error("sent {:.1} s in the future", .0.as_secs_f64())]
    FromFuture(Micros),
}

impl AgeError {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            AgeError::Stale(_) => "stale",
            AgeError::FromFuture(_) => "ahead",
        }
    }
}

/// The age at wall time `now_us` of what was created at `created_us`, if it is at most `max_age`.
///
/// # Errors
/// Where it is too old or too far in the future.
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
