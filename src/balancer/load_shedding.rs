//! Load shedding: which requests are rejected immediately because all proxies together have too many in flight.
//!
//! It applies if there are more proxies than a backend can hold requests, as a single proxy then cannot tell how many
//! requests a backend has in flight. A backend with one core has load / (1 - load) requests in flight, so twice the
//! minimum concurrency limit is a load of eight ninths, and half of it is two thirds.

use super::concurrency_limit::MIN_CONCURRENCY_LIMIT;
use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, Time};

/// Value below which a request has low priority: it is shed first and may use only half of the backends' capacity. An
/// original request within quota has the value 1.
pub(super) const LOW_PRIORITY_VALUE: f64 = 0.5;
/// Requests in flight on a backend above which every first attempt is shed.
const SHED_ALL_ABOVE: f64 = MIN_CONCURRENCY_LIMIT * 2.0;
/// Requests in flight on a backend above which low-priority first attempts are shed, while every class is well within
/// its latency objective.
const SHED_LOW_PRIORITY_ABOVE: f64 = MIN_CONCURRENCY_LIMIT * 1.5;
/// Requests in flight on a backend above which low-priority first attempts are shed, while any class is not well within
/// its latency objective.
const SHED_LOW_PRIORITY_ABOVE_WHILE_SLOW: f64 = MIN_CONCURRENCY_LIMIT / 2.0;
/// Requests in flight on a backend above which first attempts are shed that are unlikely to be answered in time.
const SHED_INFEASIBLE_ABOVE: f64 = MIN_CONCURRENCY_LIMIT / 2.0;

/// This proxy's estimate of the load of all proxies together.
#[derive(Clone, Copy)]
pub(super) struct FleetLoad {
    /// Number of requests in flight; `None` if no load is to be shed.
    pub in_flight: Option<f64>,
    /// Sum of the backends' readiness.
    pub ready_endpoints: f64,
    /// Whether any class in use is not well within its latency objective.
    pub any_class_slow: bool,
}

impl FleetLoad {
    /// Returns whether more than `limit` requests per ready backend are in flight.
    fn exceeds(&self, limit: f64) -> bool {
        self.in_flight
            .is_some_and(|in_flight| in_flight > limit * self.ready_endpoints)
    }

    /// Returns whether a first attempt of this value is shed because too many requests are in flight. An immediate
    /// rejection does the client no harm, and waiting here would not free any capacity.
    pub fn sheds_value(&self, value: f64) -> bool {
        let low_priority = value < LOW_PRIORITY_VALUE;
        self.exceeds(match (low_priority, self.any_class_slow) {
            (true, true) => SHED_LOW_PRIORITY_ABOVE_WHILE_SLOW,
            (true, false) => SHED_LOW_PRIORITY_ABOVE,
            (false, _) => SHED_ALL_ABOVE,
        })
    }

    /// Returns whether a first attempt is shed because the time left is less than the expected latency, while others
    /// wait for the capacity. This mainly affects client retries, whose attempts would usually be cancelled unfinished.
    pub fn sheds_infeasible(
        &self,
        now: Time,
        request: &PendingRequest,
        expected_latency: Micros,
    ) -> bool {
        now + expected_latency > request.deadline
            && !request.upload_streaming
            && self.exceeds(SHED_INFEASIBLE_ABOVE)
    }
}

impl Balancer {
    pub(super) fn fleet_load(&self) -> FleetLoad {
        let proxies = f64::from(self.config.proxy_count);
        let in_flight = self
            .fleet_load_estimator
            .fleet_in_flight(proxies, self.traffic_multiple());
        FleetLoad {
            in_flight: in_flight.filter(|_| proxies > MIN_CONCURRENCY_LIMIT),
            ready_endpoints: self
                .hardware_classes
                .values()
                .map(|hardware_class| hardware_class.ready_endpoints)
                .sum(),
            any_class_slow: self.classes.any_slow(),
        }
    }
}

#[cfg(test)]
mod tests;
