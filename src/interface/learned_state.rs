//! What a proxy has learned and keeps over a restart. The order of the serialized fields is part of the snapshot
//! format.

use super::ids::{BackendId, ClassId, HardwareClassId};
use super::time::Micros;

/// A mean and the weight of the samples in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SampledMean {
    /// The mean, in the unit of its samples.
    pub value: f64,
    /// The number of samples it stands for; fractional once discounted by age.
    pub count: f64,
}

/// What was learned of a hardware class.
///
/// For how long its concurrency limit was learned is left out: a limit that moves as fast as a new one follows a fleet
/// that changed meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedHardwareClass {
    /// Seconds from dispatch to response of served requests, corrected for the mix of classes.
    pub latency: SampledMean,
    /// The same over fewer samples.
    pub recent_latency: SampledMean,
    /// The same without contention, in seconds.
    pub uncontended_latency_s: f64,
    /// Requests that all proxies together keep in flight at one backend of the kind.
    pub concurrency_limit: f64,
}

/// What was learned of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedBackend {
    /// What was left of its ejection when the state was taken.
    pub ejected_for: Option<Micros>,
    /// Ejections without a successful attempt between them.
    pub consecutive_ejections: i32,
    /// How long before the state was taken operators put it back into use, from when its slow start counts.
    pub enabled_ago: Option<Micros>,
}

/// What a proxy learned: what [`Balancer::learned_state`](crate::Balancer::learned_state) returns and
/// [`Event::StateRestored`](crate::Event::StateRestored) takes. Spans count back from the moment when it was taken;
/// ids are this process's numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// By hardware class.
    pub hardware_classes: Vec<(HardwareClassId, LearnedHardwareClass)>,
    /// Latency of served requests in seconds, by request class in use.
    pub classes: Vec<(ClassId, SampledMean)>,
    /// The same over all classes.
    pub overall_latency: SampledMean,
    /// By backend, those of which something was learned.
    pub backends: Vec<(BackendId, LearnedBackend)>,
}
