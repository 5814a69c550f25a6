//! Retries: when a request may have a further attempt, and the budget that bounds them all.

use super::requests::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::{Idempotency, Micros, Time};

/// Retries that the budget allows for each request.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// The budget gathers what so many requests bring.
const RETRY_BUDGET_MAX_REQUESTS: f64 = 100.0;

/// Bounds retries and hedged requests to a part of all requests, so that they cannot multiply an overload.
#[derive(Default)]
pub(super) struct RetryBudget {
    /// Retries that may be sent now.
    balance: f64,
}

impl RetryBudget {
    /// A request arrived.
    pub fn deposit(&mut self) {
        self.balance =
            (self.balance + RETRY_BUDGET_RATIO).min(RETRY_BUDGET_RATIO * RETRY_BUDGET_MAX_REQUESTS);
    }

    /// Whether a retry may be sent.
    pub fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// A retry was sent.
    pub fn withdraw(&mut self) {
        self.balance -= 1.0;
    }
}

/// The rules on further attempts of one request.
struct RetryPolicy {
    idempotency: Idempotency,
    /// Whether two attempts may be in flight at once.
    hedging: bool,
    /// The shortest time between two rounds of events.
    timer_resolution: Micros,
}

impl RetryPolicy {
    /// Whether the request may have a further attempt, its first one included.
    fn allows_attempt(&self, now: Time, request: &PendingRequest) -> bool {
        let concurrency_allowed = self.hedging || !request.has_attempt_in_flight();
        concurrency_allowed
            && request.attempts.len() < request.max_attempts
            && request
                .attempts
                .iter()
                .all(|attempt| self.may_repeat(now, attempt))
    }

    /// Whether the attempt may be repeated without the risk of a second run that does harm.
    fn may_repeat(&self, now: Time, attempt: &Attempt) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => {
                let key_known_until = attempt.dispatched_at + window;
                attempt.unprocessed || now + self.timer_resolution < key_known_until
            }
            Idempotency::NonIdempotent => attempt.unprocessed,
        }
    }
}

impl Balancer {
    /// Whether the rules of the request's class allow a further attempt, its first one included.
    pub(super) fn allows_attempt(&self, now: Time, request: &PendingRequest) -> bool {
        let policy = RetryPolicy {
            idempotency: self.config.classes[request.class].idempotency,
            hedging: self.config.hedging,
            timer_resolution: self.config.timer_resolution,
        };
        policy.allows_attempt(now, request)
    }
}

#[cfg(test)]
mod tests;
