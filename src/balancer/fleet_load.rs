//! Fleet load: what this proxy estimates of the load of all proxies together, from what arrives and is in flight here.

use super::estimators::EventRate;
use super::Balancer;
use crate::interface::Time;

/// Memory of the rate of original requests, from which this proxy's part of all traffic follows: the load balancer in
/// front moves that part slowly.
const ORIGINAL_REQUEST_TIME_CONSTANT_S: f64 = 10.0;
/// Memory of the mean number of attempts in flight: short beside a ramp or a failure.
const IN_FLIGHT_TIME_CONSTANT_S: f64 = 2.0;
/// Before it was observed for so long, the number in flight says nothing of the other proxies.
const MIN_OBSERVATION_S: f64 = 0.25;
/// The whole fleet may get so many times its usual traffic for a while; more than that is this proxy's own part.
const FLEET_BURST_MULTIPLE: f64 = 1.5;

/// Estimates from which this proxy tells the load of all proxies together: it takes the others to be like itself, but
/// for its part of the traffic.
pub(super) struct FleetLoadEstimator {
    /// Original requests that arrived here. Clients' retries swell in overload, original requests do not.
    original_requests: EventRate,
    /// Attempts of this proxy in flight: attempt seconds for each second.
    in_flight: EventRate,
}

impl FleetLoadEstimator {
    pub fn new() -> FleetLoadEstimator {
        FleetLoadEstimator {
            original_requests: EventRate::new(ORIGINAL_REQUEST_TIME_CONSTANT_S),
            in_flight: EventRate::new(IN_FLIGHT_TIME_CONSTANT_S),
        }
    }

    /// An original request arrived, which is no client's retry.
    pub fn record_original_request(&mut self, now: Time) {
        self.original_requests.add(now, 1.0);
    }

    /// So many attempts of this proxy have been in flight on backends in use since the last call.
    pub fn record_in_flight(&mut self, now: Time, attempts: f64) {
        self.in_flight.add_level(now, attempts);
    }

    /// How many times an even part of all traffic arrives here, at least 1. `even_share_per_s`: the requests a second
    /// that the fleet is meant to carry, by proxy; 0 where nobody says.
    pub fn traffic_multiple(&self, even_share_per_s: f64) -> f64 {
        self.original_requests
            .per_s()
            .filter(|_| even_share_per_s > 0.0)
            .map_or(1.0, |here_per_s| (here_per_s / even_share_per_s).max(1.0))
    }

    /// The estimated number of attempts of all `proxies` in flight; `None` while too little was observed.
    pub fn fleet_in_flight(&self, proxies: f64, traffic_multiple: f64) -> Option<f64> {
        let own = self.in_flight.per_s().unwrap_or(0.0);
        let own_excess = (traffic_multiple / FLEET_BURST_MULTIPLE).max(1.0);
        (self.in_flight.observed_s() > MIN_OBSERVATION_S).then_some(own * proxies / own_excess)
    }
}

impl Balancer {
    /// See [`FleetLoadEstimator::traffic_multiple`]. The sum of the quotas is what the fleet is meant to carry.
    pub(super) fn traffic_multiple(&self) -> f64 {
        let even_share_per_s = self.config.quota_sum_per_s() / f64::from(self.config.proxy_count);
        self.fleet_load_estimator.traffic_multiple(even_share_per_s)
    }
}
