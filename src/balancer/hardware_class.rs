//! Estimates for a hardware class: its latency, concurrency limit and capacity.

use super::classes::LATENCY_SAMPLES;
use super::concurrency_limit::{ConcurrencyLimit, RECENT_LATENCY_SAMPLES};
use super::estimators::{EventRate, RunningMean};
use crate::interface::{LearnedHardwareClass, Time};

/// Time constant of the rate of served requests, in seconds: about ten requests of a proxy with little traffic.
const SERVED_TIME_CONSTANT_S: f64 = 5.0;
/// Upper bound of the proven capacity, as a multiple of the rate of an endpoint that serves one request at a time.
const MAX_PROVEN_MULTIPLE: f64 = 2.0;

/// The estimates for the endpoints of one hardware class.
pub(super) struct HardwareClass {
    /// Seconds from dispatch to response, of served requests only, corrected for the mix of request classes.
    pub latency: RunningMean,
    /// Like `latency`, but over fewer samples.
    pub recent_latency: RunningMean,
    pub concurrency_limit: ConcurrencyLimit,
    /// Sum of the readiness of its endpoints.
    pub ready_endpoints: f64,
    /// Requests per second that one endpoint can serve.
    pub service_rate_per_s: f64,
    /// Share of the traffic of all proxies.
    pub fleet_traffic_share: f64,
    /// Share of this proxy's traffic.
    pub own_traffic_share: f64,
    /// Rate of this proxy's requests that were served, per ready endpoint.
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
    /// Records a request that was served after `latency_s` seconds, corrected for the mix of request classes.
    pub fn record_served(&mut self, now: Time, latency_s: f64) {
        self.latency.add(latency_s, LATENCY_SAMPLES);
        self.served_per_endpoint
            .add(now, 1.0 / self.ready_endpoints.max(1.0));
        self.recent_latency.add(latency_s, RECENT_LATENCY_SAMPLES);
    }

    /// Returns the recent mean latency in seconds, once it has its full number of samples.
    pub fn recent_latency_s(&self) -> Option<f64> {
        self.recent_latency
            .get()
            .filter(|_| self.recent_latency.count >= RECENT_LATENCY_SAMPLES)
    }

    /// Updates the service rate of one endpoint from the request rate of all proxies: the rate that it serves now plus
    /// the rate that it could serve in addition. It is 0 while no latency is known.
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

    /// Returns a safe estimate of the requests of mean work per second that an endpoint past its slow start can serve;
    /// `None` while no latency is known. Unlike [`HardwareClass::service_rate_per_s`] it is based on served requests
    /// and not on the offered load, which exceeds the capacity in an overload.
    pub fn proven_capacity_per_s(&self, proxies: f64) -> Option<f64> {
        let served_per_s = self.served_per_endpoint.per_s().unwrap_or(0.0) * proxies;
        // The inverse of a mean of n scattered samples is too high by a factor of about 1 + 1 / n.
        let latency_s = self.latency.get()? * (1.0 + 1.0 / self.latency.count);
        // With few ready endpoints the sum would be too high.
        Some(
            (1.0 / latency_s + served_per_s)
                .min(MAX_PROVEN_MULTIPLE / latency_s)
                .max(served_per_s),
        )
    }

    /// Returns the estimates that are kept across a restart.
    pub fn learned(&self) -> LearnedHardwareClass {
        LearnedHardwareClass {
            latency: self.latency.sampled(),
            recent_latency: self.recent_latency.sampled(),
            uncontended_latency_s: self.concurrency_limit.uncontended_latency_s(),
            concurrency_limit: self.concurrency_limit.get(),
        }
    }

    /// Restores learned state, with its samples discounted by `weight`, and optionally its concurrency limit.
    pub fn restore(&mut self, learned: &LearnedHardwareClass, weight: f64, with_limit: bool) {
        self.latency = RunningMean::restored(learned.latency, weight);
        self.recent_latency = RunningMean::restored(learned.recent_latency, weight);
        if with_limit {
            self.concurrency_limit
                .restore(learned.concurrency_limit, learned.uncontended_latency_s);
        }
    }
}
