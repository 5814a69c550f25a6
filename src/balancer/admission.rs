//! Admission: what a request that arrives is worth, by its tenant's quota and by whether the client retries.

use super::estimators::EventRate;
use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, RequestArrival, RequestClass, Time};

/// Memory of the rate of first attempts, from which this proxy's part of all traffic follows: the load balancer in
/// front moves that part slowly.
const FIRST_ATTEMPT_MEMORY_S: f64 = 10.0;
/// Memory of the mean number of attempts in flight: short beside a ramp or a failure.
const IN_FLIGHT_MEMORY_S: f64 = 2.0;
/// Before it was observed for so long, the number in flight says nothing of the other proxies.
const MIN_OBSERVATION_S: f64 = 0.25;
/// The whole fleet may get so many times its usual traffic for a while; more than that is this proxy's own part.
const FLEET_BURST_MULTIPLE: f64 = 1.5;

/// Estimates from which this proxy tells the load of all proxies together: it takes the others to be like itself, but
/// for its part of the traffic.
pub(super) struct AdmissionControl {
    /// First attempts of clients that arrived here. Clients' retries swell in overload, first attempts do not.
    first_attempts: EventRate,
    /// Attempts of this proxy in flight: attempt seconds for each second.
    in_flight: EventRate,
}

impl AdmissionControl {
    pub fn new() -> AdmissionControl {
        AdmissionControl {
            first_attempts: EventRate::new(FIRST_ATTEMPT_MEMORY_S),
            in_flight: EventRate::new(IN_FLIGHT_MEMORY_S),
        }
    }

    /// A client's first attempt arrived.
    pub fn record_first_attempt(&mut self, now: Time) {
        self.first_attempts.add(now, 1.0);
    }

    /// So many attempts of this proxy have been in flight on backends in use since the last call.
    pub fn record_in_flight(&mut self, now: Time, attempts: f64) {
        self.in_flight.add_level(now, attempts);
    }

    /// How many times an even part of all traffic arrives here, at least 1. `even_share_per_s`: the requests a second
    /// that the fleet is meant to carry, by proxy; 0 where nobody says.
    pub fn traffic_multiple(&self, even_share_per_s: f64) -> f64 {
        self.first_attempts
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

/// The latency objective of a request: that of its class, and more for the work that was announced.
fn latency_objective(class: &RequestClass, arrival: &RequestArrival) -> Micros {
    let work = arrival.work_hint.unwrap_or_default();
    Micros(class.latency_objective.0 + work.mul_f64(class.objective_per_work).0)
}

/// What is left to earn with a request within quota. A client that retries has waited for its first attempt: mostly
/// the weight of a late response is left, and new requests go first.
fn retry_weight(class: &RequestClass, client_retry: bool) -> f64 {
    if client_retry {
        class.late_weight
    } else {
        1.0
    }
}

impl Balancer {
    /// A request arrived: it waits for dispatch with the value that it has.
    pub(super) fn admit(&mut self, now: Time, arrival: &RequestArrival) {
        let id = arrival.request;
        let known_class = arrival.class.0 < self.config.classes.len();
        if !known_class || self.requests.pending.contains_key(&id) {
            return;
        }
        self.arrivals.add(now, 1.0);
        self.retry_budget.deposit();
        if !arrival.client_retry {
            self.admission.record_first_attempt(now);
        }
        let quota_weight = self.quota_weight(now, arrival);
        let class = &self.config.classes[arrival.class.0];
        if !arrival.client_retry {
            self.classes[arrival.class.0].offered_weight += class.priority_weight * quota_weight;
        }
        let objective = latency_objective(class, arrival).min(arrival.time_left);
        let request = PendingRequest {
            class: arrival.class.0,
            arrived_at: now,
            objective_until: now + objective,
            deadline: now + arrival.time_left,
            value: retry_weight(class, arrival.client_retry) * quota_weight,
            response_streaming: false,
            upload_streaming: false,
            max_attempts: self.config.max_attempts as usize,
            attempts: Vec::new(),
        };
        self.requests.pending.insert(id, request);
        self.dispatch_queue.push(id);
    }

    /// 1 within the tenant's quota, and the weight that the settings give beyond it. A client's retry took its token
    /// with the first attempt.
    fn quota_weight(&mut self, now: Time, arrival: &RequestArrival) -> f64 {
        let traffic_multiple = self.traffic_multiple();
        let tenant = arrival
            .tenant
            .and_then(|id| Some((id, self.config.tenants.get(id.0)?)));
        let Some((id, tenant)) = tenant.filter(|_| !arrival.client_retry) else {
            return 1.0;
        };
        let proxies = f64::from(self.config.proxy_count);
        let rate_per_s = tenant.quota_per_s / proxies * traffic_multiple;
        if self.quotas.take(id, now, rate_per_s) {
            1.0
        } else {
            self.config.over_quota_weight
        }
    }

    /// See [`AdmissionControl::traffic_multiple`]. The sum of the quotas is what the fleet is meant to carry.
    pub(super) fn traffic_multiple(&self) -> f64 {
        let even_share_per_s = self.config.quota_sum_per_s() / f64::from(self.config.proxy_count);
        self.admission.traffic_multiple(even_share_per_s)
    }
}
