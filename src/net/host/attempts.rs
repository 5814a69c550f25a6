//! Attempts at backends, from their dispatch to their end.
//!
//! The balancer's `Dispatch` starts a task that runs the attempt on the connection pool. The task reports back through
//! [`Progress`] and `attempt_ended`.

use super::state::{Answer, AttemptKey, InFlightAttempt, OpenRequest, State};
use super::Host;
use crate::net::observed_stream::PeerMonitor;
use crate::net::upstream::{AttemptResult, Progress, RequestBody, ServedResponse};
use crate::net::{to_duration, to_micros};
use meadowproxy::{AttemptEnd, AttemptNumber, BackendId, Event, Outcome, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::debug;

impl Host {
    pub(super) fn dispatch(
        self: &Rc<Self>,
        s: &mut State,
        now: Time,
        request: RequestId,
        backend: BackendId,
    ) {
        let Some(open_request) = s.requests.get_mut(&request) else {
            return;
        };
        let attempt = AttemptNumber(open_request.attempts);
        open_request.attempts += 1;
        s.counters.attempts += 1;
        let forwarded = open_request.forwarded.clone();
        let deadline = open_request.deadline();
        let Some(record) = s.backends.get(&backend) else {
            return;
        };
        let context = AttemptContext {
            host: self.clone(),
            request,
            attempt,
            backend,
            address: record.address,
        };
        let task = tokio::task::spawn_local(async move {
            let context = Rc::new(context);
            let host = &context.host;
            let result = host
                .pool
                .attempt(backend, context.address, &forwarded, deadline, &context)
                .await;
            host.attempt_ended(request, attempt, result);
        });
        let in_flight = InFlightAttempt {
            backend,
            sent_at: now,
            task: task.abort_handle(),
        };
        s.attempts
            .insert(AttemptKey { request, attempt }, in_flight);
    }

    /// Returns whether an attempt may still be sent, right before its first byte: the backend is still usable at that
    /// address, the request and its client still wait, and a backend would still drop a duplicate.
    pub(super) fn may_send(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        backend: BackendId,
        address: SocketAddr,
    ) -> bool {
        if self.has_client_disconnected(request) {
            self.client_disconnected(request);
        }
        let s = self.state.borrow();
        let is_backend_usable = s
            .backends
            .get(&backend)
            .is_some_and(|record| record.is_usable() && record.address == address);
        is_backend_usable
            && s.requests.contains_key(&request)
            && s.duplicate_deadline(request, attempt)
                .is_none_or(|deadline| self.clock.now() < deadline)
    }

    fn has_client_disconnected(&self, request: RequestId) -> bool {
        let s = self.state.borrow();
        let client = s
            .requests
            .get(&request)
            .and_then(|request| request.forwarded.client.as_ref());
        client.is_some_and(PeerMonitor::has_closed)
    }

    /// Returns when the last byte must be sent of a request with an idempotency key whose first byte is sent now: a
    /// duplicate sent after that time could be executed first, and the backend would then take this attempt for the
    /// duplicate.
    pub(super) fn send_deadline(&self, request: RequestId, attempt: AttemptNumber) -> Option<Time> {
        let s = self.state.borrow();
        let window = s.retry_window(s.requests.get(&request)?)?;
        if window.0 == 0 {
            return None;
        }
        let own_deadline = self.clock.now() + window;
        let duplicate_deadline = s.duplicate_deadline(request, attempt);
        Some(duplicate_deadline.map_or(own_deadline, |deadline| deadline.min(own_deadline)))
    }

    /// Handles that the last byte of a streamed body was sent: the backend owes a response from now on.
    pub(super) fn upload_finished(self: &Rc<Self>, request: RequestId, attempt: AttemptNumber) {
        let now = self.clock.now();
        let time_left = {
            let mut s = self.state.borrow_mut();
            if let Some(in_flight) = s.attempts.get_mut(&AttemptKey { request, attempt }) {
                in_flight.sent_at = now;
            }
            let Some(open_request) = s.requests.get(&request) else {
                return;
            };
            let RequestBody::Streaming(upload) = &open_request.forwarded.body else {
                return;
            };
            upload.mark_sent();
            to_micros(
                upload
                    .answer_deadline()
                    .saturating_duration_since(Instant::now()),
            )
        };
        self.handle_event(Event::UploadFinished {
            request,
            attempt,
            time_left,
        });
    }

    /// Hands a streamed response that has begun to the client, and cancels the request's other attempts.
    pub(super) fn response_started(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        response: ServedResponse,
    ) {
        let mut others = self.in_flight_attempts(request);
        others.retain(|other| *other != attempt);
        {
            let mut s = self.state.borrow_mut();
            if !s.answer(request, Answer::Served(response)) {
                return;
            }
            s.counters.served += 1;
        }
        self.handle_event(Event::ResponseStarted { request, attempt });
        for other in others {
            let cancelled = AttemptResult::without_response(Outcome::Cancelled);
            self.attempt_ended(request, other, cancelled);
        }
    }

    pub(super) fn attempt_ended(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        result: AttemptResult,
    ) {
        let end = {
            let mut s = self.state.borrow_mut();
            let Some(in_flight) = s.attempts.remove(&AttemptKey { request, attempt }) else {
                return;
            };
            in_flight.task.abort(); // closes its connection, if the task still runs
            let outcome = result.outcome;
            self.count_outcome(&mut s, outcome, &in_flight);
            if !outcome.proves_unprocessed() {
                if let Some(open_request) = s.requests.get_mut(&request) {
                    record_possible_run(open_request, in_flight.sent_at);
                }
            }
            if let Some(response) = result.response {
                if s.answer(request, Answer::Served(response)) {
                    s.counters.served += 1;
                }
            }
            if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                debug!(
                    "request {} attempt {} at {}: {outcome:?}",
                    request.0, attempt.0, in_flight.backend.0
                );
            }
            AttemptEnd {
                request,
                attempt,
                outcome,
                latency: self.clock.now() - in_flight.sent_at,
                answered: !s.requests.contains_key(&request),
            }
        };
        self.handle_event(Event::AttemptEnded(end));
    }

    fn count_outcome(&self, s: &mut State, outcome: Outcome, in_flight: &InFlightAttempt) {
        let counters = &mut s.counters;
        match outcome {
            Outcome::Overloaded => counters.overloaded += 1,
            Outcome::Error => counters.errors += 1,
            Outcome::Reset => counters.resets += 1,
            Outcome::ConnectFailed => counters.connect_failed += 1,
            Outcome::NotSent => counters.not_sent += 1,
            Outcome::TimedOut => {
                let sent_at = self.clock.instant(in_flight.sent_at);
                self.pool
                    .record_unanswered_attempt(in_flight.backend, sent_at);
            }
            _ => {}
        }
    }

    /// Returns the request's attempts that are in flight.
    pub(super) fn in_flight_attempts(&self, id: RequestId) -> Vec<AttemptNumber> {
        let s = self.state.borrow();
        let count = s.requests.get(&id).map_or(0, |request| request.attempts);
        let is_in_flight = |attempt: &AttemptNumber| {
            let key = AttemptKey {
                request: id,
                attempt: *attempt,
            };
            s.attempts.contains_key(&key)
        };
        (0..count).map(AttemptNumber).filter(is_in_flight).collect()
    }

    /// Cancels the attempts of a disconnected client that the balancer has not cancelled itself.
    pub(super) fn cancel_attempts(self: &Rc<Self>, id: RequestId) {
        let attempts: Vec<AttemptNumber> = {
            let s = self.state.borrow();
            let of_request = s.attempts.keys().filter(|key| key.request == id);
            of_request.map(|key| key.attempt).collect()
        };
        for attempt in attempts {
            let cancelled = AttemptResult::without_response(Outcome::Cancelled);
            self.attempt_ended(id, attempt, cancelled);
        }
    }
}

fn record_possible_run(request: &mut OpenRequest, sent_at: Time) {
    let first = request
        .first_possible_run_at
        .map_or(sent_at, |at| at.min(sent_at));
    request.first_possible_run_at = Some(first);
}

/// Identifies an attempt, and connects its [`Progress`] callbacks to the host.
struct AttemptContext {
    host: Rc<Host>,
    request: RequestId,
    attempt: AttemptNumber,
    backend: BackendId,
    address: SocketAddr,
}

impl Progress for AttemptContext {
    fn may_send(&self) -> bool {
        self.host
            .may_send(self.request, self.attempt, self.backend, self.address)
    }

    fn send_deadline(&self) -> Option<Instant> {
        let deadline = self.host.send_deadline(self.request, self.attempt)?;
        Some(self.host.clock.instant(deadline))
    }

    fn forward_by(&self) -> Option<Instant> {
        let deadline = self.host.request_deadline(self.request)?;
        deadline.checked_sub(to_duration(self.host.forwarding_margin()))
    }

    fn upload_started(&self) {
        self.host.handle_event(Event::UploadStarted {
            request: self.request,
            attempt: self.attempt,
        });
    }

    fn upload_finished(&self) {
        self.host.upload_finished(self.request, self.attempt);
    }

    fn response_started(&self, response: ServedResponse) {
        self.host
            .response_started(self.request, self.attempt, response);
    }
}

#[cfg(test)]
mod tests;
