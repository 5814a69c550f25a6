//! Load shedding: which requests are rejected at once because all proxies together have too much in flight.
//!
//! It applies where there are more proxies than a backend can hold requests, so that no proxy alone can count what a
//! backend has in flight. With load / (1 - load) requests in flight on a backend of one core, twice its minimum
//! concurrency limit is a load of eight ninths, half of it two thirds.

use super::concurrency_limit::MIN_CONCURRENCY_LIMIT;
use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, Time};

/// A request of less value than this has low priority: it is shed first, and finds half of the backends' capacity. An
/// original request within quota has the value 1.
pub(super) const LOW_PRIORITY_VALUE: f64 = 0.5;
/// Requests in flight on a backend above which every first attempt is shed.
const SHED_ALL_ABOVE: f64 = MIN_CONCURRENCY_LIMIT * 2.0;
/// Requests in flight on a backend above which those of low priority are shed, while every class is well within its
/// latency objective.
const SHED_LOW_PRIORITY_ABOVE: f64 = MIN_CONCURRENCY_LIMIT * 1.5;
/// Requests in flight on a backend above which those of low priority are shed, while some class is not well within its
/// latency objective.
const SHED_LOW_PRIORITY_ABOVE_WHILE_SLOW: f64 = MIN_CONCURRENCY_LIMIT / 2.0;
/// Requests in flight on a backend above which those are shed that will hardly be answered in time.
const SHED_INFEASIBLE_ABOVE: f64 = MIN_CONCURRENCY_LIMIT / 2.0;

/// The load of all proxies together, as this one estimates it.
#[derive(Clone, Copy)]
pub(super) struct FleetLoad {
    /// Requests in flight; `None` where nothing is shed by this estimate.
    pub in_flight: Option<f64>,
    /// Sum of the backends' readiness.
    pub ready_endpoints: f64,
    /// Some class in use is not well within its latency objective.
    pub any_class_slow: bool,
}

impl FleetLoad {
    /// Whether more than so many requests are in flight on each ready backend.
    fn exceeds(&self, limit: f64) -> bool {
        self.in_flight
            .is_some_and(|in_flight| in_flight > limit * self.ready_endpoints)
    }

    /// Whether a first attempt of this value is shed as too much is in flight. To be rejected at once does the client
    /// no harm, and waiting here would not free capacity.
    pub fn sheds_value(&self, value: f64) -> bool {
        let low_priority = value < LOW_PRIORITY_VALUE;
        self.exceeds(match (low_priority, self.any_class_slow) {
            (true, true) => SHED_LOW_PRIORITY_ABOVE_WHILE_SLOW,
            (true, false) => SHED_LOW_PRIORITY_ABOVE,
            (false, _) => SHED_ALL_ABOVE,
        })
    }

    /// Whether a first attempt is shed because less time is left than a response usually takes, while others wait for
    /// the capacity. That happens to clients that retry: the attempt would mostly be cancelled unfinished.
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
