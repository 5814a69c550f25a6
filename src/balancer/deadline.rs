//! Deadlines: when a request is given up because no response can come in time any more.

use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, RequestClass, RequestId, Time};

/// When a request is given up: shortly before its deadline while an attempt is in flight, as the deadline itself would
/// be too late to answer. One that only waits is given up once a response can hardly come in time, which does no harm
/// yet: in time for the latency objective, or for the deadline where a late response earns something for work that was
/// already begun.
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

/// What a look at all requests that wait for a response found.
#[derive(Default)]
pub(super) struct DueRequests {
    /// To be given up.
    pub expired: Vec<RequestId>,
    /// To be hedged, see [`Balancer::needs_hedge`].
    pub to_hedge: Vec<RequestId>,
    /// When the next request is to be given up, if any.
    pub next_give_up_at: Option<Time>,
}

impl Balancer {
    /// Requests that are due to be given up or hedged. Streams take the time that they take.
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
