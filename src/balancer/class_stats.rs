//! What is learned of request classes.

use super::state::RunningMean;
use super::{Balancer, Idempotency, Micros, RequestClass};

/// A class whose usual answer takes this many times less than its aim has time to spare.
pub(super) const WELL_INSIDE: f64 = 2.0;

/// What is learned of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    /// The settings hold it still.
    pub live: bool,
    pub latency: RunningMean,
    /// Worth that was asked for, and that was earned.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
}

impl ClassState {
    /// The part of what was asked that was earned.
    pub fn served(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

impl Balancer {
    /// How many of these classes, as far as in use, may be repeated at will, and how many are tight: kept of
    /// all together, so that no request has to go through them.
    pub(super) fn sums<'a>(&self, classes: impl IntoIterator<Item = &'a usize>) -> (usize, usize) {
        let live = classes
            .into_iter()
            .filter(|n| self.classes.get(**n).is_some_and(|s| s.live));
        live.fold((0, 0), |(free, tight), n| {
            let repeats = self.cfg.classes[*n].idempotency == Idempotency::Idempotent;
            // One that never had an answer is taken for quick.
            let late = self.classes[*n].latency.count > 0.0 && !self.quick(*n);
            (free + usize::from(repeats), tight + usize::from(late))
        })
    }

    /// The same of all.
    pub(super) fn sum_up(&mut self) {
        (self.free, self.tight) = self.sums(&self.numbers());
    }

    pub(super) fn numbers(&self) -> Vec<usize> {
        (0..self.classes.len()).collect()
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    pub(super) fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(
            self.cfg.classes[class].latency_objective.mul_f64(0.25),
            Micros::from_secs_f64,
        )
    }

    /// Whether what a class usually takes is well inside its aim.
    pub(super) fn quick(&self, class: usize) -> bool {
        self.usual(class).mul_f64(WELL_INSIDE) <= self.cfg.classes[class].latency_objective
    }

    /// The classes that the settings hold, with their numbers.
    pub(super) fn live(&self) -> impl Iterator<Item = (usize, &RequestClass)> {
        self.cfg
            .classes
            .iter()
            .enumerate()
            .filter(|(n, _)| self.classes[*n].live)
    }

    /// A class's work beside the mean, so far as latency tells it.
    pub(super) fn work(&self, class: usize) -> f64 {
        self.classes[class]
            .latency
            .get()
            .map_or(1.0, |own| own / self.overall.value)
    }
}
