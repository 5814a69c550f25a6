//! The operators' objective: a weighted sum of the fractions of the offered priority weight that are earned, over all
//! traffic and in the worst-served class. It determines the dispatch order of waiting requests.

use super::classes::{ClassStats, ClassTable};
use super::Balancer;

/// Lower bound of a sum of weights that is used as a divisor.
const MIN_WEIGHT: f64 = 1e-9;

/// The current state of the objective over all classes in use.
#[derive(Clone, Copy, Default)]
pub(super) struct ObjectiveProgress {
    /// Sum of the classes' offered weights.
    offered_weight: f64,
    /// Lowest fraction (0 to 1) of its offered weight that any class earned.
    worst_served_share: f64,
}

impl ObjectiveProgress {
    pub fn of(classes: &ClassTable) -> ObjectiveProgress {
        let in_use = || classes.iter().filter(|stats| stats.in_use);
        ObjectiveProgress {
            offered_weight: in_use().map(|stats| stats.offered_weight).sum(),
            worst_served_share: in_use()
                .map(ClassStats::served_share)
                .fold(f64::MAX, f64::min),
        }
    }

    fn is_worst(&self, stats: &ClassStats) -> bool {
        stats.in_use && stats.served_share() <= self.worst_served_share
    }
}

impl Balancer {
    /// Returns the gain in the objective from one more served request of the class: its priority weight relative to the
    /// weight of all traffic and, for the worst-served class, also relative to the weight of that class.
    pub(super) fn objective_gain(&self, class: usize, progress: ObjectiveProgress) -> f64 {
        let stats = &self.classes[class];
        let per_weight_in_class = if progress.is_worst(stats) {
            self.config.worst_class_objective_weight / stats.offered_weight.max(MIN_WEIGHT)
        } else {
            0.0
        };
        let per_weight_overall =
            self.config.overall_objective_weight / progress.offered_weight.max(MIN_WEIGHT);
        self.config.classes[class].priority_weight * (per_weight_overall + per_weight_in_class)
    }
}
