//! Estimates the load of all proxies together from the requests that arrive at this proxy and its attempts in flight.
//!
//! The tenants' quotas are the traffic that the fleet is intended to get; an even share is their sum divided by the
//! number of proxies. The traffic multiple is this proxy's traffic in even shares.

use super::estimators::EventRate;
use super::Balancer;
use crate::interface::Time;

/// Time constant of the rate of original requests, in seconds. This proxy's share of all traffic is derived from the
/// rate; the load balancer in front of the proxies changes that share slowly.
const ORIGINAL_REQUEST_TIME_CONSTANT_S: f64 = 10.0;
/// Time constant of the mean number of attempts in flight, in seconds. It is short compared with a ramp or a failure.
const IN_FLIGHT_TIME_CONSTANT_S: f64 = 2.0;
/// Time, in seconds, for which the number in flight has to be observed before the fleet's load is estimated from it.
const MIN_OBSERVATION_S: f64 = 0.25;
/// Multiple of its intended traffic that the whole fleet may get for a while. Up to this traffic multiple, the other
/// proxies are assumed to be as loaded as this one; anything beyond is attributed to a larger share of this proxy, and
/// not extrapolated to the others.
const FLEET_BURST_MULTIPLE: f64 = 1.5;

/// Estimates the load of all proxies together. It assumes that they all get the same traffic, unless this proxy's
/// traffic multiple is above [`FLEET_BURST_MULTIPLE`]. A proxy with less than an even share therefore underestimates
/// the load.
pub(super) struct FleetLoadEstimator {
    /// Rate of original requests that arrive at this proxy. Client retries are not counted, as they multiply during an
    /// overload and would look like a larger share.
    original_requests: EventRate,
    /// Mean number of this proxy's attempts in flight: attempt-seconds per second.
    in_flight: EventRate,
}

impl FleetLoadEstimator {
    pub fn new() -> FleetLoadEstimator {
        FleetLoadEstimator {
            original_requests: EventRate::new(ORIGINAL_REQUEST_TIME_CONSTANT_S),
            in_flight: EventRate::new(IN_FLIGHT_TIME_CONSTANT_S),
        }
    }

    /// Records the arrival of an original request, that is, one that is not a client retry.
    pub fn record_original_request(&mut self, now: Time) {
        self.original_requests.add(now, 1.0);
    }

    /// Records that this proxy had `attempts` in flight all the time since the last call. Attempts at backends that are
    /// out of use, that is, silent or without any readiness, are not included.
    pub fn record_in_flight(&mut self, now: Time, attempts: f64) {
        self.in_flight.add_level(now, attempts);
    }

    /// Returns this proxy's traffic as a multiple of an even share, at least 1; 1 if either is unknown.
    /// `even_share_per_s` is the fleet's intended traffic per proxy, in requests per second; 0 if unknown.
    pub fn traffic_multiple(&self, even_share_per_s: f64) -> f64 {
        self.original_requests
            .per_s()
            .filter(|_| even_share_per_s > 0.0)
            .map_or(1.0, |here_per_s| (here_per_s / even_share_per_s).max(1.0))
    }

    /// Returns the estimated number of attempts in flight of all `proxies` together; `None` until enough time was
    /// observed.
    pub fn fleet_in_flight(&self, proxies: f64, traffic_multiple: f64) -> Option<f64> {
        let own = self.in_flight.per_s().unwrap_or(0.0);
        let own_share = (traffic_multiple / FLEET_BURST_MULTIPLE).max(1.0);
        (self.in_flight.observed_s() > MIN_OBSERVATION_S).then_some(own * proxies / own_share)
    }
}

impl Balancer {
    /// Returns this proxy's traffic multiple, see [`FleetLoadEstimator::traffic_multiple`]. The sum of all tenants'
    /// quotas is taken as the fleet's intended traffic.
    pub(super) fn traffic_multiple(&self) -> f64 {
        let even_share_per_s = self.config.quota_sum_per_s() / f64::from(self.config.proxy_count);
        self.fleet_load_estimator.traffic_multiple(even_share_per_s)
    }
}
