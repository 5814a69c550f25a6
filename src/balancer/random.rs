//! The balancer's random number generator. It gives the same sequence on every machine for the same seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Number of values of a `u32`.
const U32_VALUES: f64 = 4_294_967_296.0;

/// A seeded random number generator.
pub(super) struct RandomSource(Pcg32);

/// An item of a weighted random selection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighted<T> {
    pub item: T,
    pub weight: f64,
}

impl RandomSource {
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// Returns a uniform random number from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / U32_VALUES
    }

    /// Selects an item with a probability proportional to its weight; the last item if all weights are 0.
    pub fn choose<T: Copy>(&mut self, items: &[Weighted<T>]) -> Option<T> {
        let total: f64 = items.iter().map(|entry| entry.weight).sum();
        let mut remaining = self.unit() * total;
        let mut is_selected = |entry: &&Weighted<T>| {
            remaining -= entry.weight;
            remaining < 0.0
        };
        items
            .iter()
            .find(&mut is_selected)
            .or(items.last())
            .map(|entry| entry.item)
    }

    /// Selects the index of a weight with a probability proportional to the weight; never one whose weight is 0.
    pub fn choose_index(&mut self, weights: &[f64]) -> Option<usize> {
        let mut remaining = self.unit() * weights.iter().sum::<f64>();
        let mut is_selected = |weight: &f64| {
            remaining -= weight;
            remaining < 0.0
        };
        weights
            .iter()
            .position(&mut is_selected)
            .or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
    }
}
