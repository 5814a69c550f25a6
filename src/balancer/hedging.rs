//! Hedged requests: a second attempt while the first is still in flight, on a backend that is ejected.
//!
//! Age alone is no reason for one: hedges of requests that are merely heavy would load every backend.

use super::endpoints::EndpointRecord;
use super::requests::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::{Action, AttemptNumber, Idempotency, Micros, RequestId, Time};

impl Balancer {
    /// Whether the request's only attempt is in flight on a backend from which no response is expected, and another
    /// could still meet the latency objective.
    pub(super) fn needs_hedge(
        &self,
        now: Time,
        request: &PendingRequest,
        expected_latency: Micros,
    ) -> bool {
        let [only] = &request.attempts[..] else {
            return false;
        };
        self.is_lost(only)
            && now + expected_latency < request.objective_until
            && self.retry_budget.allows_retry()
    }

    fn is_lost(&self, attempt: &Attempt) -> bool {
        let on_ejected_backend = || {
            self.backends
                .get(attempt.backend.id)
                .is_none_or(EndpointRecord::is_ejected)
        };
        attempt.in_flight && on_ejected_backend()
    }

    /// Queues a second attempt. Where no two may run at once, the first is cancelled to make way for it.
    pub(super) fn hedge(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.pending.get(&id) else {
            return;
        };
        let idempotency = self.config.classes[request.class].idempotency;
        if self.config.hedging {
            if self.allows_attempt(now, request) && !self.dispatch_queue.contains(id) {
                self.dispatch_queue.push(id);
            }
        } else if self.config.cancellation && idempotency != Idempotency::NonIdempotent {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: AttemptNumber(0),
            });
        }
    }
}
