//! What is learned of a hardware class: its latencies, its concurrency limit and its capacity.

use super::classes::LATENCY_SAMPLES;
use super::concurrency_limit::{ConcurrencyLimit, RECENT_LATENCY_SAMPLES};
use super::estimators::{EventRate, RunningMean};
use crate::interface::{LearnedHardwareClass, Time};

/// Memory of the rate of served requests, s: some ten requests of a proxy that sees few.
const SERVED_TIME_CONSTANT_S: f64 = 5.0;
/// The proven capacity is at most this multiple of what the latency of one request at a time gives.
const MAX_PROVEN_MULTIPLE: f64 = 2.0;

/// What is learned of the endpoints of one kind.
pub(super) struct HardwareClass {
    /// Seconds from dispatch to response, of served requests only, corrected for the mix of request classes.
    pub latency: RunningMean,
    /// The same over fewer samples.
    pub recent_latency: RunningMean,
    pub concurrency_limit: ConcurrencyLimit,
    /// Sum of the readiness of its endpoints.
    pub ready_endpoints: f64,
    /// Requests a second that one endpoint can serve.
    pub service_rate_per_s: f64,
    /// Its part of the traffic of all proxies.
    pub fleet_traffic_share: f64,
    /// Its part of the traffic of this proxy.
    pub own_traffic_share: f64,
    /// Requests of this proxy that were served there, for each ready endpoint.
    pub served_per_endpoint: EventRate,
}

impl Default for HardwareClass {
    fn default() -> HardwareClass {
        HardwareClass {
            latency: RunningMean::default(),
            recent_latency: RunningMean::default(),
            concurrency_limit: ConcurrencyLimit::default(),
            ready_endpoints: 0.0,
            service_rate_per_s: 0.0,
            fleet_traffic_share: 0.0,
            own_traffic_share: 0.0,
            served_per_endpoint: EventRate::new(SERVED_TIME_CONSTANT_S),
        }
    }
}

impl HardwareClass {
    /// A request was served after `latency_s` seconds, corrected for the mix of request classes.
    pub fn record_served(&mut self, now: Time, latency_s: f64) {
        self.latency.add(latency_s, LATENCY_SAMPLES);
        self.served_per_endpoint
            .add(now, 1.0 / self.ready_endpoints.max(1.0));
        self.recent_latency.add(latency_s, RECENT_LATENCY_SAMPLES);
    }

    /// The recent mean latency in seconds, once it has all its samples.
    pub fn recent_latency_s(&self) -> Option<f64> {
        self.recent_latency
            .get()
            .filter(|_| self.recent_latency.count >= RECENT_LATENCY_SAMPLES)
    }

    /// Estimates what one endpoint can serve, given the requests a second of all proxies: what it serves now and what
    /// it could serve beyond that. 0 while there is no latency.
    pub fn update_service_rate(&mut self, fleet_rate_per_s: f64) {
        let served_per_s = if self.ready_endpoints > 0.0 {
            fleet_rate_per_s * self.fleet_traffic_share / self.ready_endpoints
        } else {
            0.0
        };
        self.service_rate_per_s = self
            .latency
            .get()
            .map_or(0.0, |latency_s| 1.0 / latency_s + served_per_s);
    }

    /// Requests of mean work a second that a warm endpoint serves for certain; `None` while there is no latency.
    /// Unlike [`HardwareClass::service_rate_per_s`] it counts what was served and not what was asked for, which in an
    /// overload is more than the endpoint can do.
    pub fn proven_capacity_per_s(&self, proxies: f64) -> Option<f64> {
        let served_per_s = self.served_per_endpoint.per_s().unwrap_or(0.0) * proxies;
        // The inverse of a mean of n scattered samples overestimates by about one part in n.
        let latency_s = self.latency.get()? * (1.0 + 1.0 / self.latency.count);
        // With few ready endpoints the sum overshoots.
        Some(
            (1.0 / latency_s + served_per_s)
                .min(MAX_PROVEN_MULTIPLE / latency_s)
                .max(served_per_s),
        )
    }

    /// What outlives a restart.
    pub fn learned(&self) -> LearnedHardwareClass {
        LearnedHardwareClass {
            latency: self.latency.sampled(),
            recent_latency: self.recent_latency.sampled(),
            uncontended_latency_s: self.concurrency_limit.uncontended_latency_s(),
            concurrency_limit: self.concurrency_limit.get(),
        }
    }

    /// Takes over learned state whose samples count `weight` each, with its concurrency limit or without it.
    pub fn restore(&mut self, learned: &LearnedHardwareClass, weight: f64, with_limit: bool) {
        self.latency = RunningMean::restored(learned.latency, weight);
        self.recent_latency = RunningMean::restored(learned.recent_latency, weight);
        if with_limit {
            self.concurrency_limit
                .restore(learned.concurrency_limit, learned.uncontended_latency_s);
        }
    }
}
