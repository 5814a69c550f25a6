//! Statistics by request class: latency, and the priority weight that was offered and earned.

use super::estimators::RunningMean;
use super::requests::PendingRequest;
use super::Balancer;
use crate::interface::{Idempotency, Micros, RequestClass, Time};
use imbl::Vector;
use std::ops::{Index, IndexMut};

/// Maximum number of samples in a mean latency.
pub(super) const LATENCY_SAMPLES: f64 = 100.0;
/// A class is well within its latency objective if its expected latency is at most the objective divided by this.
const WELL_WITHIN_OBJECTIVE_DIVISOR: f64 = 2.0;
/// Expected latency of a class without any response, as a fraction of its latency objective.
const UNKNOWN_LATENCY_FRACTION: f64 = 0.25;

/// Statistics of a request class.
#[derive(Default)]
pub(super) struct ClassStats {
    /// Whether the class is in use; false once the configuration retired it.
    pub in_use: bool,
    /// Seconds from dispatch to response, of served requests only.
    pub latency: RunningMean,
    /// Sum of the priority weights of all original requests that arrived, without client retries.
    pub offered_weight: f64,
    /// Sum of the priority weights that served requests earned.
    pub earned_weight: f64,
}

impl ClassStats {
    fn in_use() -> ClassStats {
        ClassStats {
            in_use: true,
            ..ClassStats::default()
        }
    }

    /// Returns the fraction (0 to 1) of the offered weight that was earned; 1 if none was offered.
    pub fn served_share(&self) -> f64 {
        if self.offered_weight > 0.0 {
            self.earned_weight / self.offered_weight
        } else {
            1.0
        }
    }

    /// Records a served request, which earns its full weight within the latency objective and the late weight after it.
    pub fn record_served(&mut self, now: Time, request: &PendingRequest, class: &RequestClass) {
        let earned_fraction = if now <= request.objective_until {
            1.0
        } else {
            class.late_weight
        };
        self.earned_weight += class.priority_weight * request.value * earned_fraction;
    }

    /// Returns the time that a served request of the class is expected to take.
    pub fn expected_latency(&self, class: &RequestClass) -> Micros {
        let unknown = || class.latency_objective.mul_f64(UNKNOWN_LATENCY_FRACTION);
        self.latency
            .get()
            .map_or_else(unknown, Micros::from_secs_f64)
    }

    /// Returns whether the expected latency is well within the latency objective.
    fn is_well_within_objective(&self, class: &RequestClass) -> bool {
        self.expected_latency(class)
            .mul_f64(WELL_WITHIN_OBJECTIVE_DIVISOR)
            <= class.latency_objective
    }
}

/// Counts of classes in use. They save iterating over all classes for each request.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq)]
struct ClassCounts {
    idempotent: usize,
    /// Classes with at least one response whose expected latency is not well within the objective.
    slow: usize,
}

impl ClassCounts {
    fn subtract(&mut self, other: ClassCounts) {
        self.idempotent -= other.idempotent;
        self.slow -= other.slow;
    }

    fn add(&mut self, other: ClassCounts) {
        self.idempotent += other.idempotent;
        self.slow += other.slow;
    }
}

/// The statistics of all classes, indexed by class number.
pub(super) struct ClassTable {
    stats: Vec<ClassStats>,
    /// Mean latency over all classes, in seconds.
    pub overall_latency: RunningMean,
    counts: ClassCounts,
}

impl Index<usize> for ClassTable {
    type Output = ClassStats;

    fn index(&self, class: usize) -> &ClassStats {
        &self.stats[class]
    }
}

impl IndexMut<usize> for ClassTable {
    fn index_mut(&mut self, class: usize) -> &mut ClassStats {
        &mut self.stats[class]
    }
}

impl ClassTable {
    /// Creates the table with all classes in use and without samples.
    pub fn new(classes: &Vector<RequestClass>) -> ClassTable {
        let mut table = ClassTable {
            stats: classes.iter().map(|_| ClassStats::in_use()).collect(),
            overall_latency: RunningMean::default(),
            counts: ClassCounts::default(),
        };
        table.recount(classes);
        table
    }

    pub fn len(&self) -> usize {
        self.stats.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &ClassStats> {
        self.stats.iter()
    }

    pub fn get_mut(&mut self, class: usize) -> Option<&mut ClassStats> {
        self.stats.get_mut(class)
    }

    /// Returns whether any class in use is idempotent.
    pub fn any_idempotent(&self) -> bool {
        self.counts.idempotent > 0
    }

    /// Returns whether any class in use is not well within its latency objective.
    pub fn any_slow(&self) -> bool {
        self.counts.slow > 0
    }

    /// Records that a request of the class was served after `latency_s` seconds.
    pub fn record_latency(&mut self, class: usize, rules: &RequestClass, latency_s: f64) {
        let stats = &mut self.stats[class];
        let was_slow = !stats.is_well_within_objective(rules);
        stats.latency.add(latency_s, LATENCY_SAMPLES);
        self.overall_latency.add(latency_s, LATENCY_SAMPLES);
        if stats.in_use {
            let is_slow = !stats.is_well_within_objective(rules);
            self.counts.slow = self.counts.slow + usize::from(is_slow) - usize::from(was_slow);
        }
    }

    /// Returns the work of a request of the class relative to the mean over all requests, estimated from latencies.
    pub fn relative_work(&self, class: usize) -> f64 {
        self.stats[class]
            .latency
            .get()
            .map_or(1.0, |latency_s| latency_s / self.overall_latency.value)
    }

    /// Applies a change to the classes with the `affected` numbers and updates the counts. `classes` are the rules
    /// before the change, `changed` those after it.
    pub fn change(
        &mut self,
        affected: &[usize],
        classes: &Vector<RequestClass>,
        changed: &Vector<RequestClass>,
        apply: impl FnOnce(&mut Vec<ClassStats>),
    ) {
        let before = self.count(affected.iter().copied(), classes);
        self.counts.subtract(before);
        self.stats.resize_with(changed.len(), ClassStats::in_use);
        apply(&mut self.stats);
        let after = self.count(affected.iter().copied(), changed);
        self.counts.add(after);
    }

    /// Recomputes the counts from all classes.
    pub fn recount(&mut self, classes: &Vector<RequestClass>) {
        self.counts = self.count(0..self.stats.len(), classes);
    }

    /// Returns whether the counts agree with the classes.
    pub fn is_consistent(&self, classes: &Vector<RequestClass>) -> bool {
        self.counts == self.count(0..self.stats.len(), classes)
    }

    fn count(
        &self,
        numbers: impl Iterator<Item = usize>,
        classes: &Vector<RequestClass>,
    ) -> ClassCounts {
        let mut counts = ClassCounts::default();
        for number in numbers {
            let Some(stats) = self.stats.get(number).filter(|stats| stats.in_use) else {
                continue;
            };
            let class = &classes[number];
            let idempotent = class.idempotency == Idempotency::Idempotent;
            let slow = stats.latency.count > 0.0 && !stats.is_well_within_objective(class);
            counts.idempotent += usize::from(idempotent);
            counts.slow += usize::from(slow);
        }
        counts
    }
}

impl Balancer {
    /// Returns the time that a served request of the class is expected to take; see [`ClassStats::expected_latency`].
    pub(super) fn expected_latency(&self, class: usize) -> Micros {
        self.classes[class].expected_latency(&self.config.classes[class])
    }

    /// Returns the classes in use with their numbers.
    pub(super) fn classes_in_use(&self) -> impl Iterator<Item = (usize, &RequestClass)> {
        self.config
            .classes
            .iter()
            .enumerate()
            .filter(|(number, _)| self.classes[*number].in_use)
    }
}
