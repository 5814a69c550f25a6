//! Learned state: what a proxy has learned and a later process of it takes over after a restart.

use super::endpoints::EndpointRecord;
use super::estimators::RunningMean;
use super::Balancer;
use crate::interface::{BackendId, ClassId, HardwareClassId, LearnedBackend, LearnedHardwareClass};
use crate::interface::{LearnedState, Micros, SampledMean, Time};

/// Learned state loses half of its weight in so long, s: some hundred responses of each kind.
const HALF_LIFE_S: f64 = 60.0;

/// What samples that are `age` old weigh, from 0 to 1.
fn age_weight(age: Micros) -> f64 {
    0.5f64.powf(age.as_secs_f64() / HALF_LIFE_S)
}

impl EndpointRecord {
    /// What outlives a restart, with spans counted back from `now`.
    fn learned(&self, now: Time) -> LearnedBackend {
        let faults = self.faults();
        LearnedBackend {
            ejected_for: faults.ejected_until.map(|until| until - now),
            consecutive_ejections: self.consecutive_ejections,
            enabled_ago: faults.enabled_at.map(|enabled_at| now - enabled_at),
        }
    }

    /// Takes over learned state that is `age` old. An ejection whose term ended meanwhile leaves the endpoint to its
    /// health checks, as the end of any term does.
    fn restore(&mut self, learned: &LearnedBackend, now: Time, age: Micros) {
        self.consecutive_ejections = learned.consecutive_ejections;
        let faults = self.faults_mut();
        faults.ejected_until = learned
            .ejected_for
            .map(|left| now + Micros(left.0.saturating_sub(age.0)));
        faults.enabled_at = learned
            .enabled_ago
            .map(|ago| now - Micros(ago.0.saturating_add(age.0)));
    }
}

impl Balancer {
    /// What was learned and outlives a restart, for a later process of this proxy.
    pub fn learned_state(&self, now: Time) -> LearnedState {
        let hardware_classes = self.hardware_classes.iter();
        LearnedState {
            hardware_classes: hardware_classes
                .map(|(id, class)| (*id, class.learned()))
                .collect(),
            classes: self.learned_classes(),
            overall_latency: self.classes.overall_latency.sampled(),
            backends: self.learned_backends(now),
        }
    }

    /// The latencies of the classes in use that have one.
    fn learned_classes(&self) -> Vec<(ClassId, SampledMean)> {
        self.classes
            .iter()
            .enumerate()
            .filter(|(_, stats)| stats.in_use && stats.latency.count > 0.0)
            .map(|(number, stats)| (ClassId(number), stats.latency.sampled()))
            .collect()
    }

    /// The backends of which anything was learned.
    fn learned_backends(&self, now: Time) -> Vec<(BackendId, LearnedBackend)> {
        self.backends
            .records()
            .map(|(id, record)| (id, record.learned(now)))
            .filter(|(_, learned)| *learned != LearnedBackend::default())
            .collect()
    }

    /// Takes over learned state that is `age` old. Its samples weigh less the older it is, so that new ones soon
    /// outweigh them; what the endpoint list no longer names is dropped.
    pub(super) fn restore_learned_state(&mut self, now: Time, state: LearnedState, age: Micros) {
        let weight = age_weight(age);
        self.restore_hardware_classes(&state.hardware_classes, weight);
        self.restore_classes(&state, weight);
        for (id, learned) in &state.backends {
            if let Some(record) = self.backends.get_mut(*id) {
                record.restore(learned, now, age);
            }
        }
        self.split.due_at = now;
        self.schedule.check_at(now);
        let age_s = age.as_secs_f64();
        self.log(
            now,
            format!("restored learned state {age_s:.1} s old at weight {weight:.2}"),
        );
    }

    fn restore_hardware_classes(
        &mut self,
        hardware_classes: &[(HardwareClassId, LearnedHardwareClass)],
        weight: f64,
    ) {
        // While the process that learned a concurrency limit goes on using it, the limit would count twice.
        let with_limit = self.processes.is_single();
        for (id, learned) in hardware_classes {
            if self.backends.group_index(*id).is_some() {
                let class = self.hardware_classes.entry(*id).or_default();
                class.restore(learned, weight, with_limit);
            }
        }
    }

    /// A class's work is its latency relative to the overall one: the two are restored together or not at all.
    fn restore_classes(&mut self, state: &LearnedState, weight: f64) {
        let overall = RunningMean::restored(state.overall_latency, weight);
        if overall.count > 0.0 {
            self.classes.overall_latency = overall;
            for (id, latency) in &state.classes {
                if let Some(stats) = self.classes.get_mut(id.0) {
                    stats.latency = RunningMean::restored(*latency, weight);
                }
            }
        }
        self.classes.recount(&self.config.classes);
    }
}
