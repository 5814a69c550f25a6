//! The estimates and health state that a proxy keeps across a restart.
//!
//! The order of the fields of the serialized types is part of the snapshot format.

use super::ids::{BackendId, ClassId, HardwareClassId};
use super::time::Micros;

/// A mean and the number of samples that it represents.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct SampledMean {
    /// The mean, in the unit of the samples.
    pub value: f64,
    /// The number of samples; fractional once it is discounted by age.
    pub count: f64,
}

/// The learned state of a hardware class.
///
/// The time for which its concurrency limit was adapted is not stored. A restored limit therefore adapts as fast as a
/// new one, so that it follows changes of the fleet during the restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedHardwareClass {
    /// Seconds from dispatch to response of served requests, corrected for the mix of request classes.
    pub latency: SampledMean,
    /// Like `latency`, but over fewer samples.
    pub recent_latency: SampledMean,
    /// Latency without contention, in seconds.
    pub uncontended_latency_s: f64,
    /// Maximum number of requests that all proxies together keep in flight at one backend of the class.
    pub concurrency_limit: f64,
}

/// The learned state of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedBackend {
    /// Remaining duration of the ejection when the state was taken; `None` if the backend was not ejected.
    pub ejected_for: Option<Micros>,
    /// Number of ejections without a successful attempt in between.
    pub consecutive_ejections: i32,
    /// Time from when an operator last enabled the backend until the state was taken. The backend's slow start began
    /// when it was enabled.
    pub enabled_ago: Option<Micros>,
}

/// The learned state of a proxy, returned by [`Balancer::learned_state`](crate::Balancer::learned_state) and restored
/// by [`Event::StateRestored`](crate::Event::StateRestored).
///
/// Durations are relative to the time at which the state was taken. Ids are those of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Learned state by hardware class.
    pub hardware_classes: Vec<(HardwareClassId, LearnedHardwareClass)>,
    /// Latency of served requests in seconds, by request class in use.
    pub classes: Vec<(ClassId, SampledMean)>,
    /// Latency of served requests in seconds, over all request classes.
    pub overall_latency: SampledMean,
    /// Learned state by backend; backends without any are left out.
    pub backends: Vec<(BackendId, LearnedBackend)>,
}
