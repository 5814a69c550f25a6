//! Saves the learned state of a proxy and restores it in a later process after a restart.

use super::endpoints::EndpointRecord;
use super::estimators::RunningMean;
use super::Balancer;
use crate::interface::{BackendId, ClassId, HardwareClassId, LearnedBackend, LearnedHardwareClass};
use crate::interface::{LearnedState, Micros, SampledMean, Time};

/// Half-life of the weight of learned state, in seconds: about a hundred responses per hardware class.
const HALF_LIFE_S: f64 = 60.0;

/// Returns the weight (0 to 1) of samples of the given age.
fn age_weight(age: Micros) -> f64 {
    0.5f64.powf(age.as_secs_f64() / HALF_LIFE_S)
}

impl EndpointRecord {
    /// Returns the state that is kept across a restart, with durations relative to `now`.
    fn learned(&self, now: Time) -> LearnedBackend {
        let faults = self.faults();
        LearnedBackend {
            ejected_for: faults.ejected_until.map(|until| until - now),
            consecutive_ejections: self.consecutive_ejections,
            enabled_ago: faults.enabled_at.map(|enabled_at| now - enabled_at),
        }
    }

    /// Restores learned state that is `age` old. If the ejection's duration has passed meanwhile, the endpoint stays
    /// ejected until its health checks pass, as after any ejection.
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
    /// Returns the state that a later process of this proxy can restore after a restart.
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

    /// Returns the latencies of the classes in use that have samples.
    fn learned_classes(&self) -> Vec<(ClassId, SampledMean)> {
        self.classes
            .iter()
            .enumerate()
            .filter(|(_, stats)| stats.in_use && stats.latency.count > 0.0)
            .map(|(number, stats)| (ClassId(number), stats.latency.sampled()))
            .collect()
    }

    /// Returns the backends with any learned state.
    fn learned_backends(&self, now: Time) -> Vec<(BackendId, LearnedBackend)> {
        self.backends
            .records()
            .map(|(id, record)| (id, record.learned(now)))
            .filter(|(_, learned)| *learned != LearnedBackend::default())
            .collect()
    }

    /// Restores learned state that is `age` old. The older it is, the less its samples weigh, so that new samples soon
    /// outweigh them. Entries that are not in the endpoint list are dropped.
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
        // While the process that learned a concurrency limit keeps running and using it, the limit would count twice.
        let with_limit = self.processes.is_single();
        for (id, learned) in hardware_classes {
            if self.backends.group_index(*id).is_some() {
                let class = self.hardware_classes.entry(*id).or_default();
                class.restore(learned, weight, with_limit);
            }
        }
    }

    /// Restores the latencies of request classes. A class's work is its latency relative to the overall latency, so
    /// both are restored or neither is.
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
