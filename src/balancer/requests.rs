//! Requests that are owed a final answer, and their attempts.

use crate::interface::{AttemptNumber, Backend, BackendId, RequestId, Time};
use std::collections::BTreeMap;

/// An attempt of a request.
pub(super) struct Attempt {
    /// The backend, as the endpoint list described it at the dispatch.
    pub backend: Backend,
    pub dispatched_at: Time,
    /// It has not ended yet.
    pub in_flight: bool,
    /// Its outcome proves that the backend did not run it.
    pub unprocessed: bool,
    /// It was not sent because its backend was removed meanwhile: the attempt in its place is no retry.
    pub replaceable: bool,
    /// Its response has begun to stream: the backend has done the work.
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

/// A request that is owed a final answer.
pub(super) struct PendingRequest {
    /// Its class, by number.
    pub class: usize,
    pub arrived_at: Time,
    /// A response until then is within the latency objective.
    pub objective_until: Time,
    /// The client gives up then.
    pub deadline: Time,
    /// 1 for an original request within quota; less over quota or for a client's retry.
    pub value: f64,
    /// A response streams to the client.
    pub response_streaming: bool,
    /// Its body is streamed to one backend as it arrives, and cannot be sent to another.
    pub upload_streaming: bool,
    /// Attempts allowed under the rules that it arrived with; no more once its body streams.
    pub max_attempts: usize,
    /// In order of their numbers.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether a further attempt is paid from the retry budget.
    pub fn next_attempt_is_retry(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|attempt| !attempt.replaceable)
    }

    pub fn attempt_mut(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(number.0 as usize)
    }
}

/// Names one attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt whose end has not been reported yet. It may outlive its request.
#[derive(Clone, Copy)]
pub(super) struct InFlightAttempt {
    pub backend: BackendId,
    /// The request's class, by number.
    pub class: usize,
    /// Since when a response is awaited; [`NO_RESPONSE_DUE`] while the body is uploaded.
    pub awaiting_response_since: Time,
}

/// Stands for a time that does not come: the backend owes no response yet.
pub(super) const NO_RESPONSE_DUE: Time = Time(u64::MAX);

/// All requests that are owed a final answer, and all attempts in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    pub pending: BTreeMap<RequestId, PendingRequest>,
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl RequestTable {
    /// A further attempt of the request goes to the backend.
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

    /// The body of a request streams to the attempt's backend, which owes no response until it is complete.
    pub fn upload_started(&mut self, key: AttemptKey) {
        if let Some(request) = self.pending.get_mut(&key.request) {
            request.upload_streaming = true;
            request.max_attempts = request.attempts.len();
        }
        if let Some(attempt) = self.in_flight.get_mut(&key) {
            attempt.awaiting_response_since = NO_RESPONSE_DUE;
        }
    }
    /// Whether the attempt's response has begun to stream.
    pub fn response_started(&self, key: AttemptKey) -> bool {
        self.pending
            .get(&key.request)
            .and_then(|request| request.attempts.get(key.attempt.0 as usize))
            .is_some_and(|attempt| attempt.response_started)
    }
}
