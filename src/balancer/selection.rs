//! Selection of a backend for an attempt: a random hardware class by its share of the traffic, then a random backend of
//! that class by its weight.

use super::load_shedding::LOW_PRIORITY_VALUE;
use super::random::Weighted;
use super::requests::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::{Backend, BackendId, HardwareClassId, Idempotency, KeyScope, Time};
use std::collections::BTreeMap;

/// Returns whether the second backend discards a repeat of a keyed request that the first one may have processed.
fn shares_keys(scope: KeyScope, first: &Backend, second: &Backend) -> bool {
    match scope {
        KeyScope::All => true,
        KeyScope::Zone => first.zone == second.zone,
        KeyScope::Cell => first.cell == second.cell,
    }
}

/// Proven capacity of a backend of each hardware class, in requests per second, cached for one selection.
type ProvenCapacities = BTreeMap<HardwareClassId, f64>;

/// The weight of an endpoint for one selection only.
struct WeightOverride {
    endpoint_index: usize,
    weight: f64,
}

/// Returns the override that excludes an endpoint from one selection.
fn exclude(endpoint_index: usize) -> WeightOverride {
    WeightOverride {
        endpoint_index,
        weight: 0.0,
    }
}

impl Balancer {
    /// Selects a backend with capacity for the request's next attempt, if there is one.
    pub(super) fn select_backend(
        &mut self,
        now: Time,
        request: &PendingRequest,
    ) -> Option<BackendId> {
        self.backends.refresh(now, &self.config);
        let mut proven_capacities = ProvenCapacities::new();
        if self.may_serve_as_health_check(request) {
            let candidate = self.health_check_candidate(now, request, &mut proven_capacities);
            if candidate.is_some() {
                return candidate;
            }
        }
        for change in self.weight_overrides(now, request, &mut proven_capacities) {
            self.backends
                .override_weight(change.endpoint_index, change.weight);
        }
        let group = self.select_group()?;
        self.backends.select_endpoint(group, &mut self.random)
    }

    /// Selects a hardware class with a selectable backend, and returns the index of its group.
    fn select_group(&mut self) -> Option<usize> {
        let groups = self.backends.selectable_hardware_classes();
        let weighted = groups.filter_map(|(index, hardware_class)| {
            Some(Weighted {
                item: index,
                weight: self
                    .hardware_classes
                    .get(&hardware_class)?
                    .own_traffic_share,
            })
        });
        let weighted: Vec<Weighted<usize>> = weighted.collect();
        self.random.choose(&weighted)
    }

    /// Returns whether the request may be sent to an ejected backend as a health check: the first attempt of an
    /// idempotent request, or of any request if no class is idempotent.
    fn may_serve_as_health_check(&self, request: &PendingRequest) -> bool {
        let idempotency = self.config.classes[request.class].idempotency;
        let repeatable = idempotency == Idempotency::Idempotent || !self.classes.any_idempotent();
        request.attempts.is_empty() && repeatable
    }

    /// Returns an ejected backend whose ejection's duration has passed and that has nothing in flight, as it is
    /// health-checked with one request at a time.
    fn health_check_candidate(
        &self,
        now: Time,
        request: &PendingRequest,
        proven_capacities: &mut ProvenCapacities,
    ) -> Option<BackendId> {
        let work = self.classes.relative_work(request.class);
        let mut is_candidate = |index: usize| {
            let record = self.backends.record_at(index);
            let load = &self.backends.loads[index];
            let ejection_over = record
                .faults()
                .ejected_until
                .is_some_and(|until| now >= until);
            let idle = load.readiness == 0.0 && record.in_flight == 0;
            let usable =
                load.available && !record.silent && now >= record.faults().overloaded_until;
            ejection_over
                && idle
                && usable
                && self.fits_slow_start(now, index, work, proven_capacities)
        };
        let mut ejected = self.backends.ejected.iter().map(|index| *index as usize);
        let index = ejected.find(|index| is_candidate(*index))?;
        Some(self.backends.id(index))
    }

    /// Returns the weights for this selection that differ from the stored ones. A full backend is excluded rather than
    /// overfilled, as a backend with too many requests in flight stays slow for a long time.
    fn weight_overrides(
        &self,
        now: Time,
        request: &PendingRequest,
        proven_capacities: &mut ProvenCapacities,
    ) -> Vec<WeightOverride> {
        let work = self.classes.relative_work(request.class);
        let low_priority = request.value < LOW_PRIORITY_VALUE;
        let mut overrides = Vec::new();
        for index in self.backends.restricted.iter().map(|index| *index as usize) {
            let selectable = now >= self.backends.record_at(index).faults().overloaded_until
                && self.backends.has_capacity(index, low_priority)
                && self.fits_slow_start(now, index, work, proven_capacities);
            let weight = if selectable {
                self.backends.weight(index)
            } else {
                0.0
            };
            overrides.push(WeightOverride {
                endpoint_index: index,
                weight,
            });
        }
        if low_priority {
            let loaded = self.backends.with_in_flight.iter();
            let half_full = loaded
                .map(|index| *index as usize)
                .filter(|index| !self.backends.has_capacity(*index, true));
            overrides.extend(half_full.map(exclude));
        }
        for attempt in &request.attempts {
            overrides.extend(self.backends.position(attempt.backend.id).map(exclude));
            self.exclude_foreign_key_scopes(request, attempt, &mut overrides);
        }
        overrides
    }

    /// Excludes the backends that would not recognize a repeat of a keyed attempt and would process it a second time.
    fn exclude_foreign_key_scopes(
        &self,
        request: &PendingRequest,
        attempt: &Attempt,
        overrides: &mut Vec<WeightOverride>,
    ) {
        let idempotency = self.config.classes[request.class].idempotency;
        let Idempotency::Keyed { scope, .. } = idempotency else {
            return;
        };
        if attempt.unprocessed || scope == KeyScope::All {
            return;
        }
        for (index, (_, record)) in self.backends.records().enumerate() {
            if !shares_keys(scope, &attempt.backend, &record.entry) {
                overrides.push(exclude(index));
            }
        }
    }

    /// Returns whether the backend may be sent a request of the given work (relative to the mean): it is past its slow
    /// start, or the request fits into its remaining slow-start budget.
    fn fits_slow_start(
        &self,
        now: Time,
        index: usize,
        work: f64,
        proven_capacities: &mut ProvenCapacities,
    ) -> bool {
        let offset = self.backends.loads[index].rounding_offset;
        let exceeded =
            self.remaining_slow_start_budget(now, index, proven_capacities) < work * (1.0 - offset);
        !exceeded
    }
}
