//! Silence detection: a backend is silent if an attempt has been without a response for longer than the silence limit
//! and the backend has not responded to any other attempt since. A silent backend gets no new attempts until it
//! responds.

use super::Balancer;
use crate::interface::{Micros, Time};

/// The silence limit as a multiple of the expected latency.
const SILENT_AFTER_LATENCIES: f64 = 6.0;

/// Returns the time that a response may take before the backend counts as silent.
pub(super) fn silence_limit(expected_latency: Micros) -> Micros {
    expected_latency.mul_f64(SILENT_AFTER_LATENCIES)
}

/// Returns the time at which a backend that has owed a response since `awaiting_since` counts as silent.
pub(super) fn silent_at(awaiting_since: Time, expected_latency: Micros) -> Time {
    awaiting_since + silence_limit(expected_latency)
}

impl Balancer {
    /// Marks the backends that are silent now. Returns when the next backend may become silent, if any.
    pub(super) fn detect_silence(&mut self, now: Time) -> Option<Time> {
        let mut silent = Vec::new();
        let mut next_at = None;
        for attempt in self.requests.in_flight.values() {
            let awaiting_since = attempt.awaiting_response_since;
            let at = silent_at(awaiting_since, self.expected_latency(attempt.class));
            if now < at {
                next_at = Some(next_at.map_or(at, |next: Time| next.min(at)));
            } else if self
                .backends
                .get(attempt.backend)
                .is_some_and(|record| record.last_response_at <= awaiting_since)
            {
                silent.push(attempt.backend);
            }
        }
        self.backends.set_silent(silent);
        next_at
    }
}
