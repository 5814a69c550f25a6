//! Requests, from their arrival to their final answer.
//!
//! [`Host::accept_request`] starts one. It ends with its [`Answer`], the client's disconnect, or its deadline.

use super::state::{Answer, OpenRequest, DEADLINE_UNKNOWN};
use super::Host;
use crate::net::upstream::{AttemptResult, ForwardedRequest, RequestBody};
use meadowproxy::{Event, Idempotency, Outcome, RequestArrival, RequestId, Time};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::warn;

/// A request that was accepted and waits for its final answer.
pub struct PendingRequest {
    pub id: RequestId,
    pub answer: oneshot::Receiver<Answer>,
}

impl Host {
    /// Accepts a request and assigns its id, which replaces `arrival.request`.
    pub fn accept_request(
        self: &Rc<Self>,
        mut arrival: RequestArrival,
        forwarded: &Rc<ForwardedRequest>,
        idempotency: Idempotency,
    ) -> PendingRequest {
        let (answer, receiver) = oneshot::channel();
        let deadline = match forwarded.body {
            RequestBody::Buffered(_) => self.clock.now() + arrival.time_left,
            RequestBody::Streaming(_) => DEADLINE_UNKNOWN,
        };
        let request = OpenRequest {
            forwarded: forwarded.clone(),
            class: arrival.class,
            idempotency,
            first_possible_run_at: None,
            answer,
            deadline,
            attempts: 0,
        };
        let id = self.state.borrow_mut().add_request(request);
        arrival.request = id;
        self.handle_event(Event::RequestArrived(arrival));
        PendingRequest {
            id,
            answer: receiver,
        }
    }

    /// Returns the request's deadline, or [`DEADLINE_UNKNOWN`] while its body is still arriving or once it is over.
    pub fn request_deadline(&self, id: RequestId) -> Time {
        self.state
            .borrow()
            .requests
            .get(&id)
            .map_or(DEADLINE_UNKNOWN, |request| request.deadline)
    }

    /// Ends a request whose client disconnected before its answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        {
            let mut s = self.state.borrow_mut();
            if s.requests.remove(&id).is_none() {
                return;
            }
            s.counters.client_disconnected += 1;
        }
        self.handle_event(Event::ClientDisconnected { request: id });
        self.cancel_attempts(id);
    }

    /// Ends a request at its deadline. Its attempts are reported as timed out, on which the balancer decides the final
    /// answer; if it does not, the request is answered as timed out.
    pub fn deadline_expired(self: &Rc<Self>, id: RequestId) {
        for attempt in self.in_flight_attempts(id) {
            self.attempt_ended(
                id,
                attempt,
                AttemptResult::without_response(Outcome::TimedOut),
            );
        }
        let request = self.state.borrow_mut().requests.remove(&id);
        if let Some(request) = request {
            warn!(
                request = id.0,
                attempts = request.attempts,
                "no decision on request {} by its deadline, answered as timed out",
                id.0
            );
            self.state.borrow_mut().counters.timed_out += 1;
            let _ = request.answer.send(Answer::TimedOut);
            self.handle_event(Event::ClientDisconnected { request: id });
            self.cancel_attempts(id);
        }
    }
}
