//! The table of requests that are waiting for their final answer, and of their attempts.

use crate::interface::{AttemptNumber, Backend, BackendId, RequestId, Time};
use std::collections::BTreeMap;

/// An attempt of a request.
pub(super) struct Attempt {
    /// The backend, as described by the endpoint list at the time of dispatch.
    pub backend: Backend,
    pub dispatched_at: Time,
    /// Whether the attempt has not ended yet.
    pub in_flight: bool,
    /// Whether the outcome proves that the backend did not process the attempt.
    pub unprocessed: bool,
    /// Whether the attempt was not sent because its backend became unavailable. The attempt that replaces it is not a
    /// retry.
    pub replaceable: bool,
    /// Whether the response started to stream, which means that the backend has done the work.
    pub response_started: bool,
}

impl Attempt {
    pub fn new(backend: Backend, dispatched_at: Time) -> Attempt {
        Attempt {
            backend,
            dispatched_at,
            in_flight: true,
            unprocessed: false,
            replaceable: false,
            response_started: false,
        }
    }
}

/// A request that is waiting for its final answer.
pub(super) struct PendingRequest {
    /// Number of the request's class.
    pub class: usize,
    pub arrived_at: Time,
    /// End of the latency objective: a response until then earns the full weight.
    pub objective_until: Time,
    /// Time at which the client gives up.
    pub deadline: Time,
    /// Relative value: 1 for an original request within quota, less over quota or for a client's retry.
    pub value: f64,
    /// Whether a response is streaming to the client.
    pub response_streaming: bool,
    /// Whether the body is being streamed to one backend as it arrives, so that it cannot be sent to another.
    pub upload_streaming: bool,
    /// Maximum number of attempts by the configuration at arrival; no further ones once the body streams.
    pub max_attempts: usize,
    /// The attempts in order of their numbers.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether the next attempt is a retry, which counts against the retry budget.
    pub fn next_attempt_is_retry(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|attempt| !attempt.replaceable)
    }

    pub fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(number.0 as usize)
    }
}

/// Identifies an attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt whose end has not been reported yet. It may remain in flight after its request was closed.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub backend: BackendId,
    /// Number of the request's class.
    pub class: usize,
    /// Time since which a response is awaited; [`NO_RESPONSE_DUE`] while the body is uploaded.
    pub awaiting_response_since: Time,
}

/// The time in the far future that means that the backend owes no response yet.
pub(super) const NO_RESPONSE_DUE: Time = Time(u64::MAX);

/// All requests that are waiting for their final answer, and all attempts in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    pub pending: BTreeMap<RequestId, PendingRequest>,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl RequestTable {
    /// Adds an attempt of the request on the backend.
    pub fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut PendingRequest,
        backend: Backend,
    ) {
        let key = AttemptKey {
            request: id,
            attempt: AttemptNumber(request.attempts.len() as u32),
        };
        let in_flight = InFlightAttempt {
            backend: backend.id,
            class: request.class,
            awaiting_response_since: now,
        };
        self.in_flight.insert(key, in_flight);
        request.attempts.push(Attempt::new(backend, now));
    }

    /// Records that the request's body is being streamed to the attempt's backend, which owes no response until the
    /// body is complete.
    pub fn upload_started(&mut self, key: AttemptKey) {
        if let Some(request) = self.pending.get_mut(&key.request) {
            request.upload_streaming = true;
            request.max_attempts = request.attempts.len();
        }
        if let Some(attempt) = self.in_flight.get_mut(&key) {
            attempt.awaiting_response_since = NO_RESPONSE_DUE;
        }
    }
    /// Returns whether the attempt's response started to stream.
    pub fn response_started(&self, key: AttemptKey) -> bool {
        self.pending
            .get(&key.request)
            .and_then(|request| request.attempts.get(key.attempt.0 as usize))
            .is_some_and(|attempt| attempt.response_started)
    }
}
