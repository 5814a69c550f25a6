//! The adaptive concurrency limit of a hardware class: the maximum number of requests that all proxies together keep in
//! flight at one of its endpoints. The number of cores is not configured, so the limit is inferred from latency under
//! load.

use super::Balancer;
use crate::interface::Micros;

/// Lowest limit, in requests: a single core at four fifths of its capacity has four in flight on average.
pub(super) const MIN_CONCURRENCY_LIMIT: f64 = 4.0;
/// Number of samples in the mean latency that the limit follows.
pub(super) const RECENT_LATENCY_SAMPLES: f64 = 30.0;
/// The limit grows while latency is below this multiple of the uncontended latency. As long as a core is idle, another
/// request delays no other; after that, each request adds waiting time.
const CONTENDED_LATENCY_MULTIPLE: f64 = 1.4;
/// Largest deviation from that multiple, in either direction, that one update takes into account.
const MAX_LATENCY_DEVIATION: f64 = 0.25;
/// Initial rate of change of the limit, per second. After n seconds of adaptation it changes 1 + n times slower, as the
/// number of cores of a machine stays the same while its speed may change.
const ADAPTATION_PER_S: f64 = 5.0;
/// Growth rate of the uncontended latency while no sample confirms it, per second.
const UNCONTENDED_GROWTH_PER_S: f64 = 0.005;
/// Fraction of the capacity that has to be in flight for the latency to be used to adapt the limit.
const MIN_UTILIZATION: f64 = 0.8;
/// Longest time that one update accounts for, in seconds.
const MAX_ELAPSED_S: f64 = 1.0;

/// The utilization of the ready endpoints of a hardware class by this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Utilization {
    /// Number of this proxy's attempts in flight.
    pub in_flight: f64,
    /// Maximum number of attempts that this proxy may keep in flight.
    pub capacity: f64,
}

/// The concurrency limit and the estimates that it is derived from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// Maximum number of requests in flight at one endpoint; 0 before the first update.
    limit: f64,
    /// Latency without contention, in seconds: the lowest recent one; 0 while unknown.
    uncontended_latency_s: f64,
    /// Time for which the limit has been adapted, in seconds.
    adapted_s: f64,
}

impl ConcurrencyLimit {
    /// Restores a learned limit. The values come from a snapshot and are ignored if either is not positive and finite.
    pub fn restore(&mut self, limit: f64, uncontended_latency_s: f64) {
        let is_positive = |number: f64| number > 0.0 && number.is_finite();
        if is_positive(uncontended_latency_s) && is_positive(limit) {
            self.uncontended_latency_s = uncontended_latency_s;
            self.limit = limit;
        }
    }

    /// Returns the maximum number of requests that all proxies together keep in flight at one endpoint; 0 before the
    /// first update.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Returns the latency without contention, in seconds; 0 while unknown.
    pub fn uncontended_latency_s(&self) -> f64 {
        self.uncontended_latency_s
    }

    /// Adapts the limit after `elapsed_s` seconds: upwards if full endpoints respond as fast as idle ones, downwards if
    /// they take longer. `recent_latency_s` is `None` while there are too few samples.
    pub fn update(
        &mut self,
        elapsed_s: f64,
        recent_latency_s: Option<f64>,
        utilization: Utilization,
    ) {
        self.limit = self.limit.max(MIN_CONCURRENCY_LIMIT);
        let Some(latency_s) = recent_latency_s else {
            return;
        };
        self.uncontended_latency_s = if self.uncontended_latency_s > 0.0 {
            latency_s.min(self.uncontended_latency_s * (1.0 + UNCONTENDED_GROWTH_PER_S * elapsed_s))
        } else {
            latency_s
        };
        if utilization.in_flight < utilization.capacity * MIN_UTILIZATION {
            return;
        }
        let is_contended = latency_s > self.uncontended_latency_s * CONTENDED_LATENCY_MULTIPLE;
        if self.limit <= MIN_CONCURRENCY_LIMIT && is_contended {
            // At the lowest limit requests do not delay each other, so this is the uncontended latency now.
            self.uncontended_latency_s = latency_s;
        }
        self.adapted_s += elapsed_s;
        let deviation = (CONTENDED_LATENCY_MULTIPLE - latency_s / self.uncontended_latency_s)
            .clamp(-MAX_LATENCY_DEVIATION, MAX_LATENCY_DEVIATION);
        let growth = (deviation * elapsed_s * ADAPTATION_PER_S / (1.0 + self.adapted_s)).exp();
        self.limit = (self.limit * growth).max(MIN_CONCURRENCY_LIMIT);
    }
}

impl Balancer {
    /// Adapts the concurrency limits of all hardware classes.
    pub(super) fn update_concurrency_limits(&mut self, elapsed: Micros) {
        let elapsed_s = elapsed.as_secs_f64().min(MAX_ELAPSED_S);
        let mut utilization = vec![Utilization::default(); self.backends.groups.len()];
        for load in self.backends.loads.iter().filter(|l| l.readiness > 0.0) {
            let group = &mut utilization[load.group_index as usize];
            group.in_flight += f64::from(load.in_flight);
            group.capacity += load.capacity;
        }
        for (id, class) in &mut self.hardware_classes {
            let group = self.backends.group_index(*id);
            let group = group.map_or(Utilization::default(), |at| utilization[at]);
            let latency_s = class.recent_latency_s();
            class.concurrency_limit.update(elapsed_s, latency_s, group);
        }
    }
}

#[cfg(test)]
mod tests;
