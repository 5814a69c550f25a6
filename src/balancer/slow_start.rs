//! Slow start: the readiness of an endpoint that was recently started, and the budget of work that it may be sent
//! without being overloaded.

use super::hardware_class::HardwareClass;
use super::Balancer;
use crate::interface::{Config, HardwareClassId, Micros, Time};
use std::collections::BTreeMap;

/// Fraction of its slow-start budget that a proxy uses. The rest is a margin for skew between proxies and for heavy
/// requests.
const USED_BUDGET_FRACTION: f64 = 0.8;
/// Lower bound of a duration that is used as a divisor, in seconds.
const MIN_DURATION_S: f64 = 1e-6;

/// The readiness ramp of an endpoint, or of a whole zone, that comes into use.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStart {
    pub duration: Micros,
    /// Readiness at the start, from 0 to 1.
    pub min_readiness: f64,
}

impl SlowStart {
    pub fn new(config: &Config) -> SlowStart {
        SlowStart {
            duration: config.slow_start_duration,
            min_readiness: config.slow_start_min_readiness,
        }
    }

    /// Returns the fraction of its capacity that an endpoint is sure to have, given when its slow start began; `None`
    /// means long ago.
    pub fn readiness(&self, now: Time, began_at: Option<Time>) -> f64 {
        let elapsed_fraction = began_at.map_or(f64::MAX, |began_at| {
            (now - began_at).as_secs_f64() / self.duration.as_secs_f64().max(MIN_DURATION_S)
        });
        self.ramp(elapsed_fraction)
    }

    /// Returns the readiness after `elapsed_fraction` of the ramp. It grows linearly to 1 at the end of the ramp.
    pub fn ramp(&self, elapsed_fraction: f64) -> f64 {
        self.min_readiness + (1.0 - self.min_readiness) * elapsed_fraction.min(1.0)
    }
}

/// The inputs of the work budget of an endpoint in slow start, for one proxy and one overload window.
#[derive(Clone, Copy, Debug)]
struct SlowStartBudget {
    /// Multiple of its current capacity at which an endpoint in slow start fails.
    overload_multiple: f64,
    overload_window: Micros,
    /// Readiness when the window began, from 0 to 1.
    readiness: f64,
    /// Requests of mean work per second that the endpoint is sure to serve after its slow start.
    proven_capacity_per_s: f64,
    /// Uptime of this process, in overload windows. The budget grows with it over the first window, as the work that a
    /// previous process sent leaves the window at an even rate.
    uptime_windows: f64,
    /// This proxy's share (0 to 1) of the traffic that all proxies send the endpoint.
    own_share: f64,
    /// Number of processes that share the budget of this proxy during a hot restart.
    processes: u32,
}

impl SlowStartBudget {
    /// Returns the work that may be sent within the window, in requests of mean work.
    fn work(&self) -> f64 {
        let fleet_work = self.overload_multiple
            * self.readiness
            * self.proven_capacity_per_s
            * self.overload_window.as_secs_f64();
        // One request by all proxies together is always allowed. Otherwise a process that starts while all endpoints
        // are in slow start would reject its first requests.
        let fleet_work =
            (fleet_work * USED_BUDGET_FRACTION * self.uptime_windows.min(1.0)).max(1.0);
        fleet_work * self.own_share / f64::from(self.processes)
    }
}

impl Balancer {
    /// Returns the work that this proxy may still send to an endpoint within the current overload window, in requests
    /// of mean work; unlimited for an endpoint past its slow start. `proven_capacity` caches
    /// [`Balancer::proven_capacity_per_s`].
    pub(super) fn remaining_slow_start_budget(
        &self,
        now: Time,
        index: usize,
        proven_capacity: &mut BTreeMap<HardwareClassId, f64>,
    ) -> f64 {
        let record = self.backends.record_at(index);
        let overload_window = self.config.overload_window;
        let window_began_at = now - overload_window;
        let readiness =
            SlowStart::new(&self.config).readiness(window_began_at, record.slow_start_began_at());
        if readiness >= 1.0 {
            return f64::MAX;
        }
        let hardware_class = record.entry.hardware_class;
        let proven_capacity_per_s = *proven_capacity
            .entry(hardware_class)
            .or_insert_with(|| self.proven_capacity_per_s(hardware_class));
        let budget = SlowStartBudget {
            overload_multiple: self.config.overload_multiple,
            overload_window,
            readiness,
            proven_capacity_per_s,
            uptime_windows: self.uptime_windows(now),
            own_share: self.backends.loads[index].own_share,
            processes: self.processes.sharing_budgets(now),
        };
        budget.work() - record.work_within(now, overload_window)
    }

    /// Returns the uptime of this process in overload windows.
    fn uptime_windows(&self, now: Time) -> f64 {
        let window_s = self
            .config
            .overload_window
            .as_secs_f64()
            .max(MIN_DURATION_S);
        self.first_event_at.map_or(0.0, |started_at| {
            (now - started_at).as_secs_f64() / window_s
        })
    }

    /// Returns the requests of mean work per second that an endpoint of the hardware class is sure to serve after its
    /// slow start. Without any response, the class is assumed to be as slow as the slowest of the others or, if there
    /// is none, to have one core with the lowest expected latency of any request class; in both cases not to serve more
    /// than an even share of the traffic.
    fn proven_capacity_per_s(&self, hardware_class: HardwareClassId) -> f64 {
        let proxies = f64::from(self.config.proxy_count);
        let proven = |class: &HardwareClass| class.proven_capacity_per_s(proxies);
        if let Some(capacity_per_s) = self.hardware_classes.get(&hardware_class).and_then(proven) {
            return capacity_per_s;
        }
        let slowest = self
            .hardware_classes
            .values()
            .filter_map(proven)
            .reduce(f64::min);
        let shortest_latency = self
            .classes_in_use()
            .map(|(class, _)| self.expected_latency(class))
            .min()
            .unwrap_or_default();
        let even_share_per_s =
            self.arrivals.per_s().unwrap_or(1.0) * proxies / self.backends.len() as f64;
        even_share_per_s.min(slowest.unwrap_or(1.0 / shortest_latency.as_secs_f64()))
    }
}

#[cfg(test)]
mod tests;
