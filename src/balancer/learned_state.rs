//! What is kept over a restart.

use super::{Balancer, ClassId, LearnedState, Micros, RunningMean, Time};

/// Seconds in which a recalled memory loses half its weight: a minute is some hundred answers per kind.
pub(super) const RECALL_HALF_LIFE: f64 = 60.0;

impl Balancer {
    /// What was learned and outlives a second, for a later process of this proxy (see [`Memory`]).
    pub fn learned_state(&self, now: Time) -> LearnedState {
        let live = self
            .classes
            .iter()
            .enumerate()
            .filter(|(_, c)| c.live && c.latency.count > 0.0);
        let backends = self.backends.records().map(|(id, p)| (id, p.memory(now)));
        LearnedState {
            kinds: self.kinds.iter().map(|(id, k)| (*id, k.memory())).collect(),
            classes: live
                .map(|(n, c)| (ClassId(n), c.latency.sampled()))
                .collect(),
            overall_latency: self.overall.sampled(),
            backends: backends.filter(|(_, m)| *m != Default::default()).collect(),
        }
    }

    /// Takes a memory `age` old: its samples weigh less the older it is, so that new answers soon outweigh
    /// it; what the list no longer names is dropped.
    pub(super) fn recall(&mut self, now: Time, memory: LearnedState, age: Micros) {
        let weight = 0.5f64.powf(age.as_secs_f64() / RECALL_HALF_LIFE);
        for (id, m) in memory
            .kinds
            .into_iter()
            .filter(|(id, _)| self.backends.group_index(*id).is_some())
        {
            // Beside the process that learned it, which goes on holding as much, a hold would count twice.
            self.kinds
                .entry(id)
                .or_default()
                .recall(&m, weight, self.beside.0 == 1);
        }
        // A class's work is its latency over the overall one: the two come together or not at all.
        let overall = RunningMean::recalled(memory.overall_latency, weight);
        if overall.count > 0.0 {
            self.overall = overall;
            for (id, s) in memory.classes {
                self.classes
                    .get_mut(id.0)
                    .into_iter()
                    .for_each(|c| c.latency = RunningMean::recalled(s, weight));
            }
        }
        for (id, m) in memory.backends {
            self.backends
                .get_mut(id)
                .into_iter()
                .for_each(|p| p.recall(&m, now, age));
        }
        self.sum_up();
        (self.solve_at, self.look_at) = (now, now);
        self.log(
            now,
            format!(
                "recalled a memory {:.1} s old at weight {weight:.2}",
                age.as_secs_f64()
            ),
        );
    }
}
