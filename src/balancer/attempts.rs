//! The life of an attempt after its dispatch: the end of an upload, the start of a response, and the attempt's end.

use super::requests::{AttemptKey, InFlightAttempt};
use super::Balancer;
use crate::interface::{AttemptEnd, BackendId, Micros, Outcome, RequestId, Time};

impl Balancer {
    /// Handles the last byte of a streamed body: from now on the backend owes a response, and the request's deadline
    /// and latency objective are counted from here.
    pub(super) fn upload_finished(&mut self, now: Time, key: AttemptKey, time_left: Micros) {
        if let Some(attempt) = self.requests.in_flight.get_mut(&key) {
            attempt.awaiting_response_since = now;
        }
        if let Some(request) = self.requests.pending.get_mut(&key.request) {
            let objective = self.config.classes[request.class].latency_objective;
            request.upload_streaming = false;
            request.arrived_at = now;
            request.objective_until = now + objective.min(time_left);
            request.deadline = now + time_left;
        }
        self.schedule.check_at(now);
    }

    /// Handles the start of a streamed response. The rest of the attempt depends on the speed of the client, so the
    /// outcome is recorded now, and the backend's capacity counts as free.
    pub(super) fn response_started(&mut self, now: Time, key: AttemptKey) {
        let Some(request) = self.requests.pending.get_mut(&key.request) else {
            return;
        };
        let Some(attempt) = request
            .attempt_mut(key.attempt)
            .filter(|attempt| attempt.in_flight && !attempt.response_started)
        else {
            return;
        };
        attempt.response_started = true;
        request.response_streaming = true;
        request.upload_streaming = false;
        let class = request.class;
        self.record_earned_weight(now, key.request, class);
        let Some(&in_flight) = self.requests.in_flight.get(&key) else {
            return;
        };
        let served = AttemptEnd {
            request: key.request,
            attempt: key.attempt,
            outcome: Outcome::Ok,
            latency: now - in_flight.awaiting_response_since,
            answered: true,
        };
        self.record_outcome(now, in_flight, &served);
    }

    /// Handles the end of an attempt: records its outcome, then closes the request or queues it for another attempt.
    pub(super) fn attempt_ended(&mut self, now: Time, end: &AttemptEnd) {
        let key = AttemptKey {
            request: end.request,
            attempt: end.attempt,
        };
        let Some(in_flight) = self.requests.in_flight.remove(&key) else {
            return;
        };
        let response_started = self.requests.response_started(key);
        let broke = matches!(end.outcome, Outcome::Error | Outcome::Reset);
        if response_started && broke {
            self.restore_in_flight(now, in_flight.backend);
        }
        if !response_started || broke {
            self.record_outcome(now, in_flight, end);
        }
        self.mark_ended(in_flight, end);
        if end.outcome == Outcome::Ok && !response_started {
            self.record_earned_weight(now, end.request, in_flight.class);
        }
        self.answer_or_retry(end, response_started);
    }

    /// Counts the attempt as in flight again, after its response started, was recorded as served and then broke off.
    /// The failure is then recorded like that of any other attempt in flight.
    fn restore_in_flight(&mut self, now: Time, backend: BackendId) {
        if let Some(record) = self.backends.get_mut(backend) {
            record.in_flight += 1;
            record.last_response_at = now;
        }
    }

    fn mark_ended(&mut self, in_flight: InFlightAttempt, end: &AttemptEnd) {
        let removed = self
            .backends
            .get(in_flight.backend)
            .is_none_or(|record| !self.backends.is_available(record));
        let request = self.requests.pending.get_mut(&end.request);
        if let Some(attempt) = request.and_then(|request| request.attempt_mut(end.attempt)) {
            attempt.in_flight = false;
            attempt.unprocessed = end.outcome.proves_unprocessed();
            attempt.replaceable = removed && end.outcome == Outcome::NotSent;
        }
    }

    fn record_earned_weight(&mut self, now: Time, id: RequestId, class: usize) {
        if let Some(request) = self.requests.pending.get(&id) {
            self.classes[class].record_served(now, request, &self.config.classes[class]);
        }
    }

    /// Closes the request if it was answered, or queues it for another attempt if none is left in flight.
    fn answer_or_retry(&mut self, end: &AttemptEnd, response_started: bool) {
        let Some(request) = self.requests.pending.get(&end.request) else {
            return;
        };
        if request.response_streaming && !response_started {
            return; // the other attempt of the hedged request is streaming its response
        }
        if end.answered || end.outcome == Outcome::Ok {
            self.close(end.request);
        } else if !request.has_attempt_in_flight() && !self.dispatch_queue.contains(end.request) {
            self.dispatch_queue.push(end.request);
        }
    }
}
