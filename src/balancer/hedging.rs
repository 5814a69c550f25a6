//! Hedged requests: a second attempt while the first one is still in flight on a backend that was ejected.
//!
//! A request is not hedged because of its age alone: hedging requests that are merely heavy would load every backend.

use super::endpoints::EndpointRecord;
use super::requests::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::{Action, AttemptNumber, Idempotency, Micros, RequestId, Time};

impl Balancer {
    /// Returns whether the request's only attempt is in flight on a backend from which no response is expected, while
    /// another attempt could still meet the latency objective.
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

    /// Queues a second attempt. If two attempts may not be in flight at once, the first is cancelled instead, and a
    /// retry can follow its end.
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
