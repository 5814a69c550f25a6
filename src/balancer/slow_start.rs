//! Slow start: the readiness of an endpoint that warms up, and the budget of work that it may be sent so that it is
//! not overloaded while it is cold.

use super::hardware_class::HardwareClass;
use super::Balancer;
use crate::interface::{Config, HardwareClassId, Micros, Time};
use std::collections::BTreeMap;

/// The part of its warm-up budget that a proxy uses: the rest is for skew between proxies and for heavy requests.
const BUDGET_MARGIN: f64 = 0.8;
/// A span counts as at least this long where something is divided by it, s.
const MIN_SPAN_S: f64 = 1e-6;

/// The ramp of an endpoint, or of a whole zone, that starts cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStart {
    pub duration: Micros,
    /// Readiness at the start, from 0 to 1.
    pub min_readiness: f64,
}

impl SlowStart {
    pub fn new(config: &Config) -> SlowStart {
        SlowStart {
            duration: config.slow_start,
            min_readiness: config.slow_start_min_readiness,
        }
    }

    /// The part of its capacity that an endpoint has at least, given when its slow start began; `None` means long ago.
    pub fn readiness(&self, now: Time, began_at: Option<Time>) -> f64 {
        let elapsed_fraction = began_at.map_or(f64::MAX, |began_at| {
            (now - began_at).as_secs_f64() / self.duration.as_secs_f64().max(MIN_SPAN_S)
        });
        self.ramp(elapsed_fraction)
    }

    /// Readiness after `elapsed_fraction` of a ramp: it grows evenly, up to 1 at its end and after.
    pub fn ramp(&self, elapsed_fraction: f64) -> f64 {
        self.min_readiness + (1.0 - self.min_readiness) * elapsed_fraction.min(1.0)
    }
}

/// What a proxy may send to an endpoint in slow start within one overload window.
#[derive(Clone, Copy, Debug)]
struct SlowStartBudget {
    /// The multiple of its present capacity at which an endpoint in slow start fails.
    overload_multiple: f64,
    overload_window: Micros,
    /// Readiness when the window began, from 0 to 1.
    readiness: f64,
    /// Requests of mean work a second that the endpoint serves for certain once warm.
    proven_capacity_per_s: f64,
    /// For how long this process has run, in overload windows: what a process before it sent falls out of the window
    /// evenly.
    uptime_windows: f64,
    /// This proxy's part of what all proxies send the endpoint.
    own_share: f64,
    /// Processes that share the budget of this proxy during a hot restart.
    processes: u32,
}

impl SlowStartBudget {
    /// The work that may be sent within the window, in requests of mean work.
    fn work(&self) -> f64 {
        let fleet_work = self.overload_multiple
            * self.readiness
            * self.proven_capacity_per_s
            * self.overload_window.as_secs_f64();
        // One request of all proxies together is always allowed: else a process that starts among endpoints that are
        // all in slow start would reject its first requests.
        let fleet_work = (fleet_work * BUDGET_MARGIN * self.uptime_windows.min(1.0)).max(1.0);
        fleet_work * self.own_share / f64::from(self.processes)
    }
}

impl Balancer {
    /// Work that this proxy may still send to an endpoint within the present overload window; unlimited for a warm
    /// one. `proven_capacity` caches [`Balancer::proven_capacity_per_s`].
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

    /// For how long this process has run, in overload windows.
    fn uptime_windows(&self, now: Time) -> f64 {
        let window_s = self.config.overload_window.as_secs_f64().max(MIN_SPAN_S);
        self.first_event_at.map_or(0.0, |started_at| {
            (now - started_at).as_secs_f64() / window_s
        })
    }

    /// Requests of mean work a second that a warm endpoint of the kind serves for certain. A kind without a response
    /// is taken for as slow as the slowest of the others, or else for one core at the shortest latency expected of a
    /// class.
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
