//! Requests, from their arrival to their final answer.
//!
//! [`Host::accept_request`] starts one. It ends with its [`Answer`], the client's disconnect, or its deadline.

use super::state::{Answer, OpenRequest};
use super::Host;
use crate::net::upstream::{AttemptResult, ForwardedRequest, RequestBody};
use meadowproxy::{ClassId, Event, Idempotency, Micros, RequestArrival, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{debug, warn};

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
        let buffered_deadline = self.clock.instant(self.clock.now() + arrival.time_left);
        let request = OpenRequest {
            forwarded: forwarded.clone(),
            class: arrival.class,
            idempotency,
            first_possible_run_at: None,
            answer,
            buffered_deadline,
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

    /// Returns until when the request has to be answered; `None` once it is over. The deadline of a request whose body
    /// is streamed may have moved on when it is reached, see [`StreamedUpload::answer_deadline`].
    ///
    /// [`StreamedUpload::answer_deadline`]: crate::net::upstream::StreamedUpload::answer_deadline
    pub fn request_deadline(&self, id: RequestId) -> Option<Instant> {
        let s = self.state.borrow();
        s.requests.get(&id).map(OpenRequest::answer_deadline)
    }

    /// Returns whether a request of the class can be expected to be served within `time_left`.
    pub fn is_feasible(&self, class: ClassId, time_left: Micros) -> bool {
        self.state.borrow().balancer.is_feasible(class, time_left)
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

    /// Ends a request at its deadline. Its attempts are ended, on which the balancer decides the final answer; if it does
    /// not, the request is answered as timed out.
    pub fn deadline_expired(self: &Rc<Self>, id: RequestId) {
        self.end_attempts_at_deadline(id);
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

    fn end_attempts_at_deadline(self: &Rc<Self>, id: RequestId) {
        let outcome = {
            let s = self.state.borrow();
            let Some(request) = s.requests.get(&id) else {
                return;
            };
            if let RequestBody::Streaming(upload) = &request.forwarded.body {
                debug!(
                    event = "upload_expired",
                    "request {} is at its deadline: {}",
                    id.0,
                    upload.progress()
                );
            }
            request.outcome_at_deadline()
        };
        for attempt in self.in_flight_attempts(id) {
            self.attempt_ended(id, attempt, AttemptResult::without_response(outcome));
        }
    }
}
