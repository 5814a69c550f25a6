//! The adaptive concurrency limit of a hardware class: how many requests all proxies together keep in flight at one of
//! its endpoints. Nobody says how many cores an endpoint has; latency under load does.

use super::Balancer;
use crate::interface::Micros;

/// The least limit, in requests: a single core at four fifths of its capacity holds four on average.
pub(super) const MIN_CONCURRENCY_LIMIT: f64 = 4.0;
/// Samples in the mean latency that the limit follows.
pub(super) const RECENT_LATENCY_SAMPLES: f64 = 30.0;
/// The limit grows while latency is below this multiple of the uncontended one: while cores are idle one more request
/// delays none, from then on each adds its wait.
const CONTENDED_LATENCY_MULTIPLE: f64 = 1.4;
/// The furthest from that multiple that one update counts, either way.
const MAX_LATENCY_DEVIATION: f64 = 0.25;
/// How fast a limit moves at first, a second; after n seconds of adaptation it moves 1 + n times slower, as the cores
/// of a machine do not come and go while its speed may.
const ADAPTATION_PER_S: f64 = 5.0;
/// How fast the uncontended latency grows while nothing confirms it, a second.
const UNCONTENDED_GROWTH_PER_S: f64 = 0.005;
/// Latency says something of the limit from this part of the capacity in flight on.
const MIN_UTILIZATION: f64 = 0.8;
/// The longest time that one update accounts for, s.
const MAX_ELAPSED_S: f64 = 1.0;

/// How much the ready endpoints of a hardware class had to do for this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Utilization {
    /// Attempts of this proxy in flight.
    pub in_flight: f64,
    /// Attempts that this proxy may keep in flight.
    pub capacity: f64,
}

/// The limit and what it is learned from.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// Requests in flight at one endpoint; 0 before the first update.
    limit: f64,
    /// Latency without contention, s: the least of late; 0 while unknown.
    uncontended_latency_s: f64,
    /// For how long the limit has been adapted, s.
    adapted_s: f64,
}

impl ConcurrencyLimit {
    /// Takes over learned numbers, which come from outside: none where they make no sense.
    pub fn restore(&mut self, limit: f64, uncontended_latency_s: f64) {
        let is_positive = |number: f64| number > 0.0 && number.is_finite();
        if is_positive(uncontended_latency_s) && is_positive(limit) {
            self.uncontended_latency_s = uncontended_latency_s;
            self.limit = limit;
        }
    }

    /// Requests that all proxies together keep in flight at one endpoint; 0 before the first update.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Latency without contention, s; 0 while unknown.
    pub fn uncontended_latency_s(&self) -> f64 {
        self.uncontended_latency_s
    }

    /// Adapts the limit after `elapsed_s` seconds: up where full endpoints answer as fast as idle ones, down where
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
            // So few requests do not delay each other: this is what one takes now.
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
