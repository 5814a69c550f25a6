//! Splits the traffic over hardware classes by HALB (heterogeneity-aware load balancing), at regular intervals.
//!
//! HALB is described by Gandhi, Mittal and Zhang, "Optimal Load-Balancing for Heterogeneous Clusters", Stony Brook
//! University.

use super::slow_start::SlowStart;
use super::Balancer;
use crate::interface::{Micros, Time};

/// Interval between two solutions of the split, in seconds. It is much shorter than the arrival rate's time constant.
const SOLVE_INTERVAL_S: f64 = 0.1;
/// Number of requests expected to arrive between two solutions of the split, at least. Fewer would be mere chance.
const MIN_ARRIVALS_PER_SPLIT: f64 = 5.0;
/// Panic threshold: if more than this fraction of the available endpoints are ejected, ejected endpoints are used after
/// all, as the fault is then not theirs.
const PANIC_THRESHOLD: f64 = 0.5;
/// Fraction of the capacity below which the arrival rate counts as 0, as the solution divides by the rate.
const MIN_RATE_FRACTION: f64 = 1e-6;

/// The capacity of a hardware class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardwareClassCapacity {
    /// Number of ready endpoints. It is fractional because an endpoint in slow start counts as a fraction.
    pub ready_endpoints: f64,
    /// Requests per second that one ready endpoint can serve.
    pub service_rate_per_s: f64,
}

impl HardwareClassCapacity {
    /// Returns the requests per second that all its endpoints can serve.
    fn total_per_s(&self) -> f64 {
        self.ready_endpoints * self.service_rate_per_s
    }

    /// Returns its weight in the optimal split: the sum of the square roots of its endpoints' service rates.
    fn root_weight(&self) -> f64 {
        self.ready_endpoints * self.service_rate_per_s.sqrt()
    }
}

/// Returns the HALB traffic share of each hardware class. These shares minimize the mean latency if every endpoint is
/// an M/G/1 queue with processor sharing. All shares are 0 if no endpoint is ready.
///
/// `rate_per_s` is the arrival rate of all proxies, in requests per second. Without a rate, the shares are proportional
/// to the ready endpoints; at a rate close to 0, the fastest classes get all traffic.
///
/// ```
/// use meadowproxy::{halb_shares, HardwareClassCapacity};
///
/// let fast = HardwareClassCapacity { ready_endpoints: 1.0, service_rate_per_s: 4.0 };
/// let slow = HardwareClassCapacity { ready_endpoints: 1.0, service_rate_per_s: 1.0 };
/// assert_eq!(halb_shares(&[fast, slow], Some(1.0)), [1.0, 0.0]);
/// ```
pub fn halb_shares(classes: &[HardwareClassCapacity], rate_per_s: Option<f64>) -> Vec<f64> {
    let Some(rate_per_s) = rate_per_s else {
        return shares_by_ready(classes, |_| true);
    };
    let mut used = classes.to_vec();
    loop {
        let root_weight = sum_over(&used, HardwareClassCapacity::root_weight);
        let total_per_s = sum_over(&used, HardwareClassCapacity::total_per_s);
        if rate_per_s <= total_per_s * MIN_RATE_FRACTION || total_per_s <= 0.0 {
            let highest_rate_per_s = highest_ready_rate_per_s(&used);
            return shares_by_ready(classes, |class| {
                class.service_rate_per_s == highest_rate_per_s
            });
        }
        let flow_per_s = |class: &HardwareClassCapacity| {
            class.total_per_s() - class.root_weight() * (total_per_s - rate_per_s) / root_weight
        };
        let flows: Vec<f64> = used.iter().map(flow_per_s).collect();
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate_per_s).collect();
        }
        // A class whose flow would be negative gets no traffic, and the split is solved again without it.
        for (class, flow) in used.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                class.ready_endpoints = 0.0;
            }
        }
    }
}

/// Returns shares in proportion to the ready endpoints of the `used` classes.
fn shares_by_ready(
    classes: &[HardwareClassCapacity],
    used: impl Fn(&HardwareClassCapacity) -> bool,
) -> Vec<f64> {
    let total: f64 = classes
        .iter()
        .filter(|class| used(class))
        .map(|class| class.ready_endpoints)
        .sum();
    let share = |class: &HardwareClassCapacity| {
        if used(class) && total > 0.0 {
            class.ready_endpoints / total
        } else {
            0.0
        }
    };
    classes.iter().map(share).collect()
}

fn sum_over(
    classes: &[HardwareClassCapacity],
    value: impl Fn(&HardwareClassCapacity) -> f64,
) -> f64 {
    classes.iter().fold(0.0, |sum, class| sum + value(class))
}

/// Returns the highest service rate of the classes with ready endpoints, in requests per second.
fn highest_ready_rate_per_s(classes: &[HardwareClassCapacity]) -> f64 {
    classes
        .iter()
        .filter(|class| class.ready_endpoints > 0.0)
        .map(|class| class.service_rate_per_s)
        .fold(0.0, f64::max)
}

impl Balancer {
    /// Solves the split: updates the readiness of every endpoint, the service rate and share of every hardware class,
    /// and this proxy's subset.
    pub(super) fn solve_traffic_split(&mut self, now: Time) {
        self.backends.refresh(now, &self.config);
        self.update_concurrency_limits(now - self.split.solved_at);
        self.split.solved_at = now;
        self.split.due_at = now + self.solve_interval();
        self.dispatch_queue.unblock();
        self.update_readiness(now);
        self.arrivals.add(now, 0.0);
        let rate_per_s = self
            .arrivals
            .per_s()
            .map(|rate| rate * f64::from(self.config.proxy_count));
        self.update_shares(rate_per_s);
        self.update_subset();
        self.backends.update_weights(now);
    }

    /// Returns the time until the next solution, in which at least [`MIN_ARRIVALS_PER_SPLIT`] requests are expected.
    fn solve_interval(&self) -> Micros {
        let rate_per_s = self
            .arrivals
            .per_s()
            .unwrap_or(MIN_ARRIVALS_PER_SPLIT / SOLVE_INTERVAL_S);
        let for_enough_arrivals_s = MIN_ARRIVALS_PER_SPLIT / rate_per_s.max(1.0);
        Micros::from_secs_f64(SOLVE_INTERVAL_S.max(for_enough_arrivals_s))
    }

    /// Sets the readiness of every endpoint: the product of its zone's readiness, its health and its slow-start ramp.
    fn update_readiness(&mut self, now: Time) {
        let ejected_readiness = f64::from(self.is_in_panic());
        for class in self.hardware_classes.values_mut() {
            class.ready_endpoints = 0.0;
            class.served_per_endpoint.add(now, 0.0);
        }
        let zone_readiness = self.update_zones(now);
        let slow_start = SlowStart::new(&self.config);
        let warm = slow_start.ramp(1.0);
        let mut ready_endpoints = vec![0.0; self.backends.groups.len()];
        for (load, record) in self.backends.loads_and_records() {
            let health = match load.ejected {
                _ if !load.available => 0.0,
                true => ejected_readiness,
                false => load.success_share,
            };
            let slow_start_factor = if now >= load.slow_start_ends_at {
                warm
            } else {
                slow_start.readiness(now, record.slow_start_began_at())
            };
            load.readiness = zone_readiness[load.zone_index as usize] * health * slow_start_factor;
            ready_endpoints[load.group_index as usize] += load.readiness;
        }
        for (group, ready) in self.backends.groups.iter().zip(ready_endpoints) {
            self.hardware_classes
                .entry(group.hardware_class)
                .or_default()
                .ready_endpoints = ready;
        }
    }

    /// Returns whether so many endpoints are ejected that the fault is unlikely to be theirs.
    fn is_in_panic(&self) -> bool {
        let available = || self.backends.loads.iter().filter(|load| load.available);
        let ejected = available().filter(|load| load.ejected).count();
        ejected as f64 > available().count() as f64 * PANIC_THRESHOLD
    }

    /// Sets the service rate and the share of every hardware class. `rate_per_s` is the arrival rate of all proxies, in
    /// requests per second.
    fn update_shares(&mut self, rate_per_s: Option<f64>) {
        for class in self.hardware_classes.values_mut() {
            class.update_service_rate(rate_per_s.unwrap_or(0.0));
        }
        let mean_service_rate_per_s = self.mean_service_rate_per_s();
        for class in self.hardware_classes.values_mut() {
            if class.service_rate_per_s == 0.0 {
                class.service_rate_per_s = mean_service_rate_per_s.unwrap_or(1.0);
            }
        }
        let capacities = self
            .hardware_classes
            .values()
            .map(|class| HardwareClassCapacity {
                ready_endpoints: class.ready_endpoints,
                service_rate_per_s: class.service_rate_per_s,
            });
        let capacities: Vec<HardwareClassCapacity> = capacities.collect();
        let shares = halb_shares(
            &capacities,
            rate_per_s.filter(|_| mean_service_rate_per_s.is_some()),
        );
        for (class, share) in self.hardware_classes.values_mut().zip(shares) {
            class.fleet_traffic_share = share;
        }
    }

    /// Returns the mean service rate of the hardware classes for which it is known. It is assumed for all other
    /// classes.
    fn mean_service_rate_per_s(&self) -> Option<f64> {
        let known = || {
            self.hardware_classes
                .values()
                .map(|class| class.service_rate_per_s)
                .filter(|rate| *rate > 0.0)
        };
        let count = known().count();
        let total_per_s = known().fold(0.0, |sum, rate| sum + rate);
        (count > 0).then(|| total_per_s / count as f64)
    }
}
