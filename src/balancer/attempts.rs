//! What becomes of attempts: uploads, the start of a response, and the end.

use super::requests::AttemptKey;
use super::Balancer;
use crate::interface::{AttemptEnd, Micros, Outcome, Time};

impl Balancer {
    /// The last byte of a streamed body was sent: from now on the backend owes a response, and the request's time
    /// counts from here.
    pub(super) fn upload_finished(&mut self, now: Time, key: AttemptKey, time_left: Micros) {
        if let Some(attempt) = self.requests.in_flight.get_mut(&key) {
            attempt.awaiting_response_since = now;
        }
        if let Some(request) = self.requests.pending.get_mut(&key.request) {
            let objective = self.cfg.classes[request.class].latency_objective;
            request.upload_streaming = false;
            request.arrived_at = now;
            request.objective_until = now + objective.min(time_left);
            request.deadline = now + time_left;
        }
        self.schedule.check_at(now);
    }

    /// A response began to stream. From here on the client's pace holds it up: what there is to learn is learned now,
    /// and the backend has its capacity back.
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
        self.classes[class].record_served(now, request, &self.cfg.classes[class]);
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
        self.learn(
            now,
            in_flight.backend,
            in_flight.class,
            in_flight.awaiting_response_since,
            &served,
        );
    }

    /// An attempt ended: its outcome is learned from, and its request is answered or waits for a further attempt.
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
            // It was counted as served when the response started: the fault comes on top.
            if let Some(record) = self.backends.get_mut(in_flight.backend) {
                record.in_flight += 1;
                record.last_response_at = now;
            }
        }
        if !response_started || broke {
            self.learn(
                now,
                in_flight.backend,
                in_flight.class,
                in_flight.awaiting_response_since,
                end,
            );
        }
        let removed = self
            .backends
            .get(in_flight.backend)
            .is_none_or(|record| !self.backends.is_available(record));
        let Some(request) = self.requests.pending.get_mut(&end.request) else {
            return;
        };
        if let Some(attempt) = request.attempt_mut(end.attempt) {
            attempt.in_flight = false;
            attempt.never_ran = end.outcome.proves_not_run();
            attempt.replaceable = removed && end.outcome == Outcome::NotSent;
        }
        if end.outcome == Outcome::Ok && !response_started {
            let class = in_flight.class;
            self.classes[class].record_served(now, request, &self.cfg.classes[class]);
        }
        if request.response_streaming && !response_started {
            return; // the other attempt of a hedged request streams its response
        }
        if end.answered || end.outcome == Outcome::Ok {
            self.close(end.request);
        } else if !request.has_attempt_in_flight() && !self.dispatch_queue.contains(end.request) {
            self.dispatch_queue.push(end.request);
        }
    }
}
