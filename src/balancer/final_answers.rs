//! Final answers for requests that are not served, and the cleanup at the end of every request.

use super::outlier_detection::BASE_EJECTION_S;
use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Action, AttemptNumber, Idempotency, KeyScope, Micros, RequestId};

/// Multiple of the expected latency after which a client may retry. The attempts now in flight have freed their
/// capacity by then.
const RETRY_AFTER_LATENCIES: f64 = 2.0;

/// Returns whether the client can safely retry the request.
fn retry_is_harmless(request: &PendingRequest, idempotency: Idempotency) -> bool {
    let repeatable = match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed { scope, .. } => scope == KeyScope::All,
        Idempotency::NonIdempotent => false,
    };
    repeatable || request.attempts.iter().all(|attempt| attempt.unprocessed)
}

impl Balancer {
    /// Gives the final answer to a request that will not be served: rejected if the client can safely retry it, failed
    /// otherwise.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.pending.get(&id) else {
            return;
        };
        let idempotency = self.config.classes[request.class].idempotency;
        let answer = if retry_is_harmless(request, idempotency) {
            Action::Reject {
                request: id,
                retry_after: self.retry_after(request.class),
            }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(answer);
        self.close(id);
    }

    /// Returns the time after which a client should retry. Without any ready backend that is the base duration of an
    /// ejection, after which an ejected backend is health-checked.
    fn retry_after(&self, class: usize) -> Micros {
        let mut hardware_classes = self.hardware_classes.values();
        if hardware_classes.any(|hardware_class| hardware_class.ready_endpoints > 0.0) {
            self.expected_latency(class).mul_f64(RETRY_AFTER_LATENCIES)
        } else {
            Micros::from_secs_f64(BASE_EJECTION_S)
        }
    }

    /// Removes a request that needs no answer any more, and cancels its attempts that are still in flight.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.pending.remove(&id) else {
            return;
        };
        self.dispatch_queue.remove(id);
        if !self.config.cancellation {
            return;
        }
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.in_flight {
                self.actions.push(Action::Cancel {
                    request: id,
                    attempt: AttemptNumber(number as u32),
                });
            }
        }
    }
}
