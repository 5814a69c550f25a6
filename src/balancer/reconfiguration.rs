//! Applies a new configuration at run time, including classes that are added, retired or reinstated.

use super::Balancer;
use crate::interface::{ClassId, ClassSuccessor, Time, ValidatedConfig};

/// A new configuration and the changes to the set of request classes.
pub(super) struct ConfigChange {
    pub config: ValidatedConfig,
    /// Classes that are no longer in use.
    pub retired: Vec<ClassId>,
    /// Retired classes that are in use again.
    pub reinstated: Vec<ClassId>,
    /// Classes that inherit the latency estimate of another class.
    pub successors: Vec<ClassSuccessor>,
}

impl ConfigChange {
    /// Returns the distinct numbers of the classes that are added, retired or reinstated. `classes_before` is the
    /// number of classes before the change. All other classes keep their rules.
    fn affected_classes(&self, classes_before: usize) -> Vec<usize> {
        let classes = self.config.classes.len();
        let named = self.retired.iter().chain(&self.reinstated);
        let mut affected: Vec<usize> = named
            .map(|id| id.0)
            .filter(|number| *number < classes)
            .chain(classes_before..classes)
            .collect();
        affected.sort_unstable();
        affected.dedup();
        affected
    }
}

impl Balancer {
    /// Applies a new configuration. The host makes sure that classes and tenants keep their numbers, so that pending
    /// requests and learned state remain valid. A configuration with missing numbers is rejected.
    pub(super) fn reconfigure(&mut self, now: Time, change: ConfigChange) {
        let lacks_classes = change.config.classes.len() < self.classes.len();
        let lacks_tenants = change.config.tenants.len() < self.config.tenants.len();
        if lacks_classes || lacks_tenants {
            return self.log(
                now,
                "configuration rejected: classes or tenants are missing".into(),
            );
        }
        self.change_classes(&change);
        let slow_start_changed = change.config.slow_start_duration
            != self.config.slow_start_duration
            || change.config.overload_window != self.config.overload_window;
        if slow_start_changed {
            self.backends.mark_all_outdated();
        }
        self.config = change.config;
        self.split.due_at = now;
        self.schedule.check_at(now);
    }

    fn change_classes(&mut self, change: &ConfigChange) {
        let affected = change.affected_classes(self.classes.len());
        let (before, after) = (&self.config.classes, &change.config.classes);
        self.classes.change(&affected, before, after, |stats| {
            for successor in &change.successors {
                let latency = stats.get(successor.predecessor.0).map(|s| s.latency);
                if let (Some(successor_stats), Some(latency)) =
                    (stats.get_mut(successor.class.0), latency)
                {
                    successor_stats.latency = latency;
                }
            }
            for (ids, in_use) in [(&change.retired, false), (&change.reinstated, true)] {
                for id in ids {
                    if let Some(class) = stats.get_mut(id.0) {
                        class.in_use = in_use;
                    }
                }
            }
        });
    }
}
