//! Retries: when a request may have another attempt, and the budget that limits all retries together.

use super::requests::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::{Idempotency, Micros, Time};

/// Number of retries that each request adds to the budget.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Number of requests whose additions the budget can accumulate.
const RETRY_BUDGET_MAX_REQUESTS: f64 = 100.0;

/// Limits retries and hedged requests to a fraction of all requests, so that they cannot amplify an overload.
#[derive(Default)]
pub(super) struct RetryBudget {
    /// Number of retries that may be sent now.
    balance: f64,
}

impl RetryBudget {
    /// Adds to the budget for a request that arrived.
    pub fn deposit(&mut self) {
        self.balance =
            (self.balance + RETRY_BUDGET_RATIO).min(RETRY_BUDGET_RATIO * RETRY_BUDGET_MAX_REQUESTS);
    }

    /// Returns whether a retry may be sent.
    pub fn allows_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes a retry that was sent from the budget.
    pub fn withdraw(&mut self) {
        self.balance -= 1.0;
    }
}

/// The rules for further attempts of one request.
struct RetryPolicy {
    idempotency: Idempotency,
    /// Whether two attempts may be in flight at once.
    hedging: bool,
    /// Shortest time between two rounds of events.
    timer_resolution: Micros,
}

impl RetryPolicy {
    /// Returns whether the request may have another attempt, or its first one.
    fn allows_attempt(&self, now: Time, request: &PendingRequest) -> bool {
        let concurrency_allowed = self.hedging || !request.has_attempt_in_flight();
        concurrency_allowed
            && request.attempts.len() < request.max_attempts
            && request
                .attempts
                .iter()
                .all(|attempt| self.may_repeat(now, attempt))
    }

    /// Returns whether the attempt may be repeated without the risk that a request is processed twice that must not be.
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
    /// Returns whether the rules of the request's class allow another attempt, or its first one.
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
