//! Deadlines: when a request is given up because a response can no longer arrive in time.

use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, RequestClass, RequestId, Time};

/// Returns when a request is given up.
///
/// With an attempt in flight that is one timer resolution before its deadline, as an answer at the deadline itself
/// would be too late. A request that only waits is given up once a response is unlikely to arrive in time, while giving
/// up does no harm yet. In time means within the latency objective, or within the deadline if the request was already
/// attempted and a late response still earns weight.
fn give_up_at(
    request: &PendingRequest,
    class: &RequestClass,
    expected_latency: Micros,
    timer_resolution: Micros,
) -> Time {
    if request.has_attempt_in_flight() {
        return request.deadline - timer_resolution;
    }
    let late_response_earns = class.late_weight > 0.0 && !request.attempts.is_empty();
    let response_until = if late_response_earns {
        request.deadline
    } else {
        request.objective_until.min(request.deadline)
    };
    response_until - expected_latency.max(timer_resolution)
}

/// The requests that are due for an action, among all that wait for a response.
#[derive(Default)]
pub(super) struct DueRequests {
    /// Requests to give up.
    pub expired: Vec<RequestId>,
    /// Requests to hedge, see [`Balancer::needs_hedge`].
    pub to_hedge: Vec<RequestId>,
    /// When the next request has to be given up, if any.
    pub next_give_up_at: Option<Time>,
}

impl Balancer {
    /// Returns the resolution of timers: a request in flight is given up so long before its deadline.
    pub fn timer_resolution(&self) -> Micros {
        self.config.timer_resolution
    }

    /// Finds the requests to give up or to hedge. A streaming response has no time limit, and the host ends a request
    /// whose body is still streaming at its deadline.
    pub(super) fn due_requests(&self, now: Time) -> DueRequests {
        let mut due = DueRequests::default();
        for (&id, request) in &self.requests.pending {
            if request.response_streaming || request.upload_streaming {
                continue;
            }
            let class = &self.config.classes[request.class];
            let expected_latency = self.classes[request.class].expected_latency(class);
            let resolution = self.config.timer_resolution;
            let at = give_up_at(request, class, expected_latency, resolution);
            if now >= at {
                due.expired.push(id);
            } else if self.needs_hedge(now, request, expected_latency) {
                due.to_hedge.push(id);
            }
            let next = due.next_give_up_at.map_or(at, |next| next.min(at));
            due.next_give_up_at = Some(next);
        }
        due
    }
}

#[cfg(test)]
mod tests;
