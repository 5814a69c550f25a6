//! The operators' objective: a weighted sum of the parts of the offered priority weight that are earned, in all traffic
//! and in the class that is served worst. It decides which of the waiting requests is dispatched first.

use super::classes::{ClassStats, ClassTable};
use super::Balancer;

/// A sum of weights counts as at least this where something is divided by it.
const MIN_WEIGHT: f64 = 1e-9;

/// How the objective stands over all classes in use.
#[derive(Clone, Copy, Default)]
pub(super) struct ObjectiveProgress {
    /// Sum of the classes' offered weights.
    offered_weight: f64,
    /// The least part (0 to 1) of its offered weight that a class earned.
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
    /// What one more served request of the class adds to the objective: its priority weight as a part of all traffic's
    /// and, in the class that is served worst, as a part of that class's.
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
