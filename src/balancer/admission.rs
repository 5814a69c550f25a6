//! Admission of arriving requests: sets their deadline and their value, which depends on the tenant's quota and on
//! whether the client is retrying.

use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Micros, RequestArrival, RequestClass, Time};

/// Returns the latency objective of a request: the objective of its class, extended for the announced work.
fn latency_objective(class: &RequestClass, arrival: &RequestArrival) -> Micros {
    let work = arrival.work_hint.unwrap_or_default();
    Micros(class.latency_objective.0 + work.mul_f64(class.objective_per_work).0)
}

/// Returns the weight of a request within quota. A client that retries has already waited for its original request, so
/// in most cases only the weight of a late response can still be earned, and new requests go first.
fn retry_weight(class: &RequestClass, client_retry: bool) -> f64 {
    if client_retry {
        class.late_weight
    } else {
        1.0
    }
}

impl Balancer {
    /// Queues an arriving request for dispatch with its value.
    pub(super) fn admit(&mut self, now: Time, arrival: &RequestArrival) {
        let id = arrival.request;
        let known_class = arrival.class.0 < self.config.classes.len();
        if !known_class || self.requests.pending.contains_key(&id) {
            return;
        }
        self.arrivals.add(now, 1.0);
        self.retry_budget.deposit();
        if !arrival.client_retry {
            self.fleet_load_estimator.record_original_request(now);
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

    /// Returns 1 for a request within its tenant's quota, and `over_quota_weight` otherwise. A client's retry takes no
    /// token, as its original request already took one.
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
        if self.quotas.try_take(id, now, rate_per_s) {
            1.0
        } else {
            self.config.over_quota_weight
        }
    }
}
